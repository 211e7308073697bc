/** Averages the fraction of slots in use in one availability zone, which stands for the unknown load of the other zones. */
import { ServingState } from "../fleet/facts.js";
import type { PoolMember } from "./pool-member.js";

/** Average utilization by service, from 0 to 1. */
export interface UtilizationTracker {
    /** Returns the average after the present state of the service's servers, in all zones. */
    update(service: string, members: Iterable<PoolMember>, now: number): number;
}

/** Time constant of the average, in milliseconds. */
const averagingMs = 2000;
/** Utilization that is assumed when the availability zone has no server of a service. */
const assumedUtilization = 0.4;

/** Creates a tracker for one availability zone. */
export const createUtilizationTracker = (availabilityZone: string): UtilizationTracker => {
    const averages = new Map<string, { utilization: number; updatedAt: number; }>();

    const presentUtilization = (members: Iterable<PoolMember>): number => {
        let inUse = 0;
        let slots = 0;
        for (const { record, ownInFlight, otherHostsInFlight } of members) {
            if (record.availabilityZone === availabilityZone && record.state === ServingState.Ready) {
                inUse += ownInFlight + otherHostsInFlight;
                slots += record.slots;
            }
        }
        return slots === 0 ? assumedUtilization : Math.min(1, inUse / slots);
    };

    return {
        update: (service, members, now) => {
            const utilization = presentUtilization(members);
            const average = averages.get(service) ?? { utilization, updatedAt: now };
            const decay = Math.exp(-(now - average.updatedAt) / averagingMs);
            average.utilization = average.utilization * decay + utilization * (1 - decay);
            average.updatedAt = now;
            averages.set(service, average);
            return average.utilization;
        },
    };
};
