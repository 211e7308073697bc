/** Limits requests to a member for a backoff time after it shed a request. */

/** The details of a shed request. Times are in milliseconds. */
export interface ShedDetails {
    /** The retry delay that the backend server asked for; 0 when it gave none. */
    retryAfterMs: number;
    /** Attempts in flight at the member besides the one that it shed. */
    othersInFlight: number;
    now: number;
}

/** The shed backoffs of one pool. Times are in milliseconds. */
export interface ShedBackoffTracker {
    recordShed(serverId: string, details: ShedDetails): void;
    /** The maximum number of attempts in flight at the member; `Infinity` without a backoff. */
    maxInFlight(serverId: string, now: number): number;
    /** When the next backoff ends; `undefined` without one. */
    nextEndAt(now: number): number | undefined;
    /** Removes the backoffs of all members but these. */
    retain(serverIds: ReadonlySet<string>): void;
}

interface ShedBackoff {
    maxInFlight: number;
    delayMs: number;
    endsAt: number;
}

const initialDelayMs = 20;
const maxDelayMs = 5000;
const delayGrowthFactor = 2;

/** After this many times its last delay without a further shed, a member starts again with the initial delay. */
const resetAfterDelays = 4;

/** Creates the tracker of a pool without any backoff. */
export const createShedBackoffTracker = (): ShedBackoffTracker => {
    const backoffs = new Map<string, ShedBackoff>();

    const nextDelayMs = (previous: ShedBackoff | undefined, details: ShedDetails): number => {
        const isRecent = previous !== undefined && details.now < previous.endsAt + previous.delayMs * resetAfterDelays;
        const minDelayMs = isRecent ? previous.delayMs * delayGrowthFactor : initialDelayMs;
        return Math.min(maxDelayMs, Math.max(minDelayMs, details.retryAfterMs));
    };

    const recordShed = (serverId: string, details: ShedDetails): void => {
        const previous = backoffs.get(serverId);
        // Requests already in flight when the first one was shed do not extend the backoff.
        if (previous !== undefined && details.now < previous.endsAt) {
            previous.maxInFlight = Math.min(previous.maxInFlight, details.othersInFlight);
            return;
        }
        const delayMs = nextDelayMs(previous, details);
        backoffs.set(serverId, { maxInFlight: details.othersInFlight, delayMs, endsAt: details.now + delayMs });
    };

    const maxInFlight = (serverId: string, now: number): number => {
        const backoff = backoffs.get(serverId);
        return backoff === undefined || now >= backoff.endsAt ? Infinity : backoff.maxInFlight;
    };

    const nextEndAt = (now: number): number | undefined => {
        const ends = [...backoffs.values()].map(backoff => backoff.endsAt).filter(endsAt => endsAt > now);
        return ends.length === 0 ? undefined : Math.min(...ends);
    };

    const retain = (serverIds: ReadonlySet<string>): void => {
        for (const serverId of backoffs.keys()) {
            if (!serverIds.has(serverId)) {
                backoffs.delete(serverId);
            }
        }
    };

    return { recordShed, maxInFlight, nextEndAt, retain };
};
