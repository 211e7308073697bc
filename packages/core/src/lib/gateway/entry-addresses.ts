/** Selects the entry hosts that a caller is told to connect to. */
import { HostPhase, HostRole } from "../fleet/facts.js";
import type { FleetHost } from "../fleet/facts.js";

/** Most addresses in one response. */
export const maxEntryAddresses = 64;
/** With fewer local hosts than this, remote ones are added, so that a caller has another host to fail over to. */
const minEntryAddresses = 2;

/** Returns the addresses of the nearest ready entry hosts for a caller in `availabilityZone`. */
export const entryAddressesForCaller = (hosts: Iterable<FleetHost>, availabilityZone: string, region: string): string[] => {
    const readyHosts = [...hosts].filter(host => host.role === HostRole.Entry && host.state === HostPhase.Ready);
    const hostsByDistance = [
        readyHosts.filter(host => host.availabilityZone === availabilityZone),
        readyHosts.filter(host => host.region === region && host.availabilityZone !== availabilityZone),
        readyHosts.filter(host => host.region !== region),
    ];
    const addresses: string[] = [];
    for (const group of hostsByDistance) {
        if (addresses.length < minEntryAddresses) {
            addresses.push(...group.map(host => host.address));
        }
    }
    return addresses.slice(0, maxEntryAddresses);
};
