/** Records how long attempts take, per kind of request. */
import { createQuantileEstimate } from "./quantile-estimate.js";
import type { QuantileEstimate } from "./quantile-estimate.js";

/** The attempt durations of one pool. Times are in milliseconds. */
export interface AttemptDurations {
    add(requestKind: string, durationMs: number): void;
    /** A quantile (0 to 1) of the kind's recent durations; `undefined` while there are too few samples. */
    quantile(requestKind: string, quantile: number): number | undefined;
}

/** Fewer samples than this give no reliable estimate of a high quantile. */
const minSamples = 50;

/** Bounds the memory when callers send arbitrary kinds; the routes table has far fewer. */
const maxKinds = 256;

/** Creates the durations of a pool, without any samples. */
export const createAttemptDurations = (): AttemptDurations => {
    const estimatesByKind = new Map<string, QuantileEstimate>();

    const add = (requestKind: string, durationMs: number): void => {
        let estimate = estimatesByKind.get(requestKind);
        if (estimate === undefined && estimatesByKind.size < maxKinds) {
            estimate = createQuantileEstimate();
            estimatesByKind.set(requestKind, estimate);
        }
        estimate?.add(durationMs);
    };

    const quantile = (requestKind: string, share: number): number | undefined => {
        const estimate = estimatesByKind.get(requestKind);
        return estimate === undefined || estimate.count() < minSamples ? undefined : estimate.valueAt(share);
    };

    return { add, quantile };
};
