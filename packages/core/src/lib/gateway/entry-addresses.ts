/** Selects the entry hosts that a caller is told to connect to. */
import { HostPhase, HostRole } from "../fleet/facts.js";
import type { FleetHost } from "../fleet/facts.js";

/** Most addresses in one response. */
export const maxEntryAddresses = 64;
/** With fewer local hosts than this, remote ones are added, so that a caller has another host to fail over to. */
const minEntryAddresses = 2;
/** Remote hosts are also added when fewer than this fraction of the local hosts have a path to the servers, to share the load. */
const minReadyFraction = 0.5;

/**
 * Returns the addresses of the nearest ready entry hosts for a caller in `availabilityZone`. Hosts without a path to the servers
 * are named only where there are too few others: they can still send requests through another host.
 */
export const entryAddressesForCaller = (hosts: Iterable<FleetHost>, availabilityZone: string, region: string): string[] => {
    const entryHosts = [...hosts].filter(host => host.role === HostRole.Entry);
    const hostsByDistance = (phase: HostPhase): FleetHost[][] => {
        const inPhase = entryHosts.filter(host => host.state === phase);
        return [
            inPhase.filter(host => host.availabilityZone === availabilityZone),
            inPhase.filter(host => host.region === region && host.availabilityZone !== availabilityZone),
            inPhase.filter(host => host.region !== region),
        ];
    };
    const ready = hostsByDistance(HostPhase.Ready);
    const withoutPath = hostsByDistance(HostPhase.NoServerPath);
    const localHostCount = ready[0]!.length + withoutPath[0]!.length;
    const minAddresses = Math.max(minEntryAddresses, minReadyFraction * localHostCount);
    const addresses: string[] = [];
    for (const group of [...ready, ...withoutPath]) {
        if (addresses.length < minAddresses) {
            addresses.push(...group.map(host => host.address));
        }
    }
    return addresses.slice(0, maxEntryAddresses);
};
