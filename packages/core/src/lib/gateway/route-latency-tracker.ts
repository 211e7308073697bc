/** Tracks how long the answers of each route take, to tell a late answer from one that will not come. */

/** Answer times by route. */
export interface RouteLatencyTracker {
    record(route: string, elapsedMs: number): void;
    /** Returns the probability that an answer of a healthy server takes longer than `elapsedMs`. */
    survival(route: string, objectiveMs: number, elapsedMs: number): number;
    /**
     * Returns the time after which a repeatable request is sent to a second server as well, in milliseconds: few healthy servers
     * take longer, and another server can still answer within the objective.
     */
    hedgeAfterMs(route: string, objectiveMs: number): number;
}

/** Before the first answers, routes are assumed to take this fraction of their objective; such an assumption weighs as much as this many answers. */
const assumedObjectiveFraction = 0.3;
const assumedDeviation = 0.5;
const assumedSamples = 2;
/** Smallest weight of a new answer in the exponentially weighted means. */
const minSampleWeight = 0.04;
/** Fraction of answers with an unusual amount of work, and how many times as long they take. */
const tail = { fraction: 0.015, factor: 4 } as const;
/** Smallest standard deviation of the logarithm of answer times: distances differ by tens of milliseconds. */
const minDeviation = 0.12;
/** A second server is asked when the answer of a healthy server would be later than now with this probability. */
const hedgeSurvival = 0.06;
/** ... but not later than this fraction of the objective. */
const maxHedgeObjectiveFraction = 0.5;

/** Mean and variance of the natural logarithm of the answer times in milliseconds. */
interface LatencyEstimate {
    samples: number;
    mean: number;
    variance: number;
}

/** Probability that a standard normal variable exceeds `z` (Abramowitz and Stegun 26.2.17; absolute error below 1e-7). */
const normalTail = (z: number): number => {
    if (z < 0) {
        return 1 - normalTail(-z);
    }
    const t = 1 / (1 + 0.2316419 * z);
    const polynomial = t * (0.31938153 + t * (-0.356563782 + t * (1.781477937 + t * (-1.821255978 + t * 1.330274429))));
    return Math.exp(-z * z / 2) / Math.sqrt(2 * Math.PI) * polynomial;
};

/** Creates a tracker without samples. */
export const createRouteLatencyTracker = (): RouteLatencyTracker => {
    const routes = new Map<string, LatencyEstimate>();

    const assumed = (objectiveMs: number): LatencyEstimate => ({
        samples: 0,
        mean: Math.log(assumedObjectiveFraction * objectiveMs),
        variance: assumedDeviation * assumedDeviation,
    });

    /** The estimate from the answers alone, combined with the assumption while there are few. */
    const estimateOf = (route: string, objectiveMs: number): LatencyEstimate => {
        const observed = routes.get(route);
        const prior = assumed(objectiveMs);
        if (observed === undefined) {
            return prior;
        }
        const weight = observed.samples / (observed.samples + assumedSamples);
        return {
            samples: observed.samples,
            mean: weight * observed.mean + (1 - weight) * prior.mean,
            variance: weight * observed.variance + (1 - weight) * prior.variance,
        };
    };

    const survivalOf = ({ mean, variance }: LatencyEstimate, elapsedMs: number): number => {
        const deviation = Math.max(minDeviation, Math.sqrt(variance));
        const z = (Math.log(Math.max(1, elapsedMs)) - mean) / deviation;
        return (1 - tail.fraction) * normalTail(z) + tail.fraction * normalTail(z - Math.log(tail.factor) / deviation);
    };

    return {
        record: (route, elapsedMs) => {
            const value = Math.log(Math.max(1, elapsedMs));
            const estimate = routes.get(route) ?? { samples: 0, mean: value, variance: 0 };
            const weight = Math.max(minSampleWeight, 1 / (estimate.samples + 1));
            const difference = value - estimate.mean;
            estimate.mean += weight * difference;
            estimate.variance = (1 - weight) * (estimate.variance + weight * difference * difference);
            estimate.samples += 1;
            routes.set(route, estimate);
        },
        survival: (route, objectiveMs, elapsedMs) => survivalOf(estimateOf(route, objectiveMs), elapsedMs),
        hedgeAfterMs: (route, objectiveMs) => {
            const estimate = estimateOf(route, objectiveMs);
            let low = 0;
            let high = maxHedgeObjectiveFraction * objectiveMs;
            if (survivalOf(estimate, high) > hedgeSurvival) {
                return high;
            }
            while (high - low > 1) {
                const middle = (low + high) / 2;
                if (survivalOf(estimate, middle) > hedgeSurvival) {
                    low = middle;
                }
                else {
                    high = middle;
                }
            }
            return high;
        },
    };
};
