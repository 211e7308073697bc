/** What entry hosts counted, as the report holds it: one sample for each process that was asked. */
import { burnRetentionMs } from "@cassiapick/core";
import type { BurnStatus } from "@cassiapick/core";

/** The counts of one process of one host. */
export interface HostSample {
    hostId: string;
    /** Tells the processes of one host apart. */
    incarnation: number;
    /** The host's clock when it answered, in milliseconds since 1970. */
    hostNow: number;
    /** The report's clock at that time, in milliseconds since 1970. */
    takenAt: number;
    burn: BurnStatus;
}

/** What the host's clock shows when the report's clock shows `now`, so that clocks need not agree. */
export const hostClock = (sample: HostSample, now: number): number => sample.hostNow + now - sample.takenAt;

const keyOf = (sample: HostSample): string => JSON.stringify([sample.hostId, sample.incarnation]);

/**
 * Joins samples of earlier runs with new ones. The latest sample of a process replaces its earlier ones, because counts
 * only grow; samples of earlier processes of a host stay and add up. Samples that no window reaches are dropped.
 */
export const mergeSamples = (kept: HostSample[], fresh: HostSample[], now: number): HostSample[] => {
    const latest = new Map<string, HostSample>();
    for (const sample of [...kept, ...fresh]) {
        const known = latest.get(keyOf(sample));
        if (known === undefined || known.takenAt <= sample.takenAt) {
            latest.set(keyOf(sample), sample);
        }
    }
    return [...latest.values()].filter(sample => now - sample.takenAt < burnRetentionMs);
};
