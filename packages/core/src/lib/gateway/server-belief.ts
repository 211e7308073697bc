/** How likely it is that a backend server fails the next request, from the outcomes of few requests. */

/**
 * Share of servers that fail at a time, as seen on the users' platform (docs/design/platform.md). What is believed of a
 * server that is not tried drifts to it.
 */
const priorOdds = 0.15;
/** Time constants of the drift in milliseconds: a failing server is given time to recover, a sound one may fall ill sooner. */
const forgetFailureMs = 5000;
const forgetSuccessMs = 6000;
/** How often a failing and a sound server yield each outcome. */
const likelihoods = {
    success: { failing: 0.3, sound: 0.985 },
    failure: { failing: 0.7, sound: 0.015 },
    /** A request that waits far longer than usual. */
    stuck: { failing: 0.5, sound: 0.05 },
} as const;

export enum Sign {
    Success = "success",
    Failure = "failure",
    Stuck = "stuck",
}

/** What is believed of one server at a moment. */
export interface Belief {
    /** Probability that it is failing, from 0 to 1. */
    failing: number;
    /** When it was last updated, in milliseconds. */
    at: number;
}

/** The belief about a server that nothing is known of. */
export const unknownBelief = (now: number): Belief => ({ failing: priorOdds, at: now });

/** The belief after time has passed without a sign. */
export const beliefAt = (belief: Belief, now: number): number => {
    const timeMs = belief.failing > priorOdds ? forgetFailureMs : forgetSuccessMs;
    return priorOdds + (belief.failing - priorOdds) * Math.exp(-Math.max(0, now - belief.at) / timeMs);
};

/** The belief after one sign. */
export const updateBelief = (belief: Belief, sign: Sign, now: number): Belief => {
    const failing = beliefAt(belief, now);
    const { failing: ifFailing, sound: ifSound } = likelihoods[sign];
    const weight = failing * ifFailing;
    return { failing: weight / (weight + (1 - failing) * ifSound), at: Math.max(now, belief.at) };
};
