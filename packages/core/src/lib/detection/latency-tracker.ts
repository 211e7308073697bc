/** Tracks the typical duration of each kind of request at the members of a pool. */

/** The typical duration of one kind of request, as natural logarithms of milliseconds. */
export interface LatencyReference {
    /** Median of the logarithms. */
    center: number;
    /** Standard deviation of the logarithms, estimated from their 90th percentile. */
    scale: number;
}

/** Recent answer times per member and kind of request. */
export interface LatencyTracker {
    add(serverId: string, requestKind: string, logMs: number, now: number): void;
    /** The typical duration at members other than `serverId`; `undefined` while they have too few samples. */
    peerReference(serverId: string, requestKind: string, now: number): LatencyReference | undefined;
    remove(serverId: string): void;
}

/** Options of {@link createLatencyTracker}. */
export interface LatencyTrackerCfg {
    /** Whether a member's times may count as a reference for others. */
    isTrusted: (serverId: string) => boolean;
    /** Whether two members are at about the same network distance. */
    isComparable: (a: string, b: string) => boolean;
}

const windowSamples = 64;
const minSamples = 8;
const maxSampleAgeMs = 60_000;
const summaryCacheMs = 400;
const minScale = 0.25;
const q90StdDevs = 1.2816;

interface SampleWindow {
    logTimes: number[];
    nextIndex: number;
    lastSampleAt: number;
    summary?: { computedAt: number; reference: LatencyReference; };
    peerReference?: { computedAt: number; reference: LatencyReference | undefined; };
}

const quantile = (sorted: Float64Array, share: number): number => sorted[Math.floor(share * (sorted.length - 1))]!;

const median = (values: number[]): number => {
    const sorted = values.sort((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
};

const summarize = (window: SampleWindow, now: number): LatencyReference => {
    if (window.summary === undefined || now - window.summary.computedAt >= summaryCacheMs) {
        const sorted = Float64Array.from(window.logTimes).sort();
        const center = quantile(sorted, 0.5);
        const scale = Math.max(minScale, (quantile(sorted, 0.9) - center) / q90StdDevs);
        window.summary = { computedAt: now, reference: { center, scale } };
    }
    return window.summary.reference;
};

/**
 * Creates the tracker of one pool.
 *
 * A reference is the median of the members' own figures, so that one unhealthy member has little influence on it.
 * It uses only members at the same network distance if there are any.
 */
export const createLatencyTracker = (cfg: LatencyTrackerCfg): LatencyTracker => {
    const windowsByKind = new Map<string, Map<string, SampleWindow>>();

    const add = (serverId: string, requestKind: string, logMs: number, now: number): void => {
        const members = windowsByKind.get(requestKind) ?? new Map<string, SampleWindow>();
        windowsByKind.set(requestKind, members);
        const window = members.get(serverId) ?? { logTimes: [], nextIndex: 0, lastSampleAt: now };
        members.set(serverId, window);
        window.logTimes[window.nextIndex] = logMs;
        window.nextIndex = (window.nextIndex + 1) % windowSamples;
        window.lastSampleAt = now;
    };

    const isUsable = (window: SampleWindow, now: number): boolean =>
        window.logTimes.length >= minSamples && now - window.lastSampleAt <= maxSampleAgeMs;

    const computePeerReference = (
        serverId: string,
        members: Map<string, SampleWindow>,
        now: number,
    ): LatencyReference | undefined => {
        const references: LatencyReference[] = [];
        const sameDistance: LatencyReference[] = [];
        for (const [id, window] of members) {
            if (id === serverId || !isUsable(window, now) || !cfg.isTrusted(id)) {
                continue;
            }
            const reference = summarize(window, now);
            references.push(reference);
            if (cfg.isComparable(id, serverId)) {
                sameDistance.push(reference);
            }
        }
        const chosen = sameDistance.length > 0 ? sameDistance : references;
        if (chosen.length === 0) {
            return undefined;
        }
        return { center: median(chosen.map(item => item.center)), scale: median(chosen.map(item => item.scale)) };
    };

    const peerReference = (serverId: string, requestKind: string, now: number): LatencyReference | undefined => {
        const members = windowsByKind.get(requestKind);
        if (members === undefined) {
            return undefined;
        }
        const window = members.get(serverId);
        if (window === undefined) {
            return computePeerReference(serverId, members, now);
        }
        if (window.peerReference === undefined || now - window.peerReference.computedAt >= summaryCacheMs) {
            window.peerReference = { computedAt: now, reference: computePeerReference(serverId, members, now) };
        }
        return window.peerReference.reference;
    };

    const remove = (serverId: string): void => {
        for (const members of windowsByKind.values()) {
            members.delete(serverId);
        }
    };

    return { add, peerReference, remove };
};
