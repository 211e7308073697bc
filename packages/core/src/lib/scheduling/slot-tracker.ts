/** Tracks which attempt holds a slot of which member. */

/** A released slot. */
export interface ReleasedSlot {
    serverId: string;
    heldMs: number;
}

/** The held slots of one pool. Times are in milliseconds. */
export interface SlotTracker {
    holds(attemptId: string): boolean;
    acquire(attemptId: string, serverId: string, now: number): void;
    /** Releases the slot of an attempt; returns `undefined` when it holds none, so a second release has no effect. */
    release(attemptId: string, now: number): ReleasedSlot | undefined;
    inFlight(serverId: string): number;
}

/** Creates a tracker in which no slot is held. */
export const createSlotTracker = (): SlotTracker => {
    const holders = new Map<string, { serverId: string; grantedAt: number; }>();
    const inFlightByServer = new Map<string, number>();

    const inFlight = (serverId: string): number => inFlightByServer.get(serverId) ?? 0;

    const acquire = (attemptId: string, serverId: string, now: number): void => {
        holders.set(attemptId, { serverId, grantedAt: now });
        inFlightByServer.set(serverId, inFlight(serverId) + 1);
    };

    const release = (attemptId: string, now: number): ReleasedSlot | undefined => {
        const holder = holders.get(attemptId);
        if (holder === undefined) {
            return undefined;
        }
        holders.delete(attemptId);
        const remaining = inFlight(holder.serverId) - 1;
        if (remaining === 0) {
            inFlightByServer.delete(holder.serverId);
        }
        else {
            inFlightByServer.set(holder.serverId, remaining);
        }
        return { serverId: holder.serverId, heldMs: now - holder.grantedAt };
    };

    return { holds: attemptId => holders.has(attemptId), acquire, release, inFlight };
};
