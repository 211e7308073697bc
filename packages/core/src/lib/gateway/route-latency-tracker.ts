/** Tracks the latency of each route, to detect requests that take far longer than usual. */

/** Latency statistics by route. */
export interface RouteLatencyTracker {
    record(route: string, elapsedMs: number): void;
    /**
     * Returns the time after which a request counts as stuck, in milliseconds. With too few samples this is a fraction of
     * the latency objective, so that another server can still answer within the objective.
     */
    stuckAfterMs(route: string, objectiveMs: number): number;
}

/** With fewer samples than this, the latency objective is used instead. */
const minSamples = 5;
/** Weight of a new sample in the exponentially weighted means. */
const sampleWeight = 0.1;
/** A request is stuck at this many mean deviations above the mean, and never below `minMeanFactor` times the mean. */
const stuckDeviations = 5;
const minMeanFactor = 2;
/** Fraction of the latency objective after which a request of a route with too few samples counts as stuck. */
const defaultObjectiveFraction = 0.65;

interface LatencyEstimate {
    sampleCount: number;
    meanMs: number;
    deviationMs: number;
}

/** Creates a tracker without samples. */
export const createRouteLatencyTracker = (): RouteLatencyTracker => {
    const routes = new Map<string, LatencyEstimate>();
    return {
        record: (route, elapsedMs) => {
            const estimate = routes.get(route) ?? { sampleCount: 0, meanMs: elapsedMs, deviationMs: elapsedMs / 2 };
            const weight = Math.max(sampleWeight, 1 / (estimate.sampleCount + 1));
            estimate.deviationMs += weight * (Math.abs(elapsedMs - estimate.meanMs) - estimate.deviationMs);
            estimate.meanMs += weight * (elapsedMs - estimate.meanMs);
            estimate.sampleCount += 1;
            routes.set(route, estimate);
        },
        stuckAfterMs: (route, objectiveMs) => {
            const estimate = routes.get(route);
            if (estimate === undefined || estimate.sampleCount < minSamples) {
                return defaultObjectiveFraction * objectiveMs;
            }
            return Math.max(estimate.meanMs + stuckDeviations * estimate.deviationMs, minMeanFactor * estimate.meanMs);
        },
    };
};
