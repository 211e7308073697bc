/**
 * A clock for what a host holds for a limited time. The steady clock of a machine stands still while the machine is suspended,
 * and the time of day goes on; a host that wakes must not use what has ended meanwhile.
 */

/** Differences between the clocks below this are drift, in milliseconds. */
const minSuspensionMs = 400;

/** Creates a clock that is the steady one, and advances with the time of day where that has jumped forward. */
export const createSuspensionClock = (clock: () => number, wallClock: () => number): () => number => {
    let steadyAt = clock();
    let wallAt = wallClock();
    let suspendedMs = 0;
    return () => {
        const steady = clock();
        const wall = wallClock();
        const jumpMs = wall - wallAt - (steady - steadyAt);
        suspendedMs += jumpMs > minSuspensionMs ? jumpMs : 0;
        steadyAt = steady;
        wallAt = wall;
        return steady + suspendedMs;
    };
};
