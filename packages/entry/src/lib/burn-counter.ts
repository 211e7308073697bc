/** Counts request outcomes per brand and destination, for the error budget burn report. */
import { burnBucketMs, BurnOutcome, burnRetentionMs } from "@cassiapick/core";
import type { BurnBucket, BurnFaultKind, BurnSeries, BurnStatus } from "@cassiapick/core";

/** A request that has ended. */
export interface CountedRequest {
    brand: string;
    destination: string;
    outcome: BurnOutcome;
    durationMs: number;
    /** The backend server to which a fault is attributed, if any. */
    serverId?: string;
    /** The fault that consumed error budget, if any; a slow answer is detected by the counter itself. */
    fault?: BurnFaultKind;
}

/** Counts the requests of one host. */
export interface BurnCounter {
    /** Counts a request that ended at `nowMs`, in milliseconds since the Unix epoch. */
    count(request: CountedRequest, nowMs: number): void;
    /** Returns all counts; buckets older than the retention time remain until their series counts another request. */
    status(nowMs: number): BurnStatus;
}

/** A completed answer that takes longer than this counts as slow, in milliseconds; the same for all destinations. */
const slowAfterMs = 1000;
/**
 * Most series, one for each pair of a brand and a destination, to bound memory. A request that would need a further series is
 * counted under `otherBrand`, which may exceed the limit by one series for each destination.
 */
const maxSeries = 5000;
const otherBrand = "other";

const zeroCounts = (): Record<BurnOutcome, number> => ({
    [BurnOutcome.Completed]: 0,
    [BurnOutcome.ServerError]: 0,
    [BurnOutcome.NotRun]: 0,
    [BurnOutcome.Unknown]: 0,
});

/** Creates a counter of a process that started at `startedAtMs`, in milliseconds since the Unix epoch. */
export const createBurnCounter = (startedAtMs: number): BurnCounter => {
    const series = new Map<string, BurnSeries>();

    const getOrCreateSeries = (brand: string, destination: string): BurnSeries => {
        const existing = series.get(`${brand}\n${destination}`);
        if (existing !== undefined) {
            return existing;
        }
        if (series.size >= maxSeries && brand !== otherBrand) {
            return getOrCreateSeries(otherBrand, destination);
        }
        const created: BurnSeries = { brand, destination, slowAfterMs, buckets: [] };
        series.set(`${brand}\n${destination}`, created);
        return created;
    };

    /** Returns the bucket that starts at `startMs`, or the last one if the clock was set back. */
    const currentBucket = (buckets: BurnBucket[], startMs: number): BurnBucket => {
        const last = buckets.at(-1);
        if (last !== undefined && last.startMs >= startMs) {
            return last;
        }
        const created: BurnBucket = { startMs, counts: zeroCounts(), slow: 0, faults: [] };
        buckets.push(created);
        return created;
    };

    const addFault = (bucket: BurnBucket, fault: BurnFaultKind, serverId: string | undefined): void => {
        const existing = bucket.faults.find(entry => entry.fault === fault && entry.serverId === serverId);
        if (existing === undefined) {
            bucket.faults.push({ fault, serverId, count: 1 });
        }
        else {
            existing.count += 1;
        }
    };

    const count = (request: CountedRequest, nowMs: number): void => {
        const { buckets } = getOrCreateSeries(request.brand, request.destination);
        const bucket = currentBucket(buckets, nowMs - nowMs % burnBucketMs);
        bucket.counts[request.outcome] += 1;
        const isSlow = request.outcome === BurnOutcome.Completed && request.durationMs > slowAfterMs;
        bucket.slow += isSlow ? 1 : 0;
        const fault = request.fault ?? (isSlow ? "slow" : undefined);
        if (fault !== undefined) {
            addFault(bucket, fault, request.serverId);
        }
        while (buckets[0] !== undefined && buckets[0].startMs < nowMs - burnRetentionMs) {
            buckets.shift();
        }
    };

    const status = (nowMs: number): BurnStatus => ({
        bucketMs: burnBucketMs,
        keptSince: Math.max(startedAtMs, nowMs - burnRetentionMs),
        series: [...series.values()],
    });

    return { count, status };
};
