/** Usual times of requests by route, to tell a request that waits far too long. */

/** Usual times by route. */
export interface LatencyBook {
    note(route: string, elapsedMs: number): void;
    /**
     * After this time, in milliseconds, a request counts as stuck. While too few are known it is a share of the latency
     * objective, by whose end another server should have answered.
     */
    stuckAfterMs(route: string, objectiveMs: number): number;
}

const leastSamples = 5;
/** Weight of a new sample in the running means. */
const sampleWeight = 0.1;
/** A request is stuck at this many mean deviations above the mean, and never below `leastFactor` times the mean. */
const deviations = 5;
const leastFactor = 2;
/** Share of the latency objective after which a request of a route that is little known counts as stuck. */
const unknownShare = 0.65;

interface Usual {
    count: number;
    meanMs: number;
    deviationMs: number;
}

/** Creates an empty book. */
export const createLatencyBook = (): LatencyBook => {
    const routes = new Map<string, Usual>();
    return {
        note: (route, elapsedMs) => {
            const usual = routes.get(route) ?? { count: 0, meanMs: elapsedMs, deviationMs: elapsedMs / 2 };
            const weight = Math.max(sampleWeight, 1 / (usual.count + 1));
            usual.deviationMs += weight * (Math.abs(elapsedMs - usual.meanMs) - usual.deviationMs);
            usual.meanMs += weight * (elapsedMs - usual.meanMs);
            usual.count += 1;
            routes.set(route, usual);
        },
        stuckAfterMs: (route, objectiveMs) => {
            const usual = routes.get(route);
            if (usual === undefined || usual.count < leastSamples) {
                return unknownShare * objectiveMs;
            }
            return Math.max(usual.meanMs + deviations * usual.deviationMs, leastFactor * usual.meanMs);
        },
    };
};
