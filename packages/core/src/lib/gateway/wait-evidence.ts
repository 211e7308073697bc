/**
 * What a request that is still waiting for its answer shows about its server.
 *
 * Pattern: sequential likelihood ratio. A server that hangs gives no sign, so the evidence is how improbable the wait is for a healthy
 * server, by the distribution of the route's own answer times. It grows with the wait, and requests that wait at the same time add up.
 */

/** Probability that a healthy server answers later than after the given time, in milliseconds. */
export type Survival = (elapsedMs: number) => number;

/** Fraction of requests that an unhealthy server leaves without an answer. */
const unhealthyHangRate = 0.7;
/** Smaller probabilities of a late answer count as this one: some answers are late for reasons of their own. */
const minSurvival = 0.02;

/** Returns the evidence that a server is unhealthy after a request has waited for `elapsedMs`, in nats (log-likelihood ratio). */
export const waitEvidence = (elapsedMs: number, survival: Survival): number => {
    const late = Math.max(minSurvival, survival(elapsedMs));
    return Math.log((unhealthyHangRate + (1 - unhealthyHangRate) * late) / late);
};

/** From this evidence on, in nats, a wait counts as a hang: the answer will probably not come. */
export const hangEvidence = 3;
