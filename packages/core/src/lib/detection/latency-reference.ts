/** What a kind of request usually takes at a pool's other members. */

/** The usual time of one kind of request, as logarithms of milliseconds. */
export interface LatencyReference {
    /** Median of the logarithms. */
    center: number;
    /** Spread of the logarithms, as a standard deviation. */
    scale: number;
}

/** Recent answer times of each member and kind of request. */
export interface LatencyReferences {
    add(serverId: string, requestKind: string, logMs: number, now: number): void;
    /** The usual time at members other than `serverId`; `undefined` while they have too few samples. */
    others(serverId: string, requestKind: string, now: number): LatencyReference | undefined;
    remove(serverId: string): void;
}

/** Options of {@link createLatencyReferences}. */
export interface LatencyReferencesCfg {
    /** Whether a member's times may serve as a reference. */
    isTrusted: (serverId: string) => boolean;
    /** Whether two members are about as far away. */
    isComparable: (a: string, b: string) => boolean;
}

const windowSamples = 64;
const minSamples = 8;
const maxSampleAgeMs = 60_000;
const cacheMs = 400;
const minScale = 0.25;
const q90Scales = 1.2816;

interface Window {
    logs: number[];
    next: number;
    lastAt: number;
    summary?: { at: number; reference: LatencyReference; };
    others?: { at: number; reference: LatencyReference | undefined; };
}

const quantile = (sorted: Float64Array, share: number): number => sorted[Math.floor(share * (sorted.length - 1))]!;

const median = (values: number[]): number => {
    const sorted = values.sort((a, b) => a - b);
    const middle = sorted.length >> 1;
    return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2;
};

const summarize = (window: Window, now: number): LatencyReference => {
    if (window.summary === undefined || now - window.summary.at >= cacheMs) {
        const sorted = Float64Array.from(window.logs).sort();
        const center = quantile(sorted, 0.5);
        const scale = Math.max(minScale, (quantile(sorted, 0.9) - center) / q90Scales);
        window.summary = { at: now, reference: { center, scale } };
    }
    return window.summary.reference;
};

/**
 * Creates the references of one pool.
 *
 * The median over members of each member's own figures is taken, so that one ill member among them moves it little.
 * Members that are as far away go before others.
 */
export const createLatencyReferences = (cfg: LatencyReferencesCfg): LatencyReferences => {
    const kinds = new Map<string, Map<string, Window>>();

    const add = (serverId: string, requestKind: string, logMs: number, now: number): void => {
        const members = kinds.get(requestKind) ?? new Map<string, Window>();
        kinds.set(requestKind, members);
        const window = members.get(serverId) ?? { logs: [], next: 0, lastAt: now };
        members.set(serverId, window);
        window.logs[window.next] = logMs;
        window.next = (window.next + 1) % windowSamples;
        window.lastAt = now;
    };

    const usable = (window: Window, now: number): boolean =>
        window.logs.length >= minSamples && now - window.lastAt <= maxSampleAgeMs;

    const compare = (serverId: string, members: Map<string, Window>, now: number): LatencyReference | undefined => {
        const all: LatencyReference[] = [];
        const near: LatencyReference[] = [];
        for (const [id, window] of members) {
            if (id === serverId || !usable(window, now) || !cfg.isTrusted(id)) {
                continue;
            }
            const reference = summarize(window, now);
            all.push(reference);
            if (cfg.isComparable(id, serverId)) {
                near.push(reference);
            }
        }
        const found = near.length > 0 ? near : all;
        if (found.length === 0) {
            return undefined;
        }
        return { center: median(found.map(item => item.center)), scale: median(found.map(item => item.scale)) };
    };

    const others = (serverId: string, requestKind: string, now: number): LatencyReference | undefined => {
        const members = kinds.get(requestKind);
        if (members === undefined) {
            return undefined;
        }
        const window = members.get(serverId);
        if (window === undefined) {
            return compare(serverId, members, now);
        }
        if (window.others === undefined || now - window.others.at >= cacheMs) {
            window.others = { at: now, reference: compare(serverId, members, now) };
        }
        return window.others.reference;
    };

    const remove = (serverId: string): void => {
        for (const members of kinds.values()) {
            members.delete(serverId);
        }
    };

    return { add, others, remove };
};
