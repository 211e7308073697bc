/** Which entry hosts serve a service in a region, in the order in which they are tried. */
import { hashText } from "../hash.js";
import type { HostInfo } from "../membership/host-record.js";

/** An owner and its stand-bys. */
export const holdersPerService = 3;

const weightOf = (service: string, region: string, hostId: string): number => hashText(`${hostId}|${service}|${region}`);

const ranked = (service: string, region: string, hosts: HostInfo[]): HostInfo[] =>
    hosts
        .map(host => ({ host, weight: weightOf(service, region, host.hostId) }))
        .sort((a, b) => b.weight - a.weight || (a.host.hostId < b.host.hostId ? -1 : 1))
        .map(entry => entry.host);

/** The owner and the stand-bys of a service in a region: hosts of that region, or of any region when it has none. */
export const holdersOf = (service: string, region: string, hosts: HostInfo[]): HostInfo[] => {
    const local = hosts.filter(host => host.region === region);
    return ranked(service, region, local.length > 0 ? local : hosts).slice(0, holdersPerService);
};

/** All hosts that may serve a request that arrived in `region`: the region's own first, then the other regions' owners. */
export const candidatesOf = (service: string, region: string, hosts: HostInfo[]): HostInfo[] => {
    const regions = [...new Set(hosts.map(host => host.region))].filter(other => other !== region).sort();
    const remote = regions.flatMap(other => holdersOf(service, other, hosts).slice(0, 2));
    return [...holdersOf(service, region, hosts), ...remote];
};
