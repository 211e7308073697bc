/** Counts how requests ended, for the burn report. */
import { burnBucketMs, BurnOutcome, burnRetentionMs } from "@cassiapick/core";
import type { BurnBucket, BurnFaultKind, BurnSeries, BurnStatus } from "@cassiapick/core";

/** One request that has been answered. */
export interface CountedRequest {
    brand: string;
    destination: string;
    outcome: BurnOutcome;
    durationMs: number;
    serverId?: string;
    /** What spoiled it; `undefined` when nothing did. */
    fault?: BurnFaultKind;
}

/** The counts of one host. */
export interface BurnCounter {
    count(request: CountedRequest, nowMs: number): void;
    status(nowMs: number): BurnStatus;
}

/** An answer that takes longer counts as slow. */
const slowAfterMs = 1000;
/** Further brands are counted together, so that memory stays bounded. */
const maxSeries = 5000;
const otherBrand = "other";

const emptyCounts = (): Record<BurnOutcome, number> => ({
    [BurnOutcome.Completed]: 0,
    [BurnOutcome.ServerError]: 0,
    [BurnOutcome.NotRun]: 0,
    [BurnOutcome.Unknown]: 0,
});

/** Creates a counter of a process that started at `startedAtMs`. */
export const createBurnCounter = (startedAtMs: number): BurnCounter => {
    const series = new Map<string, BurnSeries>();

    const seriesOf = (brand: string, destination: string): BurnSeries => {
        const known = series.get(`${brand}\n${destination}`);
        if (known !== undefined) {
            return known;
        }
        if (series.size >= maxSeries && brand !== otherBrand) {
            return seriesOf(otherBrand, destination);
        }
        const created: BurnSeries = { brand, destination, slowAfterMs, buckets: [] };
        series.set(`${brand}\n${destination}`, created);
        return created;
    };

    const bucketOf = (buckets: BurnBucket[], startMs: number): BurnBucket => {
        const last = buckets.at(-1);
        if (last !== undefined && last.startMs >= startMs) {
            return last;
        }
        const created: BurnBucket = { startMs, counts: emptyCounts(), slow: 0, faults: [] };
        buckets.push(created);
        return created;
    };

    const addFault = (bucket: BurnBucket, fault: BurnFaultKind, serverId: string | undefined): void => {
        const known = bucket.faults.find(entry => entry.fault === fault && entry.serverId === serverId);
        if (known === undefined) {
            bucket.faults.push({ fault, serverId, count: 1 });
        }
        else {
            known.count += 1;
        }
    };

    const count = (request: CountedRequest, nowMs: number): void => {
        const { buckets } = seriesOf(request.brand, request.destination);
        const bucket = bucketOf(buckets, nowMs - nowMs % burnBucketMs);
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
