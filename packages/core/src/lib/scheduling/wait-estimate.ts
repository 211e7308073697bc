/** Estimates the time that a request waits for a slot. */

/** The wait estimate of one pool. Times are in milliseconds. */
export interface WaitEstimate {
    /** Records how long an attempt held its slot. */
    record(heldMs: number): void;
    /** The expected wait of an attempt with `ahead` others before it while `slots` may be granted; `Infinity` without slots. */
    waitMs(ahead: number, slots: number): number;
    /** The mean time that an attempt holds its slot. */
    meanHeldMs(): number;
}

/** The mean before any attempt has ended. */
const initialHeldMs = 50;

/** The weight of a new sample in the exponentially weighted mean; the first samples weigh more. */
const smoothingFactor = 0.05;

/** Creates an estimate from an exponentially weighted mean. */
export const createWaitEstimate = (): WaitEstimate => {
    let meanMs = initialHeldMs;
    let sampleCount = 0;

    const record = (heldMs: number): void => {
        sampleCount += 1;
        meanMs += (heldMs - meanMs) * Math.max(smoothingFactor, 1 / sampleCount);
    };

    const waitMs = (ahead: number, slots: number): number => slots <= 0 ? Infinity : (ahead + 1) * meanMs / slots;

    return { record, waitMs, meanHeldMs: () => meanMs };
};
