/** Recognizes callers that repeat a refused request before the time that the refusal named. */

/** The refusals of one host that callers should still honor. Times are in milliseconds. */
export interface RepeatGuard {
    recordRefusal(requestKey: string, retryAfterMs: number, now: number): void;
    /** Returns the rest of the time that was named, if the request has come back too early and often; otherwise 0. */
    remainingMs(requestKey: string, now: number): number;
}

/** Callers may be early by this fraction of the time. */
const toleranceFraction = 0.2;
/** The first early repeats are let pass, as two callers may send requests of the same content. */
const toleratedRepeats = 2;
const maxEntries = 2000;

interface Refusal {
    until: number;
    toleranceMs: number;
    earlyRepeats: number;
}

/** Creates a guard without refusals. */
export const createRepeatGuard = (): RepeatGuard => {
    const refusals = new Map<string, Refusal>();

    return {
        recordRefusal: (requestKey, retryAfterMs, now) => {
            const earlyRepeats = refusals.get(requestKey)?.earlyRepeats ?? 0;
            // Inserted again at the end, so that the first entry is the oldest.
            refusals.delete(requestKey);
            refusals.set(requestKey, { until: now + retryAfterMs, toleranceMs: toleranceFraction * retryAfterMs, earlyRepeats });
            const oldest = refusals.keys().next().value;
            if (refusals.size > maxEntries && oldest !== undefined) {
                refusals.delete(oldest);
            }
        },
        remainingMs: (requestKey, now) => {
            const refusal = refusals.get(requestKey);
            if (refusal === undefined) {
                return 0;
            }
            if (now >= refusal.until - refusal.toleranceMs) {
                refusals.delete(requestKey);
                return 0;
            }
            refusal.earlyRepeats += 1;
            return refusal.earlyRepeats > toleratedRepeats ? refusal.until - now : 0;
        },
    };
};
