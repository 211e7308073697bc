/** Estimates quantiles of a stream of durations in constant memory. */

/** Quantiles of recent durations. Times are in milliseconds. */
export interface QuantileEstimate {
    add(durationMs: number): void;
    /** The given quantile (0 to 1) of recent durations, within a tenth; `undefined` without any. */
    valueAt(quantile: number): number | undefined;
    count(): number;
}

const firstBoundMs = 0.5;
const bucketGrowth = 1.1;
const bucketCount = 140;

/** When the total reaches this count, all counts are halved, so that older durations lose weight. */
const halveAtCount = 2000;

const bucketOf = (durationMs: number): number => {
    const bucket = Math.ceil(Math.log(Math.max(durationMs, firstBoundMs) / firstBoundMs) / Math.log(bucketGrowth));
    return Math.min(bucketCount - 1, bucket);
};

/** Creates an estimate from a histogram whose bucket bounds grow by a tenth each, from half a millisecond to several minutes. */
export const createQuantileEstimate = (): QuantileEstimate => {
    const counts = new Float64Array(bucketCount);
    let total = 0;

    const halveCounts = (): void => {
        for (let bucket = 0; bucket < bucketCount; bucket += 1) {
            counts[bucket]! /= 2;
        }
        total /= 2;
    };

    const add = (durationMs: number): void => {
        counts[bucketOf(durationMs)]! += 1;
        total += 1;
        if (total >= halveAtCount) {
            halveCounts();
        }
    };

    const valueAt = (quantile: number): number | undefined => {
        let below = 0;
        for (let bucket = 0; bucket < bucketCount && total > 0; bucket += 1) {
            below += counts[bucket]!;
            if (below >= total * quantile) {
                return firstBoundMs * bucketGrowth ** bucket;
            }
        }
        return undefined;
    };

    return { add, valueAt, count: () => total };
};
