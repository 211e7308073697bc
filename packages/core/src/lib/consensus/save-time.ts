/** How long the disk of a state host takes to make a vote durable. */

/** The estimate of one host. Times are in milliseconds. */
export interface SaveTime {
    /** Records that a save took `tookMs`, at `now`. */
    record(tookMs: number, now: number): void;
    /** The time that the next save may take; 0 before the first. */
    estimateMs(now: number): number;
}

/** Saves are rare, and a disk that was slow once may be fast again: an estimate counts half after this time, in milliseconds. */
const halfLifeMs = 10_000;
/** A longer time is not expected of a disk that works, in milliseconds. */
const maxEstimateMs = 2000;

/** Creates the estimate of a host that has saved nothing. */
export const createSaveTime = (): SaveTime => {
    let latestMs = 0;
    let recordedAt = 0;
    const estimateMs = (now: number): number => latestMs * 2 ** (-(now - recordedAt) / halfLifeMs);
    return {
        record: (tookMs, now) => {
            // A slower save counts at once, a faster one by half.
            const earlierMs = estimateMs(now);
            latestMs = Math.min(maxEstimateMs, Math.max(tookMs, (earlierMs + tookMs) / 2));
            recordedAt = now;
        },
        estimateMs,
    };
};
