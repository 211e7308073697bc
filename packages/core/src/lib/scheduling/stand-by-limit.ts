/** Limits the slots that a stand-by takes of a member, and raises the limit while the member sheds nothing. */

/** The slot limits of a stand-by per member. Times are in milliseconds. */
export interface StandByLimits {
    /** Records the end of an attempt; it raises the limit unless the member shed an attempt at the same time. */
    recordEnd(serverId: string, now: number): void;
    /** Records that the member shed an attempt, which resets the limit. */
    recordShed(serverId: string, now: number): void;
    /** The maximum number of attempts in flight at the member. */
    maxInFlight(serverId: string, now: number): number;
}

interface Limit {
    slots: number;
    usedAt: number;
    shedAt: number;
}

const initialSlots = 1;

/** After this time without an attempt, the limit no longer reflects the member's capacity and starts again. */
const limitExpiryMs = 2000;

/** Creates the limits of a pool: one slot per member, one more with each attempt that ends, and back to one after a shed. */
export const createStandByLimits = (): StandByLimits => {
    const limits = new Map<string, Limit>();

    const currentLimit = (serverId: string, now: number): Limit | undefined => {
        const limit = limits.get(serverId);
        return limit === undefined || now > limit.usedAt + limitExpiryMs ? undefined : limit;
    };

    const recordEnd = (serverId: string, now: number): void => {
        const previous = currentLimit(serverId, now);
        // The release of the attempt that was just shed does not show spare capacity.
        const isShedNow = previous?.shedAt === now;
        const slots = (previous?.slots ?? initialSlots) + (isShedNow ? 0 : 1);
        limits.set(serverId, { slots, usedAt: now, shedAt: previous?.shedAt ?? -Infinity });
    };

    const recordShed = (serverId: string, now: number): void => {
        limits.set(serverId, { slots: initialSlots, usedAt: now, shedAt: now });
    };

    return { recordEnd, recordShed, maxInFlight: (serverId, now) => currentLimit(serverId, now)?.slots ?? initialSlots };
};
