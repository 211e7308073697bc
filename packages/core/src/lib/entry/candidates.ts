/** Which entry hosts serve a service, in the order in which they are tried. */
import type { HostInfo } from "../membership/host-record.js";
import { ownersOf } from "../ownership.js";

const ownersPerService = 1;
/** Hosts of another region that are tried when the own region has no backend server. */
const remoteHolders = 2;

/** The owner and the stand-bys of a service in a region: these hold the leases of its backend servers. */
export const holdersOf = (service: string, region: string, hosts: HostInfo[]): HostInfo[] => {
    const byId = new Map(hosts.map(host => [host.hostId, host]));
    const { owners, standBys } = ownersOf({ service, region, hosts, count: ownersPerService });
    return [...owners, ...standBys].flatMap(hostId => byId.get(hostId) ?? []);
};

/** All hosts that may serve a request that arrived in `region`: the region's own first, then the other regions' owners. */
export const candidatesOf = (service: string, region: string, hosts: HostInfo[]): HostInfo[] => {
    const regions = [...new Set(hosts.map(host => host.region))].filter(other => other !== region).sort();
    const remote = regions.flatMap(other => holdersOf(service, other, hosts).slice(0, remoteHolders));
    return [...new Set([...holdersOf(service, region, hosts), ...remote])];
};
