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
 * are named only where there are too few others: they can still send requests through another host. Silent hosts come last, as
 * they are probably gone.
 */
export const entryAddressesForCaller = (
    hosts: Iterable<FleetHost>,
    availabilityZone: string,
    region: string,
    isSilent: (host: FleetHost) => boolean = () => false,
): string[] => {
    const entryHosts = [...hosts].filter(host => host.role === HostRole.Entry);
    const silentHosts = new Set(entryHosts.filter(isSilent));
    const hostsByDistance = (phase: HostPhase, areSilent = false): FleetHost[][] => {
        const inPhase = entryHosts.filter(host => host.state === phase && silentHosts.has(host) === areSilent);
        return [
            inPhase.filter(host => host.availabilityZone === availabilityZone),
            inPhase.filter(host => host.region === region && host.availabilityZone !== availabilityZone),
            inPhase.filter(host => host.region !== region),
        ];
    };
    const ready = hostsByDistance(HostPhase.Ready);
    const withoutPath = hostsByDistance(HostPhase.NoServerPath);
    const silent = hostsByDistance(HostPhase.Ready, true);
    const localHostCount = ready[0]!.length + withoutPath[0]!.length + silent[0]!.length;
    const minAddresses = Math.max(minEntryAddresses, minReadyFraction * localHostCount);
    const addresses: string[] = [];
    for (const group of [...ready, ...withoutPath, ...silent]) {
        if (addresses.length < minAddresses) {
            addresses.push(...group.map(host => host.address));
        }
    }
    return addresses.slice(0, maxEntryAddresses);
};
