/** Runs callbacks in fake time, for simulations of many hosts. */

/** A clock that only moves while `run` is called; times are in milliseconds. */
export interface FakeTimeline {
    now(): number;
    /** Calls `callback` after `delayMs`, at least 1. */
    after(delayMs: number, callback: () => void): void;
    run(untilMs: number): void;
}

export const createFakeTimeline = (): FakeTimeline => {
    const events = new Map<number, (() => void)[]>();
    let now = 0;
    return {
        now: () => now,
        after: (delayMs: number, callback: () => void): void => {
            const at = now + Math.max(1, Math.round(delayMs));
            const due = events.get(at) ?? [];
            due.push(callback);
            events.set(at, due);
        },
        run: (untilMs: number): void => {
            for (; now <= untilMs; now += 1) {
                events.get(now)?.forEach(callback => callback());
                events.delete(now);
            }
        },
    };
};
