/** Learns how long attempts take, per kind of request. */
import { createQuantileEstimate } from "./quantile-estimate.js";
import type { QuantileEstimate } from "./quantile-estimate.js";

/** The times of one pool's attempts. Times are in milliseconds. */
export interface AttemptTimes {
    add(requestKind: string, durationMs: number): void;
    /** A quantile of the kind's times; `undefined` until enough are known. */
    quantile(requestKind: string, quantile: number): number | undefined;
}

/** Fewer times than this say nothing about a high quantile. */
const minTimes = 50;

/** A bound against kinds that a caller makes up; the routes table names far fewer. */
const maxKinds = 256;

/** Creates the times of a pool, none of them known. */
export const createAttemptTimes = (): AttemptTimes => {
    const kinds = new Map<string, QuantileEstimate>();

    const add = (requestKind: string, durationMs: number): void => {
        let estimate = kinds.get(requestKind);
        if (estimate === undefined && kinds.size < maxKinds) {
            estimate = createQuantileEstimate();
            kinds.set(requestKind, estimate);
        }
        estimate?.add(durationMs);
    };

    const quantile = (requestKind: string, wanted: number): number | undefined => {
        const estimate = kinds.get(requestKind);
        return estimate === undefined || estimate.count() < minTimes ? undefined : estimate.at(wanted);
    };

    return { add, quantile };
};
