/** Gives a cold member its slots one after the other. */

/** The slow start of one pool's members. Times are in milliseconds. */
export interface SlowStart {
    /** Takes the members as they are now. */
    update(members: readonly { serverId: string; cold: boolean; }[], now: number): void;
    /** The most attempts that the member may have in flight; `Infinity` when it is warm. */
    capOf(serverId: string, now: number): number;
    /** When the next cold member gains a slot. */
    nextStepAt(now: number): number | undefined;
}

/** Creates the slow start of a pool: one slot at first, and one more each `stepMs` while the member says that it is cold. */
export const createSlowStart = (stepMs: number): SlowStart => {
    let coldSince = new Map<string, number>();

    const update = (members: readonly { serverId: string; cold: boolean; }[], now: number): void => {
        const cold = members.filter(member => member.cold);
        coldSince = new Map(cold.map(({ serverId }) => [serverId, coldSince.get(serverId) ?? now]));
    };

    const capOf = (serverId: string, now: number): number => {
        const since = coldSince.get(serverId);
        return since === undefined ? Infinity : 1 + Math.floor((now - since) / stepMs);
    };

    const nextStepAt = (now: number): number | undefined => {
        const steps = [...coldSince.values()].map(since => now + stepMs - (now - since) % stepMs);
        return steps.length === 0 ? undefined : Math.min(...steps);
    };

    return { update, capOf, nextStepAt };
};
