/** Counts which attempt holds a slot of which member. */

/** A slot that was given back. */
export interface ReleasedSlot {
    serverId: string;
    heldMs: number;
}

/** Who holds which slot. Times are in milliseconds. */
export interface SlotLedger {
    holds(attemptId: string): boolean;
    take(attemptId: string, serverId: string, now: number): void;
    /** Gives the slot back; `undefined` when the attempt holds none, so that a second release changes nothing. */
    release(attemptId: string, now: number): ReleasedSlot | undefined;
    inFlight(serverId: string): number;
}

/** Creates a ledger in which no slot is held. */
export const createSlotLedger = (): SlotLedger => {
    const holders = new Map<string, { serverId: string; since: number; }>();
    const busy = new Map<string, number>();

    const inFlight = (serverId: string): number => busy.get(serverId) ?? 0;

    const take = (attemptId: string, serverId: string, now: number): void => {
        holders.set(attemptId, { serverId, since: now });
        busy.set(serverId, inFlight(serverId) + 1);
    };

    const release = (attemptId: string, now: number): ReleasedSlot | undefined => {
        const holder = holders.get(attemptId);
        if (holder === undefined) {
            return undefined;
        }
        holders.delete(attemptId);
        const left = inFlight(holder.serverId) - 1;
        if (left === 0) {
            busy.delete(holder.serverId);
        }
        else {
            busy.set(holder.serverId, left);
        }
        return { serverId: holder.serverId, heldMs: now - holder.since };
    };

    return { holds: attemptId => holders.has(attemptId), take, release, inFlight };
};
