/** Estimates how long a request would wait for a slot. */

/** The estimate of one pool. Times are in milliseconds. */
export interface WaitEstimate {
    /** Learns how long an attempt held its slot. */
    learn(heldMs: number): void;
    /** The wait of an attempt that has `ahead` others before it while `slots` may be granted; `Infinity` without slots. */
    waitMs(ahead: number, slots: number): number;
    /** The mean time that an attempt holds its slot. */
    meanHeldMs(): number;
}

/** The mean before any attempt has ended. */
const initialHeldMs = 50;

/** How much of the mean each further attempt replaces. */
const learnRate = 0.05;

/** Creates an estimate from an exponentially weighted mean. */
export const createWaitEstimate = (): WaitEstimate => {
    let mean = initialHeldMs;
    let learned = 0;

    const learn = (heldMs: number): void => {
        learned += 1;
        mean += (heldMs - mean) * Math.max(learnRate, 1 / learned);
    };

    const waitMs = (ahead: number, slots: number): number => slots <= 0 ? Infinity : (ahead + 1) * mean / slots;

    return { learn, waitMs, meanHeldMs: () => mean };
};
