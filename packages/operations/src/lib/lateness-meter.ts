/** Measures how late the periodic work of a process runs: while it is late, messages wait unread and what they say grows old. */
import type { EventLog } from "./event-log.js";

/** Options of {@link createLatenessMeter}. Times are in milliseconds. */
export interface LatenessMeterOptions {
    /** The interval at which {@link LatenessMeter.tick} is called. */
    intervalMs: number;
    /** Monotonic time. */
    clock: () => number;
    log: EventLog;
}

/** The lateness of one process. */
export interface LatenessMeter {
    /** To be called at each interval. */
    tick(): void;
    /** The sum of all delays and the longest one, for the metrics endpoint. */
    gauges(): Record<string, number>;
}

/** Longer delays are logged, in milliseconds: messages that wait as long change what a view's age means. */
const loggedDelayMs = 250;

/** Creates a meter; the first tick counts from now. */
export const createLatenessMeter = ({ intervalMs, clock, log }: LatenessMeterOptions): LatenessMeter => {
    let tickedAt = clock();
    let totalMs = 0;
    let longestMs = 0;
    return {
        tick: () => {
            const now = clock();
            const lateMs = Math.max(0, now - tickedAt - intervalMs);
            tickedAt = now;
            totalMs += lateMs;
            longestMs = Math.max(longestMs, lateMs);
            if (lateMs > loggedDelayMs) {
                log.log("processLate", { lateMs: Math.round(lateMs) });
            }
        },
        gauges: () => ({
            cassiapick_process_late_ms_total: Math.round(totalMs),
            cassiapick_process_late_ms_longest: Math.round(longestMs),
        }),
    };
};
