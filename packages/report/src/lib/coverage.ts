/** Lists the data that a report lacks: hosts that did not answer, and times before a process started. */
import { hostTimeAt } from "./samples.js";
import type { HostSample } from "./samples.js";

/** A host that did not answer. */
export interface UnansweredHost {
    hostId: string;
    message: string;
}

/** Missing data of one host. */
export interface CoverageGap {
    hostId: string;
    /** Which data is missing and why, in one sentence. */
    message: string;
}

/** How much of the longest window the report covers. */
export interface Coverage {
    /** Number of hosts that answered. */
    asked: number;
    /** Hosts that did not answer. */
    silent: UnansweredHost[];
    gaps: CoverageGap[];
    /** Whether nothing is missing. */
    complete: boolean;
}

const minuteMs = 60_000;

const minutesAgo = (ms: number): string => `${Math.max(0, Math.round(ms / minuteMs))} min ago`;

const gapOf = (
    hostId: string,
    samples: HostSample[],
    isUnanswered: boolean,
    now: number,
    windowMs: number,
): CoverageGap | undefined => {
    if (samples.length === 0) {
        return { hostId, message: "None of its requests are counted." };
    }
    if (isUnanswered) {
        const lastAnswerAt = Math.max(...samples.map(sample => sample.takenAt));
        return { hostId, message: `Its requests are only counted until its last answer, ${minutesAgo(now - lastAnswerAt)}.` };
    }
    const coveredMs = Math.max(...samples.map(sample => hostTimeAt(sample, now) - sample.burn.keptSince));
    if (coveredMs < windowMs) {
        return {
            hostId,
            message: `It started ${minutesAgo(coveredMs)}; the counts of its earlier processes are not known.`,
        };
    }
    const countedSpans = samples.map(sample => ({
        fromAgeMs: hostTimeAt(sample, now) - sample.burn.keptSince,
        toAgeMs: now - sample.takenAt,
    })).sort((a, b) => b.fromAgeMs - a.fromAgeMs);
    const lostMs = countedSpans.slice(1).reduce(
        (sum, span, index) => sum + Math.max(0, countedSpans[index]!.toAgeMs - span.fromAgeMs),
        0,
    );
    return lostMs === 0 ? undefined : {
        hostId,
        message: `It restarted; up to ${Math.ceil(lostMs / minuteMs)} min before the restart are not counted.`,
    };
};

/** Computes which data of the last `windowMs` is missing. */
export const computeCoverage = (samples: HostSample[], silent: UnansweredHost[], now: number, windowMs: number): Coverage => {
    const answeredHostIds = new Set(samples.filter(sample => sample.takenAt === now).map(sample => sample.hostId));
    const hostIds = new Set([...samples.map(sample => sample.hostId), ...silent.map(host => host.hostId)]);
    const gaps = [...hostIds].sort().flatMap(hostId => {
        const hostSamples = samples.filter(sample => sample.hostId === hostId);
        return gapOf(hostId, hostSamples, !answeredHostIds.has(hostId), now, windowMs) ?? [];
    });
    return { asked: answeredHostIds.size, silent, gaps, complete: silent.length === 0 && gaps.length === 0 };
};
