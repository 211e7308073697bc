/** The attempts in flight, and how far over the usual time each of them is already. */

/** An attempt that has not ended yet. */
export interface Attempt {
    serverId: string;
    requestKind: string;
    startedAt: number;
    /** How many levels of lateness have been counted against the member. */
    levelsCounted: number;
    /** Whether the member was cold when it started. */
    cold: boolean;
}

/** The greatest number of levels of lateness. */
export const latenessLevels = 7;

const levelFactorLog = Math.log(1.4);

/** How many levels a time of `logMs` passes: the first where the tail starts at `tailLog`, each next one 1.4 times later. */
export const levelsPassed = (logMs: number, tailLog: number): number =>
    logMs < tailLog ? 0 : Math.min(latenessLevels, 1 + Math.floor((logMs - tailLog) / levelFactorLog));
