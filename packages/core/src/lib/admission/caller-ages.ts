/** Estimates how long ago a caller sent its first attempt, since the latency objective counts from then. */

/** The estimates by route. Times are in milliseconds. */
export interface CallerAges {
    /** Records how much time a caller has left on arrival, while callers are not known to return. */
    record(route: string, remainingMs: number): void;
    /** Returns the estimated time since the caller's first attempt; 0 unless the callers of the route have one deadline. */
    ageMs(route: string, remainingMs: number): number;
}

/** Times within this fraction of the usual one are the same. */
const tolerance = 0.02;
/** Weight of a new arrival in the share of callers with the usual time. */
const weight = 0.05;
/** Callers have one deadline if at least this share of them has the usual time left. */
const minShare = 0.8;
const minArrivals = 10;
/** Bounds the memory when a configuration has very many routes. */
const maxRoutes = 2000;

interface UsualTime {
    remainingMs: number;
    share: number;
    arrivals: number;
}

/** Creates estimates without arrivals. */
export const createCallerAges = (): CallerAges => {
    const routes = new Map<string, UsualTime>();

    return {
        record: (route, remainingMs) => {
            const usual = routes.get(route);
            if (usual === undefined) {
                if (routes.size < maxRoutes) {
                    routes.set(route, { remainingMs, share: 1, arrivals: 1 });
                }
                return;
            }
            const isUsual = Math.abs(remainingMs - usual.remainingMs) <= tolerance * usual.remainingMs;
            usual.arrivals += 1;
            usual.share += weight * ((isUsual ? 1 : 0) - usual.share);
            if (remainingMs > usual.remainingMs * (1 + tolerance) || usual.share < 1 - minShare) {
                routes.set(route, { remainingMs, share: 1, arrivals: 1 });
            }
        },
        ageMs: (route, remainingMs) => {
            const usual = routes.get(route);
            return usual === undefined || usual.arrivals < minArrivals || usual.share < minShare
                    || remainingMs >= usual.remainingMs * (1 - tolerance)
                ? 0
                : usual.remainingMs - remainingMs;
        },
    };
};
