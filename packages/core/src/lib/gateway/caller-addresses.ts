/** The answer to a caller that asks where to connect. */
import { HostPhase, HostRole } from "../fleet/facts.js";
import type { FleetHost } from "../fleet/facts.js";

/** Most addresses of an answer. */
export const maxAddresses = 64;
/** With fewer near hosts than this, farther ones are named too, so that a caller can turn to another. */
const leastAddresses = 2;

/** The entry hosts that a caller in `availabilityZone` should use: the nearest that are ready. */
export const callerAddresses = (hosts: Iterable<FleetHost>, availabilityZone: string, region: string): string[] => {
    const ready = [...hosts].filter(host => host.role === HostRole.Entry && host.state === HostPhase.Ready);
    const rings = [
        ready.filter(host => host.availabilityZone === availabilityZone),
        ready.filter(host => host.region === region && host.availabilityZone !== availabilityZone),
        ready.filter(host => host.region !== region),
    ];
    const addresses: string[] = [];
    for (const ring of rings) {
        if (addresses.length < leastAddresses) {
            addresses.push(...ring.map(host => host.address));
        }
    }
    return addresses.slice(0, maxAddresses);
};
