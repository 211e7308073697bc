/** Chooses when refused callers come back: one after the other as room becomes free, the urgent first. */
import type { Random } from "../random.js";

/** What the time depends on. Times are in milliseconds. */
export interface ReturnInput {
    priority: number;
    /** Time until the requests that go before it have been served. */
    backlogMs: number;
    /** Time that the host needs for one such request, at its part of the room. */
    serviceMs: number;
}

/** The return times of one service. Times are in milliseconds. */
export interface ReturnTimes {
    /** Returns the time after which a caller that is refused now may come back. */
    next(input: ReturnInput, now: number): number;
}

/** A caller waits at least this long, so that hosts learn of a slot that has become free. */
const minMs = 50;
const maxMs = 10_000;
/** Each time is varied by this fraction, so that callers of several hosts don't return at the same time. */
const jitter = 0.25;

/** Creates the return times of a service that has refused nobody. */
export const createReturnTimes = (random: Random): ReturnTimes => {
    /** When the last caller of each priority returns. */
    const lastReturns = new Map<number, number>();

    return {
        next: ({ priority, backlogMs, serviceMs }, now) => {
            let returnAt = now + backlogMs;
            for (const [otherPriority, lastAt] of lastReturns) {
                if (lastAt < now) {
                    lastReturns.delete(otherPriority);
                }
                else if (otherPriority <= priority) {
                    returnAt = Math.max(returnAt, lastAt);
                }
            }
            returnAt = Math.min(returnAt + serviceMs, now + maxMs);
            lastReturns.set(priority, returnAt);
            const delayMs = (returnAt - now) * (1 + jitter * (2 * random.next() - 1));
            return Math.min(maxMs, Math.max(minMs * (1 + random.next()), delayMs));
        },
    };
};
