/** The cost of sending a request to a server, as a fraction of the request's value that is expected to be lost. */
import { ownValue } from "../own-value.js";
import type { Repeatability } from "./gateway-config.js";
import { failureProbabilityOf } from "./pool-member.js";
import type { PoolMember } from "./pool-member.js";
import type { SelectionWeights } from "./selection-weights.js";
import type { ServerPoolCfg } from "./server-pool-types.js";

/** Returns the cost of a server at `now`; `utilization` is the average one in the own availability zone. */
export type SelectionCost = (member: PoolMember, repeatability: Repeatability, utilization: number, now: number) => number;

/** Creates the cost function of one host. */
export const createSelectionCost = (cfg: ServerPoolCfg, weights: SelectionWeights): SelectionCost => {
    const { availabilityZone, regions } = cfg.locality;
    const ownRegion = ownValue(regions, availabilityZone);

    const distanceCost = (zone: string): number => {
        if (zone === availabilityZone) {
            return weights.sameZone;
        }
        return ownValue(regions, zone) === ownRegion ? weights.sameRegion : weights.otherRegion;
    };

    /** Load is reported within an availability zone only; other zones are assumed to have this zone's average utilization. */
    const estimatedLoad = (member: PoolMember, utilization: number): number => {
        const knownInFlight = member.ownInFlight + member.otherHostsInFlight;
        return member.record.availabilityZone === availabilityZone
            ? knownInFlight
            : knownInFlight + utilization * member.record.slots;
    };

    return (member, repeatability, utilization, now) => {
        const { record } = member;
        const load = estimatedLoad(member, utilization);
        const queued = Math.max(0, load + 1 - record.slots);
        const isInSlowStart = cfg.wallClock() < record.warmAt;
        return weights.failure[repeatability]
                * Math.max(
                    weights.minFailureProbability,
                    failureProbabilityOf(member, now, weights.failureEstimate),
                )
            + weights.utilization * load / record.slots
            + distanceCost(record.availabilityZone)
            + weights.queueing * queued / record.slots
            + (load + 1 > record.slots - 1 && queued === 0 ? weights.lastFreeSlot : 0)
            + (isInSlowStart ? weights.slowStart : 0)
            + (record.silent ? weights.silent : 0)
            + weights.jitter * cfg.random.next();
    };
};
