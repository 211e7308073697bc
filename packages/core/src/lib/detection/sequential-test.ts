/** Sequential tests based on cumulative sums of log-likelihood ratios. */

/** A one-sided cumulative sum (CUSUM): it never falls below zero, so that a long healthy period does not delay detection. */
export interface Cusum {
    /** Adds the log-likelihood ratio of one sample, in nats. */
    add(evidence: number): void;
    /** The evidence for a change, in nats. */
    value(): number;
    reset(): void;
}

/** Creates a cumulative sum that never exceeds `cap` nats, so that a recovery is detected in bounded time. */
export const createCusum = (cap: number): Cusum => {
    let sum = 0;
    const add = (evidence: number): void => {
        sum = Math.min(cap, Math.max(0, sum + evidence));
    };
    const reset = (): void => {
        sum = 0;
    };
    return { add, value: () => sum, reset };
};

/** Returns the log-likelihood ratio of one binary sample, `unhealthyRate` against `healthyRate`, in nats. */
export const bernoulliEvidence = (bad: boolean, healthyRate: number, unhealthyRate: number): number =>
    bad ? Math.log(unhealthyRate / healthyRate) : Math.log((1 - unhealthyRate) / (1 - healthyRate));

/** Logarithm of the slowdown that is tested for. */
const logUnhealthyRatio = Math.log(3);
// The evidence is zero at this slowdown. It is more than the geometric mean of 1 and 3, so that a member on somewhat slower
// hardware is not suspected.
const logNeutralRatio = Math.log(2.1);
/** Bounds of the evidence of one answer, in nats. */
const maxShiftEvidence = 2.5;
const minShiftEvidence = -2;

/**
 * Returns the evidence of one answer's time for a threefold slowdown, in nats.
 *
 * `logRatio` is the natural logarithm of its time relative to the peers' median, `scale` the standard deviation of the
 * logarithms of their times. The evidence is bounded on both sides, so that a single outlier has little influence.
 */
export const shiftEvidence = (logRatio: number, scale: number): number => {
    const evidence = (logUnhealthyRatio / (scale * scale)) * (logRatio - logNeutralRatio);
    return Math.min(maxShiftEvidence, Math.max(minShiftEvidence, evidence));
};
