/** Holds a member back for a while after it shed a request. */

/** What a shed request says. Times are in milliseconds. */
export interface ShedNotice {
    /** The time that the backend server asked for; 0 when it named none. */
    retryAfterMs: number;
    /** Attempts in flight at the member besides the one that it shed. */
    othersInFlight: number;
    now: number;
}

/** The hold-backs of one pool. */
export interface HoldBacks {
    shed(serverId: string, notice: ShedNotice): void;
    /** The most attempts that the member may have in flight; `Infinity` when it is not held back. */
    capOf(serverId: string, now: number): number;
    /** When the next hold-back ends. */
    nextEndAt(now: number): number | undefined;
    /** Forgets members that are gone. */
    keep(serverIds: ReadonlySet<string>): void;
}

interface HoldBack {
    cap: number;
    pauseMs: number;
    until: number;
}

const firstPauseMs = 20;
const maxPauseMs = 5000;
const growth = 2;

/** After this many of its last pauses without a further shed, a member starts again with the shortest pause. */
const forgivePauses = 4;

/** Creates the hold-backs of a pool, none of which is in force. */
export const createHoldBacks = (): HoldBacks => {
    const holdBacks = new Map<string, HoldBack>();

    const pauseAfter = (known: HoldBack | undefined, notice: ShedNotice): number => {
        const isRecent = known !== undefined && notice.now < known.until + known.pauseMs * forgivePauses;
        const grown = isRecent ? known.pauseMs * growth : firstPauseMs;
        return Math.min(maxPauseMs, Math.max(grown, notice.retryAfterMs));
    };

    const shed = (serverId: string, notice: ShedNotice): void => {
        const known = holdBacks.get(serverId);
        // Requests that were already on their way when the first one was shed say nothing new about how long to wait.
        if (known !== undefined && notice.now < known.until) {
            known.cap = Math.min(known.cap, notice.othersInFlight);
            return;
        }
        const pauseMs = pauseAfter(known, notice);
        holdBacks.set(serverId, { cap: notice.othersInFlight, pauseMs, until: notice.now + pauseMs });
    };

    const capOf = (serverId: string, now: number): number => {
        const holdBack = holdBacks.get(serverId);
        return holdBack === undefined || now >= holdBack.until ? Infinity : holdBack.cap;
    };

    const nextEndAt = (now: number): number | undefined => {
        const ends = [...holdBacks.values()].map(holdBack => holdBack.until).filter(until => until > now);
        return ends.length === 0 ? undefined : Math.min(...ends);
    };

    const keep = (serverIds: ReadonlySet<string>): void => {
        for (const serverId of holdBacks.keys()) {
            if (!serverIds.has(serverId)) {
                holdBacks.delete(serverId);
            }
        }
    };

    return { shed, capOf, nextEndAt, keep };
};
