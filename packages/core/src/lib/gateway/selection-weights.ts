/** Costs by which a backend server is selected, all in one unit: the fraction of a request's value expected to be lost. */
import { defaultFailureEstimateCfg } from "./failure-estimate.js";
import type { FailureEstimateCfg } from "./failure-estimate.js";
import { Repeatability } from "./gateway-config.js";

/** Cost of each property of a server. `npm run measure -- gateway` simulates their effect under the sites' loads. */
export interface SelectionWeights {
    /** Costs by distance, as traffic between availability zones and regions is billed. */
    sameZone: number;
    sameRegion: number;
    otherRegion: number;
    /** A failed request; one that may be repeated costs only time and one retry. */
    failure: Readonly<Record<Repeatability, number>>;
    /** Lower failure probabilities count as this one, or all hosts would select the best server at the same time. */
    minFailureProbability: number;
    /** Multiplied by the fraction of slots in use. */
    utilization: number;
    /** Queueing for as long as a request occupies a slot. */
    queueing: number;
    /** Taking the last free slot, as some servers slow down when nearly full. */
    lastFreeSlot: number;
    /** Discount for probing a server that is idle or newly warmed up with a request. */
    probe: number;
    /** A server that is still in its slow start. */
    slowStart: number;
    /** A server whose announcements have stopped, as after a crash or a network partition. */
    silent: number;
    /** Upper bound of a random cost that spreads the selections of many hosts over equal servers. */
    jitter: number;
    /** Servers of one availability zone whose costs differ by less are near-equal, and one of two random ones is selected. */
    nearEqual: number;
    /**
     * A request that must not be repeated is not sent to a limited server whose failure probability is higher: the host has few
     * other shares, but the caller can return to a host that has a share of a healthy server.
     */
    maxLimitedFailureProbability: number;
    /** Requests that a server is sent beyond its slots; it queues a few more than these before it declines. */
    maxRequestsBeyondSlots: number;
    failureEstimate: FailureEstimateCfg;
}

/** Default weights. */
export const defaultSelectionWeights: SelectionWeights = {
    sameZone: 0,
    sameRegion: 0.05,
    otherRegion: 0.12,
    failure: { [Repeatability.Repeatable]: 0.4, [Repeatability.AtMostOnce]: 1 },
    minFailureProbability: 0.02,
    utilization: 0.02,
    queueing: 1.5,
    lastFreeSlot: 0.03,
    probe: 0.6,
    slowStart: 0.12,
    silent: 0.3,
    jitter: 0.02,
    nearEqual: 0.2,
    maxLimitedFailureProbability: 0.9,
    maxRequestsBeyondSlots: 9,
    failureEstimate: defaultFailureEstimateCfg,
};
