/**
 * Limits retries over the whole fleet without messages between hosts: each entry host may spend a fraction of its own
 * requests and an equal part of a fixed reserve. The budgets of all hosts add up to no more than the fleet's bound, also
 * during a network partition, and however often hosts restart.
 */

/** Bound for the fleet: retries in any window are at most `ratio` times the requests in it plus `reserve`. */
export interface RetryBound {
    ratio: number;
    reserve: number;
    windowMs: number;
}

/** The retries that one entry host may send, by service. */
export interface HostRetryBudget {
    /** Counts a caller's request to `service`. */
    recordRequest(service: string, now: number): void;
    /** Takes one retry of a failed request out of the budget; returns `false` if none is left. */
    tryTake(service: string, now: number): boolean;
    /**
     * Takes one hedge out of the budget. A hedge helps one slow request in many, and a retry helps each failed one, so as many
     * retries as the latest windows asked for are left and a few more, up to a bound.
     */
    tryTakeHedge(service: string, now: number): boolean;
    /** Sets the number of entry hosts that share the reserve; until it is known, this host has no part of it. */
    setHostCount(count: number): void;
    /** This host's part of the reserve, in retries. */
    reserveShare(now: number): number;
}

/** A retry counts until its whole slice has left the window, so one slice more than the window has is kept. */
const sliceCount = 21;
/** Fraction of the bound that is used; the rest covers hosts that are starting and differences between clocks. */
const usableFraction = 0.93;

/** Ring buffers of counts by slice of the window. */
interface Window {
    /** Number of the newest slice. */
    slice: number;
    requests: number[];
    /** Retries and hedges that were sent. */
    retries: number[];
    /** Retries of failed requests that were asked for, also in vain; decays exponentially. */
    wanted: number;
    wantedAt: number;
}

/** The retries that one window asks for are averaged over this many, as a host may get few requests in one. */
const wantedWindows = 3;
/** Hedges leave at most this fraction of the budget to retries. */
const maxReservedFraction = 0.8;

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Creates the budget of one host whose process started at `startedAt`. */
export const createHostRetryBudget = (bound: RetryBound, startedAt: number): HostRetryBudget => {
    const windows = new Map<string, Window>();
    const sliceMs = bound.windowMs / (sliceCount - 1);
    let hostCount: number | undefined;

    const emptySlices = (): number[] => Array<number>(sliceCount).fill(0);

    const currentWindow = (service: string, now: number): Window => {
        const slice = Math.floor(now / sliceMs);
        const window = windows.get(service)
            ?? { slice, requests: emptySlices(), retries: emptySlices(), wanted: 0, wantedAt: now };
        windows.set(service, window);
        for (let expired = Math.max(window.slice + 1, slice - sliceCount + 1); expired <= slice; expired += 1) {
            window.requests[expired % sliceCount] = 0;
            window.retries[expired % sliceCount] = 0;
        }
        window.slice = Math.max(window.slice, slice);
        return window;
    };

    const wantedAt = (window: Window, now: number): number =>
        window.wanted * Math.exp(-Math.max(0, now - window.wantedAt) / (wantedWindows * bound.windowMs));

    /** In its first window a process has no part, as the process before it on this host may have spent that part. */
    const reserveShare = (now: number): number =>
        hostCount === undefined || now - startedAt < bound.windowMs ? 0 : bound.reserve / hostCount;

    const limitAt = (window: Window, now: number): number =>
        usableFraction * (bound.ratio * sum(window.requests) + reserveShare(now));

    /** Takes one if it leaves at least `reserved` of the budget. */
    const take = (window: Window, reserved: number, now: number): boolean => {
        if (sum(window.retries) + 1 + reserved > limitAt(window, now)) {
            return false;
        }
        window.retries[window.slice % sliceCount]! += 1;
        return true;
    };

    return {
        recordRequest: (service, now) => {
            const window = currentWindow(service, now);
            window.requests[window.slice % sliceCount]! += 1;
        },
        tryTake: (service, now) => {
            const window = currentWindow(service, now);
            window.wanted = wantedAt(window, now) + 1;
            window.wantedAt = now;
            return take(window, 0, now);
        },
        tryTakeHedge: (service, now) => {
            const window = currentWindow(service, now);
            // The next window may ask for one standard deviation more than one window usually does.
            const wanted = wantedAt(window, now) / wantedWindows;
            return take(window, Math.min(wanted + Math.sqrt(wanted), maxReservedFraction * limitAt(window, now)), now);
        },
        setHostCount: count => {
            // A partitioned host may receive too low a count; the highest count is the safe one.
            hostCount = Math.max(hostCount ?? 1, count);
        },
        reserveShare,
    };
};
