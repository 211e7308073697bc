/**
 * Applies the limits that backend servers name, on one entry host: it sends a limited server requests only within its share of
 * the limit, which the state hosts assign.
 *
 * The requests of the whole fleet stay within the limit, also when hosts restart or lose their state host: a share is used only
 * while the view that it comes from is recent, and one that another host may have had is used only after that host's view
 * can't be recent any more.
 */
import type { LimitShare } from "./limit-shares.js";

/** A limit that a server named, or `undefined` when its answer named none any more. */
export interface LimitReport {
    serverId: string;
    /** Number of the server's record. */
    number: number;
    limitPerS: number | undefined;
}

/** The limits that one entry host knows. Times are in milliseconds of the host's clock. */
export interface ServerLimits {
    /** Replaces the shares of this host. `viewAgeMs` is the age of its view until now. */
    setShares(shares: readonly LimitShare[], viewAgeMs: number, now: number): void;
    /** Whether the state hosts have divided a limit of the server. */
    isLimited(number: number): boolean;
    /** Whether this host may send the server a request now. */
    maySend(number: number, viewAgeMs: number, now: number): boolean;
    requestStarted(number: number, now: number): void;
    /** Records what an answer of the server says about its limit. */
    recordAnswer(answer: LimitAnswer, now: number): void;
    /** Returns what the state hosts don't know yet; each report is repeated until the shares reflect it. */
    drainReports(viewAgeMs: number, now: number): LimitReport[];
    /** Number of servers with a limit. */
    size(): number;
}

/** What an answer of a server says about its limit. */
export interface LimitAnswer extends LimitReport {
    /** Whether the answer is not an error; only such an answer without a limit shows that there is none any more. */
    isSuccess: boolean;
    /** When the request was sent. */
    startedAt: number;
}

/** A share is used only while the view of this host is at most this old; another host waits as long before it uses the same share. */
const shareLeaseMs = 2000;
/** Interval at which an unconfirmed report is repeated. */
const reportIntervalMs = 500;
/** A limit that a server named to this host holds for this long without being among the shares, while the view is recent. */
const ownObservationMs = 4000;
/** Relative change of a limit that is reported. */
const reportedChange = 0.1;

/** A token bucket that holds one request. */
interface Bucket {
    limitPerS: number;
    ratePerS: number;
    tokens: number;
    /** When `tokens` was computed; later than now while an earlier owner may still use the share. */
    updatedAt: number;
}

interface Observation {
    serverId: string;
    limitPerS: number | undefined;
    at: number;
    reportedAt: number;
}

/** Creates the limits of one entry host, which knows none. */
export const createServerLimits = (): ServerLimits => {
    let buckets = new Map<number, Bucket>();
    const observations = new Map<number, Observation>();
    /** When this host first learned of each current limit. */
    const knownSince = new Map<number, number>();
    /** Whether the state hosts have sent shares since the start; before, an earlier owner may use any of them. */
    let hasShares = false;

    const refill = (bucket: Bucket, now: number): void => {
        if (now > bucket.updatedAt) {
            bucket.tokens = Math.min(1, bucket.tokens + bucket.ratePerS * (now - bucket.updatedAt) / 1000);
            bucket.updatedAt = now;
        }
    };

    const createBucket = ({ number, limitPerS, ratePerS }: LimitShare, isViewFresh: boolean, now: number): Bucket => {
        const previous = buckets.get(number);
        if (previous !== undefined) {
            refill(previous, now);
        }
        if (ratePerS === 0) {
            return { limitPerS, ratePerS, tokens: 0, updatedAt: now };
        }
        if (previous !== undefined && previous.ratePerS > 0) {
            return { ...previous, limitPerS, ratePerS };
        }
        // A host that has followed the changes knows that a limit which is new to it had no owner before.
        const isFirstOwner = previous === undefined && isViewFresh;
        return isFirstOwner
            ? { limitPerS, ratePerS, tokens: 1, updatedAt: now }
            : { limitPerS, ratePerS, tokens: 0, updatedAt: now + shareLeaseMs };
    };

    const isReflected = (number: number, { limitPerS }: Observation): boolean => {
        const known = buckets.get(number)?.limitPerS;
        if (known === undefined || limitPerS === undefined) {
            return known === limitPerS;
        }
        return Math.abs(known - limitPerS) <= reportedChange * known;
    };

    const forgetObservation = (number: number): void => {
        observations.delete(number);
        if (!buckets.has(number)) {
            knownSince.delete(number);
        }
    };

    return {
        setShares: (shares, viewAgeMs, now) => {
            const isViewFresh = hasShares && viewAgeMs <= shareLeaseMs;
            hasShares = true;
            buckets = new Map(shares.map(share => [share.number, createBucket(share, isViewFresh, now)]));
            for (const { number } of shares) {
                knownSince.set(number, knownSince.get(number) ?? now);
            }
            for (const [number, observation] of observations) {
                if (isReflected(number, observation)) {
                    observations.delete(number);
                }
            }
            for (const number of knownSince.keys()) {
                if (!buckets.has(number) && !observations.has(number)) {
                    knownSince.delete(number);
                }
            }
        },
        isLimited: number => buckets.has(number),
        maySend: (number, viewAgeMs, now) => {
            const bucket = buckets.get(number);
            if (bucket === undefined) {
                return observations.get(number)?.limitPerS === undefined;
            }
            refill(bucket, now);
            return bucket.tokens >= 1 && viewAgeMs <= shareLeaseMs;
        },
        requestStarted: (number, now) => {
            const bucket = buckets.get(number);
            if (bucket !== undefined) {
                refill(bucket, now);
                bucket.tokens = Math.max(0, bucket.tokens - 1);
            }
        },
        recordAnswer: ({ serverId, number, limitPerS, isSuccess, startedAt }, now) => {
            const since = knownSince.get(number);
            // The answer to a request that was sent before the limit was known may be older than the limit.
            const showsNoLimit = isSuccess && since !== undefined && startedAt >= since;
            if (limitPerS === undefined && !showsNoLimit) {
                return;
            }
            if (limitPerS !== undefined) {
                knownSince.set(number, since ?? now);
            }
            const previous = observations.get(number);
            const observation = { serverId, limitPerS, at: now, reportedAt: -Infinity };
            if (isReflected(number, observation)) {
                forgetObservation(number);
                return;
            }
            const isRepeated = previous !== undefined && previous.limitPerS === limitPerS;
            observations.set(number, isRepeated ? { ...observation, reportedAt: previous.reportedAt } : observation);
        },
        drainReports: (viewAgeMs, now) => {
            const reports: LimitReport[] = [];
            for (const [number, observation] of observations) {
                if (viewAgeMs > shareLeaseMs) {
                    // The state hosts can't confirm the limit now, and without them no host may assume that it has ended.
                    observation.at = now;
                }
                if (now - observation.at > ownObservationMs) {
                    forgetObservation(number);
                }
                else if (now - observation.reportedAt >= reportIntervalMs) {
                    observation.reportedAt = now;
                    reports.push({ serverId: observation.serverId, number, limitPerS: observation.limitPerS });
                }
            }
            return reports;
        },
        size: () => knownSince.size,
    };
};
