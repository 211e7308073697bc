/** Defines attempts in flight and their lateness: by how many levels they exceed the typical duration. */

/** An attempt that has not ended yet. */
export interface Attempt {
    serverId: string;
    requestKind: string;
    startedAt: number;
    /** How many levels of lateness already count as evidence against the member. */
    levelsCounted: number;
    /** Whether the member was cold when the attempt started. */
    cold: boolean;
}

/** The maximum number of levels of lateness. */
export const maxLatenessLevel = 7;

const logLevelFactor = Math.log(1.4);

/**
 * Returns how many levels of lateness a duration exceeds: the first at the start of the tail, each further one 1.4 times later.
 *
 * Both parameters are natural logarithms of milliseconds.
 */
export const levelsPassed = (logMs: number, logTailStartMs: number): number =>
    logMs < logTailStartMs ? 0 : Math.min(maxLatenessLevel, 1 + Math.floor((logMs - logTailStartMs) / logLevelFactor));
