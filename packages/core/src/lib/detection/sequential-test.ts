/** Sequential tests: cumulative sums of log-likelihood ratios. */

/** A one-sided cumulative sum (CUSUM): it never falls below zero, so that a long well past does not hide a change. */
export interface Cusum {
    /** Adds the log-likelihood ratio of one sample, in nats. */
    add(evidence: number): void;
    /** The evidence for a change, in nats. */
    value(): number;
    reset(): void;
}

/** Creates a cumulative sum that stops at `cap`, so that a recovery shows in bounded time. */
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

/** The evidence of one yes-or-no sample for the rate `illRate` against `wellRate`, in nats. */
export const bernoulliEvidence = (bad: boolean, wellRate: number, illRate: number): number =>
    bad ? Math.log(illRate / wellRate) : Math.log((1 - illRate) / (1 - wellRate));

const illShift = Math.log(3);
// Above the middle between well and ill, so that a machine that is somewhat slower by nature stays.
const neutralShift = Math.log(2.1);
const maxShiftEvidence = 2.5;
const minShiftEvidence = -2;

/**
 * The evidence of one answer's time for a threefold slowdown, in nats.
 *
 * It is bounded on both sides: one outlier proves nothing.
 */
export const shiftEvidence = (logRatio: number, scale: number): number => {
    const evidence = (illShift / (scale * scale)) * (logRatio - neutralShift);
    return Math.min(maxShiftEvidence, Math.max(minShiftEvidence, evidence));
};
