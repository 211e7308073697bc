/** Says what a report does not know: hosts that were not asked, and times before a process started. */
import { hostClock } from "./samples.js";
import type { HostSample } from "./samples.js";

/** A host that gave no answer. */
export interface SilentHost {
    hostId: string;
    message: string;
}

/** One host of which some time is missing. */
export interface Gap {
    hostId: string;
    /** What is missing and why, in one sentence. */
    message: string;
}

/** How much of the longest window the report covers. */
export interface Coverage {
    /** Hosts that answered. */
    asked: number;
    /** Hosts that did not answer. */
    silent: SilentHost[];
    gaps: Gap[];
    /** Whether nothing is missing. */
    complete: boolean;
}

const minuteMs = 60_000;

const minutesAgo = (ms: number): string => `${Math.max(0, Math.round(ms / minuteMs))} min ago`;

const gapOf = (hostId: string, samples: HostSample[], silent: boolean, now: number, spanMs: number): Gap | undefined => {
    if (samples.length === 0) {
        return { hostId, message: "None of its requests are counted." };
    }
    if (silent) {
        const last = Math.max(...samples.map(sample => sample.takenAt));
        return { hostId, message: `Its requests are counted until ${minutesAgo(now - last)} only, when it answered last.` };
    }
    const sinceAgo = Math.max(...samples.map(sample => hostClock(sample, now) - sample.burn.keptSince));
    if (sinceAgo < spanMs) {
        return {
            hostId,
            message: `It started ${minutesAgo(sinceAgo)}; what an earlier process of it counted is not known.`,
        };
    }
    const spans = samples.map(sample => ({
        from: hostClock(sample, now) - sample.burn.keptSince,
        to: now - sample.takenAt,
    })).sort((a, b) => b.from - a.from);
    const lost = spans.slice(1).reduce((sum, span, index) => sum + Math.max(0, spans[index]!.to - span.from), 0);
    return lost === 0 ? undefined : {
        hostId,
        message: `It restarted; up to ${Math.ceil(lost / minuteMs)} min before the restart are not counted.`,
    };
};

/** Computes what is missing of the last `spanMs`. */
export const computeCoverage = (samples: HostSample[], silent: SilentHost[], now: number, spanMs: number): Coverage => {
    const fresh = new Set(samples.filter(sample => sample.takenAt === now).map(sample => sample.hostId));
    const hosts = new Set([...samples.map(sample => sample.hostId), ...silent.map(host => host.hostId)]);
    const gaps = [...hosts].sort().flatMap(hostId => {
        const own = samples.filter(sample => sample.hostId === hostId);
        return gapOf(hostId, own, !fresh.has(hostId), now, spanMs) ?? [];
    });
    return { asked: fresh.size, silent, gaps, complete: silent.length === 0 && gaps.length === 0 };
};
