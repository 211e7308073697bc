/** Measures how many requests of a workspace arrive at one state host. */

/** Two averages of the arrivals: a quick one for hosts that run short, and a slow one for what is told without haste. */
export interface QuotaDemandMeter {
    record(count: number, now: number): void;
    /** Requests a second that surely arrive, from the last moments; a few requests prove nothing. */
    surePerS(now: number): number;
    slowPerS(now: number): number;
}

const quickTimeMs = 700;
const slowTimeMs = 8000;
/** Standard deviations that are taken off the quick average. */
const sureSigmas = 1.5;

/** Creates a meter that has seen nothing. */
export const createQuotaDemandMeter = (createdAt: number): QuotaDemandMeter => {
    let quick = 0;
    let slow = 0;
    let measuredAt = createdAt;

    const decay = (now: number): void => {
        const elapsedMs = Math.max(0, now - measuredAt);
        quick *= Math.exp(-elapsedMs / quickTimeMs);
        slow *= Math.exp(-elapsedMs / slowTimeMs);
        measuredAt = Math.max(measuredAt, now);
    };

    return {
        record: (count, now) => {
            decay(now);
            quick += count * 1000 / quickTimeMs;
            slow += count * 1000 / slowTimeMs;
        },
        surePerS: now => {
            decay(now);
            return Math.max(slow, quick - sureSigmas * Math.sqrt(quick * 1000 / quickTimeMs));
        },
        slowPerS: now => {
            decay(now);
            return slow;
        },
    };
};
