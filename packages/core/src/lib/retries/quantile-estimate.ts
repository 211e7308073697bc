/** A streaming estimate of quantiles of times, in constant memory. */

/** Quantiles of the recent times. Times are in milliseconds. */
export interface QuantileEstimate {
    add(durationMs: number): void;
    /** The time that the share `quantile` (0 to 1) of recent times stays below, within a tenth; `undefined` without any. */
    at(quantile: number): number | undefined;
    count(): number;
}

const firstBoundMs = 0.5;
const bucketGrowth = 1.1;
const buckets = 140;

/** When this many are counted, all counts are halved, so that old times fade. */
const fadeAt = 2000;

const bucketOf = (durationMs: number): number => {
    const bucket = Math.ceil(Math.log(Math.max(durationMs, firstBoundMs) / firstBoundMs) / Math.log(bucketGrowth));
    return Math.min(buckets - 1, bucket);
};

/** Creates an estimate over buckets that grow by a tenth each, from half a millisecond to several minutes. */
export const createQuantileEstimate = (): QuantileEstimate => {
    const counts = new Float64Array(buckets);
    let total = 0;

    const fade = (): void => {
        for (let bucket = 0; bucket < buckets; bucket += 1) {
            counts[bucket]! /= 2;
        }
        total /= 2;
    };

    const add = (durationMs: number): void => {
        counts[bucketOf(durationMs)]! += 1;
        total += 1;
        if (total >= fadeAt) {
            fade();
        }
    };

    const at = (quantile: number): number | undefined => {
        let below = 0;
        for (let bucket = 0; bucket < buckets && total > 0; bucket += 1) {
            below += counts[bucket]!;
            if (below >= total * quantile) {
                return firstBoundMs * bucketGrowth ** bucket;
            }
        }
        return undefined;
    };

    return { add, at, count: () => total };
};
