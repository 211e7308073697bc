/** The network path from an entry host to the backend servers of one service, as a circuit breaker. */

export enum PathState {
    Intact = "intact",
    /** Only servers that have accepted a connection since the loss are used. */
    Lost = "lost",
    /** A server has accepted a connection again, and all servers are used until one of them accepts none. */
    HalfOpen = "half-open",
}

/** A path. Servers are named by the numbers of their records; times are in milliseconds of the host's clock. */
export interface ReachPath {
    /** Records an established connection; returns whether it has made the path half-open. `serverCount` servers take requests. */
    connected(number: number, serverCount: number, now: number): boolean;
    /** Records that no connection was established. */
    notConnected(number: number, serverCount: number, now: number): void;
    /** Makes the path half-open if it is lost. */
    halfOpen(): void;
    state(): PathState;
    /** Whether the path is lost or half-open. */
    isLost(): boolean;
    lostAt(): number;
    isReachable(number: number): boolean;
    /** Whether the server has accepted a connection since the loss. */
    hasReached(number: number): boolean;
    reachedCount(): number;
}

/** Distinct servers that must accept no connection for a path to count as lost. */
const minDistinctServers = 3;
/** A failed connection counts for this long, in milliseconds. */
const failureWindowMs = 5000;
/** Within this time of a loss, all servers must accept connections for the path to be restored, so that it does not flap. */
const settlingMs = 10_000;

/** Number of distinct servers that tell a lost path from failed servers, out of `serverCount`. */
export const requiredServers = (serverCount: number): number => Math.max(1, Math.min(minDistinctServers, serverCount));

/** Removes failures that don't count any more; returns the number of the others. */
export const countRecent = (failedAt: Map<number, number>, now: number): number => {
    for (const [number, at] of failedAt) {
        if (now - at > failureWindowMs) {
            failedAt.delete(number);
        }
    }
    return failedAt.size;
};

/** Creates an intact path. */
export const createReachPath = (): ReachPath => {
    let state = PathState.Intact;
    /** Servers that accepted no connection since the latest success, with the time of the failure. */
    const failedAt = new Map<number, number>();
    /** Servers that accepted a connection since the loss. */
    const reached = new Set<number>();
    /** Servers that did so for the first time since the path was half-open. */
    const newlyReached = new Set<number>();
    let lostAt = -Infinity;

    const lose = (now: number): void => {
        state = PathState.Lost;
        lostAt = now;
        reached.clear();
    };

    const restore = (): void => {
        state = PathState.Intact;
        failedAt.clear();
        reached.clear();
        newlyReached.clear();
    };

    const halfOpen = (): void => {
        if (state === PathState.Lost) {
            state = PathState.HalfOpen;
            newlyReached.clear();
        }
    };

    const neededToRestore = (serverCount: number, now: number): number =>
        now - lostAt >= settlingMs ? requiredServers(serverCount) : Math.max(1, serverCount);

    return {
        connected: (number, serverCount, now) => {
            if (state === PathState.Intact) {
                failedAt.clear();
                return false;
            }
            const isFirst = !reached.has(number);
            reached.add(number);
            const wasLost = state === PathState.Lost;
            if (isFirst) {
                halfOpen();
                newlyReached.add(number);
            }
            if (newlyReached.size >= neededToRestore(serverCount, now)) {
                restore();
            }
            return isFirst && wasLost;
        },
        notConnected: (number, serverCount, now) => {
            failedAt.set(number, now);
            reached.delete(number);
            newlyReached.clear();
            if (state === PathState.HalfOpen) {
                state = PathState.Lost;
            }
            else if (state === PathState.Intact && countRecent(failedAt, now) >= requiredServers(serverCount)) {
                lose(now);
            }
        },
        halfOpen,
        state: () => state,
        isLost: () => state !== PathState.Intact,
        lostAt: () => lostAt,
        isReachable: number => state !== PathState.Lost || reached.has(number),
        hasReached: number => state !== PathState.Intact && reached.has(number),
        reachedCount: () => reached.size,
    };
};
