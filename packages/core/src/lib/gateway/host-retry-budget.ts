/**
 * Limits retries over the whole fleet without messages between hosts: each entry host may spend a fraction of its own
 * requests and an equal part of a fixed reserve. The budgets of all hosts add up to no more than the fleet's bound, also
 * during a network partition, and however often hosts restart or callers move between them.
 */

import type { Random } from "../random.js";

/**
 * Bound for the fleet: retries in any window are at most `ratio` times the requests plus `reserve`. The requests are those of the
 * window itself or of the window half a window earlier, whichever are more.
 */
export interface RetryBound {
    ratio: number;
    reserve: number;
    windowMs: number;
}

/** One retry or hedge that was taken out of a budget. It has to be used or returned; only the first call has an effect. */
export interface RetryGrant {
    /** Counts the retry from `now` on, when it is sent. Until then it counts in every window. */
    use(now: number): void;
    /** Returns a retry that won't be sent. */
    giveBack(): void;
}

/** The retries that one entry host may send, by service. */
export interface HostRetryBudget {
    /** Counts a caller's request to `service`. */
    recordRequest(service: string, now: number): void;
    /** Takes one retry of a failed request out of the budget; returns `undefined` if none is left. */
    tryTake(service: string, now: number): RetryGrant | undefined;
    /**
     * Takes one hedge out of the budget. A hedge helps one slow request in many, and a retry helps each failed one, so as many
     * retries as the latest windows asked for are left and a few more, up to a bound.
     */
    tryTakeHedge(service: string, now: number): RetryGrant | undefined;
    /** Sets the number of entry hosts that share the reserve; until it is known, this host has no part of it. */
    setHostCount(count: number): void;
    /** This host's part of the reserve, in retries. */
    reserveShare(now: number): number;
}

/** Slices of a window. */
const windowSlices = 100;
const halfSlices = windowSlices / 2;
/** A retry counts until its whole slice has left the window, and the requests of that window begin half a window earlier. */
const keptSlices = windowSlices + halfSlices + 1;
/**
 * Weight of the requests of the window half a window earlier; those of the window itself have the rest. As the weights are the same
 * on all hosts, their limits add up to at most the bound, whichever host receives the requests.
 */
const earlierWeight = 0.2;

/** In smaller fleets limits are rounded down, as what random rounding adds does not average out. */
const minHostsToRound = 16;
/** Standard deviations of what random rounding adds over all hosts that their limits leave free. */
const roundingMargin = 2;
/** Largest standard deviation of a limit that is rounded at random. */
const roundingDeviation = 0.5;

/** Ring buffers of counts by slice. */
interface Window {
    /** Number of the newest slice. */
    slice: number;
    requests: number[];
    /** Retries and hedges that were sent. */
    retries: number[];
    /** A random number from 0 to 1 that limits are rounded with. */
    rounding: number;
    /** Retries and hedges that were granted and not sent yet. */
    unsent: number;
    /** Retries of failed requests that were asked for, also in vain; decays exponentially. */
    wanted: number;
    wantedAt: number;
}

/** The retries that one window asks for are averaged over this many, as a host may get few requests in one. */
const wantedWindows = 3;
/** Hedges leave at most this fraction of the budget to retries. */
const maxReservedFraction = 0.8;

const indexOf = (slice: number): number => ((slice % keptSlices) + keptSlices) % keptSlices;

/** Creates the budget of one host whose process started at `startedAt`. */
export const createHostRetryBudget = (bound: RetryBound, startedAt: number, random: Random): HostRetryBudget => {
    const windows = new Map<string, Window>();
    const sliceMs = bound.windowMs / windowSlices;
    let hostCount: number | undefined;

    const emptySlices = (): number[] => Array<number>(keptSlices).fill(0);

    const currentWindow = (service: string, now: number): Window => {
        const slice = Math.floor(now / sliceMs);
        const window = windows.get(service)
            ?? {
                slice,
                requests: emptySlices(),
                retries: emptySlices(),
                rounding: random.next(),
                unsent: 0,
                wanted: 0,
                wantedAt: now,
            };
        windows.set(service, window);
        for (let expired = Math.max(window.slice + 1, slice - keptSlices + 1); expired <= slice; expired += 1) {
            window.requests[indexOf(expired)] = 0;
            window.retries[indexOf(expired)] = 0;
        }
        window.slice = Math.max(window.slice, slice);
        return window;
    };

    const wantedAt = (window: Window, now: number): number =>
        window.wanted * Math.exp(-Math.max(0, now - window.wantedAt) / (wantedWindows * bound.windowMs));

    /** In its first window a process has no part, as the process before it on this host may have spent that part. */
    const reserveShare = (now: number): number =>
        hostCount === undefined || now - startedAt < bound.windowMs ? 0 : bound.reserve / hostCount;

    /**
     * What is added to a limit, so that a host whose part is less than two retries is not cut to one. The hosts draw different
     * values, so the sum of their limits stays below the fleet's.
     */
    const roundingOf = ({ rounding }: Window): number =>
        hostCount === undefined || hostCount < minHostsToRound
            ? 0
            : rounding - roundingMargin * roundingDeviation / Math.sqrt(hostCount);

    const requestsIn = (window: Window, slice: number): number => slice > window.slice ? 0 : window.requests[indexOf(slice)]!;

    /**
     * Returns how many retries are left by the strictest of the windows that contain the present, and the limit of the oldest one.
     * The first slice of requests does not count, as a part of it may lie outside the window.
     */
    const remaining = (window: Window, now: number): { left: number; limit: number; } => {
        const share = reserveShare(now);
        const oldest = window.slice - windowSlices;
        let ownRequests = 0;
        let earlierRequests = 0;
        for (let slice = window.slice - halfSlices + 1; slice <= window.slice; slice += 1) {
            earlierRequests += requestsIn(window, slice);
        }
        let retries = window.unsent;
        let left = Infinity;
        let limit = 0;
        for (let start = window.slice; start >= oldest; start -= 1) {
            retries += window.retries[indexOf(start)]!;
            limit = share + bound.ratio * (earlierWeight * earlierRequests + (1 - earlierWeight) * ownRequests);
            left = Math.min(left, limit - retries);
            ownRequests += requestsIn(window, start);
            earlierRequests += requestsIn(window, start - halfSlices) - requestsIn(window, start + halfSlices - 1);
        }
        return { left, limit };
    };

    /** Takes one if it leaves at least `reserved` of the budget. */
    const take = (service: string, reserved: (limit: number) => number, now: number): RetryGrant | undefined => {
        const window = currentWindow(service, now);
        const { left, limit } = remaining(window, now);
        if (left + roundingOf(window) < 1 + reserved(limit)) {
            return undefined;
        }
        window.unsent += 1;
        let isOpen = true;
        const close = (): boolean => {
            const wasOpen = isOpen;
            window.unsent -= wasOpen ? 1 : 0;
            isOpen = false;
            return wasOpen;
        };
        return {
            use: usedAt => {
                if (close()) {
                    currentWindow(service, usedAt).retries[indexOf(window.slice)]! += 1;
                }
            },
            giveBack: () => void close(),
        };
    };

    return {
        recordRequest: (service, now) => {
            const window = currentWindow(service, now);
            window.requests[indexOf(window.slice)]! += 1;
        },
        tryTake: (service, now) => {
            const window = currentWindow(service, now);
            window.wanted = wantedAt(window, now) + 1;
            window.wantedAt = now;
            return take(service, () => 0, now);
        },
        tryTakeHedge: (service, now) => {
            const window = currentWindow(service, now);
            // The next window may ask for one standard deviation more than one window usually does.
            const wanted = wantedAt(window, now) / wantedWindows;
            return take(service, limit => Math.min(wanted + Math.sqrt(wanted), maxReservedFraction * limit), now);
        },
        setHostCount: count => {
            // A partitioned host may receive too low a count; the highest count is the safe one.
            hostCount = Math.max(hostCount ?? 1, count);
        },
        reserveShare,
    };
};
