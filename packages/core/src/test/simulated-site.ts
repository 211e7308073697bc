/** Availability zones, services and backend servers of a simulated site. */
import { ServingState } from "../index.js";
import type { FleetServer } from "../index.js";

/** Region of each availability zone. */
export const regions = { a1: "a", a2: "a", b1: "b", b2: "b", c1: "c", c2: "c" };
export const zones = Object.keys(regions) as (keyof typeof regions)[];
export const services = ["viewer", "refunds", "bookings", "programmes"];

/** Time that a message takes between two availability zones, in milliseconds. */
export const zoneDelay = (from: string, to: string): number => {
    if (from === to) {
        return 1;
    }
    return regions[from as keyof typeof regions] === regions[to as keyof typeof regions] ? 2 : 20;
};

/** Creates the servers for a number of entry hosts; they are spread evenly over the availability zones. */
export const createSimulatedServers = (hostCount: number): FleetServer[] => {
    const serversPerService = Math.max(12, Math.round(hostCount / 2));
    return services.flatMap((service, serviceIndex) =>
        Array.from({ length: serversPerService }, (_, index): FleetServer => {
            const number = serviceIndex * serversPerService + index + 1;
            return {
                number,
                serverId: `s${number}`,
                service,
                address: `s${number}`,
                availabilityZone: zones[index % zones.length]!,
                slots: 3,
                state: ServingState.Ready,
                bornAt: 0,
                warmAt: -100_000,
                silent: false,
                keeper: "",
                revision: number,
            };
        })
    );
};
