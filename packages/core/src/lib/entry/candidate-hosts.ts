/** Determines which entry hosts serve a service, in the order in which they are tried. */
import type { HostInfo } from "../membership/host-record.js";
import { ownersOf } from "../ownership.js";

const ownersPerService = 1;
/** Hosts of each other region that are tried when the local region has no backend server. */
const remoteHostsPerRegion = 2;

/** Returns the owner and the stand-by hosts of a service in a region; they hold the leases of its backend servers. */
export const leaseHoldersOf = (service: string, region: string, hosts: HostInfo[]): HostInfo[] => {
    const byId = new Map(hosts.map(host => [host.hostId, host]));
    const { owners, standBys } = ownersOf({ service, region, hosts, count: ownersPerService });
    return [...owners, ...standBys].flatMap(hostId => byId.get(hostId) ?? []);
};

/** Returns the hosts that may serve a request received in `region`: those of this region first, then those of other regions. */
export const candidateHostsOf = (service: string, region: string, hosts: HostInfo[]): HostInfo[] => {
    const regions = [...new Set(hosts.map(host => host.region))].filter(other => other !== region).sort();
    const remote = regions.flatMap(other => leaseHoldersOf(service, other, hosts).slice(0, remoteHostsPerRegion));
    return [...new Set([...leaseHoldersOf(service, region, hosts), ...remote])];
};
