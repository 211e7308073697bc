/** Lets a stand-by take more slots of a member while the member has room for it. */

/** The limits of a stand-by, per member. Times are in milliseconds. */
export interface StandByLimits {
    /** An attempt ended that the member did not shed. */
    ended(serverId: string, now: number): void;
    shed(serverId: string, now: number): void;
    /** The most attempts that the member may have in flight. */
    capOf(serverId: string, now: number): number;
}

interface Limit {
    slots: number;
    usedAt: number;
    shedAt: number;
}

const firstSlots = 1;

/** After so long without an attempt, what was learnt about the member's room is out of date. */
const forgetAfterMs = 2000;

/** Creates the limits of a pool: one slot a member, one more with each attempt that ends, and back to one with a shed. */
export const createStandByLimits = (): StandByLimits => {
    const limits = new Map<string, Limit>();

    const find = (serverId: string, now: number): Limit | undefined => {
        const limit = limits.get(serverId);
        return limit === undefined || now > limit.usedAt + forgetAfterMs ? undefined : limit;
    };

    const ended = (serverId: string, now: number): void => {
        const known = find(serverId, now);
        // The release of the attempt that was shed just now is no sign of room.
        const isShedNow = known?.shedAt === now;
        const slots = (known?.slots ?? firstSlots) + (isShedNow ? 0 : 1);
        limits.set(serverId, { slots, usedAt: now, shedAt: known?.shedAt ?? -Infinity });
    };

    const shed = (serverId: string, now: number): void => {
        limits.set(serverId, { slots: firstSlots, usedAt: now, shedAt: now });
    };

    return { ended, shed, capOf: (serverId, now) => find(serverId, now)?.slots ?? firstSlots };
};
