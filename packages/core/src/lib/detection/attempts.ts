/** The attempts in flight, and how far over the usual time each of them is already. */

/** An attempt that has not ended yet. */
export interface Attempt {
    serverId: string;
    requestKind: string;
    startedAt: number;
    /** How many levels of lateness have been counted against the member. */
    levelsCounted: number;
}

/** A level of lateness: the further over the usual time, the more it proves. */
export interface LatenessLevel {
    /** Added to the logarithm of the time at which an attempt is in the tail. */
    addedLog: number;
    /** Evidence in nats on top of the level before; the first level's evidence depends on the peers. */
    evidence: number;
}

/** The levels of lateness, in rising order. */
export const latenessLevels: readonly LatenessLevel[] = [
    { addedLog: 0, evidence: 0 },
    { addedLog: Math.log(1.5), evidence: 1.5 },
    { addedLog: Math.log(3), evidence: 1.5 },
    { addedLog: Math.log(8), evidence: 1.5 },
];

/** How many levels a time of `logMs` passes when the tail starts at `tailLog`. */
export const levelsPassed = (logMs: number, tailLog: number): number =>
    latenessLevels.filter(level => logMs >= tailLog + level.addedLog).length;
