/**
 * Bounds repeats over the whole fleet without messages: each entry host spends a share of its own requests, and its part of
 * a fixed reserve. Whatever hosts are cut from each other, the parts add up to no more than the fleet may spend.
 */

/** The fleet's bound: repeats in any window are at most `ratio` times the requests and `reserve`. */
export interface RetryBound {
    ratio: number;
    reserve: number;
    windowMs: number;
}

/** The repeats that one host may send, by service. */
export interface RetryAllowance {
    /** Counts a caller's request for `service`. */
    noteRequest(service: string, now: number): void;
    /** Takes one repeat if the allowance holds one. */
    take(service: string, now: number): boolean;
    /** The number of entry hosts that share the reserve. */
    setHosts(count: number): void;
}

/** A repeat counts until its whole slice is past, so one slice more than the window is kept. */
const slices = 21;
/** Part of the bound that is used; the rest covers hosts that start and clocks that differ. */
const usedShare = 0.93;

interface Window {
    /** Number of the newest slice. */
    slice: number;
    requests: number[];
    repeats: number[];
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0);

/** Creates the allowance of one host, which knows `hosts` entry hosts at first. */
export const createRetryAllowance = (bound: RetryBound, hosts: number): RetryAllowance => {
    const windows = new Map<string, Window>();
    const sliceMs = bound.windowMs / (slices - 1);
    let hostCount = Math.max(1, hosts);

    const windowOf = (service: string, now: number): Window => {
        const slice = Math.floor(now / sliceMs);
        const window = windows.get(service)
            ?? { slice, requests: Array<number>(slices).fill(0), repeats: Array<number>(slices).fill(0) };
        windows.set(service, window);
        for (let passed = Math.max(window.slice + 1, slice - slices + 1); passed <= slice; passed += 1) {
            window.requests[passed % slices] = 0;
            window.repeats[passed % slices] = 0;
        }
        window.slice = Math.max(window.slice, slice);
        return window;
    };

    return {
        noteRequest: (service, now) => {
            const window = windowOf(service, now);
            window.requests[window.slice % slices]! += 1;
        },
        take: (service, now) => {
            const window = windowOf(service, now);
            const most = usedShare * (bound.ratio * sum(window.requests) + bound.reserve / hostCount);
            if (sum(window.repeats) + 1 > most) {
                return false;
            }
            window.repeats[window.slice % slices]! += 1;
            return true;
        },
        setHosts: count => {
            // A host that is cut off hears of fewer; the larger number is the safe one.
            hostCount = Math.max(hostCount, count, 1);
        },
    };
};
