/** Samples of the counts of entry hosts, one for each process of a host. */
import { burnRetentionMs } from "@cassiapick/core";
import type { BurnStatus } from "@cassiapick/core";

/** The counts of one process of one host. */
export interface HostSample {
    hostId: string;
    /** Identifies the process among those of one host. */
    incarnation: number;
    /** The host's clock when it answered, in milliseconds since 1970. */
    hostNow: number;
    /** The report's clock at that time, in milliseconds since 1970. */
    takenAt: number;
    burn: BurnStatus;
}

/** Converts a time of the report's clock to the host's clock, so that the clocks need not agree. */
export const hostTimeAt = (sample: HostSample, now: number): number => sample.hostNow + now - sample.takenAt;

const processKey = (sample: HostSample): string => JSON.stringify([sample.hostId, sample.incarnation]);

/**
 * Merges samples of earlier runs with new ones. The latest sample of a process replaces its earlier ones, because counts
 * only grow; samples of earlier processes of a host are kept and add up. Samples older than all windows are dropped.
 */
export const mergeSamples = (storedSamples: HostSample[], newSamples: HostSample[], now: number): HostSample[] => {
    const latest = new Map<string, HostSample>();
    for (const sample of [...storedSamples, ...newSamples]) {
        const previous = latest.get(processKey(sample));
        if (previous === undefined || previous.takenAt <= sample.takenAt) {
            latest.set(processKey(sample), sample);
        }
    }
    return [...latest.values()].filter(sample => now - sample.takenAt < burnRetentionMs);
};
