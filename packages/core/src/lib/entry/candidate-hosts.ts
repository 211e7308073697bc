/** Determines which entry hosts serve a service, in the order in which they are tried. */
import type { HostInfo } from "../membership/host-record.js";
import { ownersOf } from "../ownership.js";

/** Number of owners of a service in each region. */
const ownersPerService = 1;
/** Hosts of each other region that are tried when the local region has no backend server. */
const remoteHostsPerRegion = 2;

/**
 * Returns the owner and the stand-by hosts of a service in a region, the owner first; they hold the leases of its backend
 * servers. Hosts of other regions are among them when the region has too few hosts.
 */
export const leaseHoldersOf = (service: string, region: string, hosts: HostInfo[]): HostInfo[] => {
    const byId = new Map(hosts.map(host => [host.hostId, host]));
    const { owners, standBys } = ownersOf({ service, region, hosts, count: ownersPerService });
    return [...owners, ...standBys].flatMap(hostId => byId.get(hostId) ?? []);
};

/** Returns the hosts that may serve a request received in `region`: the lease holders of this region, then of other regions. */
export const candidateHostsOf = (service: string, region: string, hosts: HostInfo[]): HostInfo[] => {
    const otherRegions = [...new Set(hosts.map(host => host.region))].filter(other => other !== region).sort();
    const remote = otherRegions.flatMap(other => leaseHoldersOf(service, other, hosts).slice(0, remoteHostsPerRegion));
    return [...new Set([...leaseHoldersOf(service, region, hosts), ...remote])];
};
