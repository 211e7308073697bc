/** Implements slow start: a cold member gets its slots one after the other. */

/** The slow start of one pool's members. Times are in milliseconds. */
export interface SlowStart {
    /** Replaces the members; those that stay cold keep their progress. */
    setMembers(members: readonly { serverId: string; cold: boolean; }[], now: number): void;
    /** The maximum number of attempts in flight at the member; `Infinity` when it is not cold. */
    maxInFlight(serverId: string, now: number): number;
    /** When the next cold member gains a slot; `undefined` without a cold member. */
    nextSlotAt(now: number): number | undefined;
}

/** Creates the slow start of a pool: one slot at first, and one more every `stepMs` while the member reports itself as cold. */
export const createSlowStart = (stepMs: number): SlowStart => {
    let coldSince = new Map<string, number>();

    const setMembers = (members: readonly { serverId: string; cold: boolean; }[], now: number): void => {
        const cold = members.filter(member => member.cold);
        coldSince = new Map(cold.map(({ serverId }) => [serverId, coldSince.get(serverId) ?? now]));
    };

    const maxInFlight = (serverId: string, now: number): number => {
        const startedAt = coldSince.get(serverId);
        return startedAt === undefined ? Infinity : 1 + Math.floor((now - startedAt) / stepMs);
    };

    const nextSlotAt = (now: number): number | undefined => {
        const stepTimes = [...coldSince.values()].map(startedAt => now + stepMs - (now - startedAt) % stepMs);
        return stepTimes.length === 0 ? undefined : Math.min(...stepTimes);
    };

    return { setMembers, maxInFlight, nextSlotAt };
};
