/** What a state host derives from the replicated fleet view for its entry hosts. */
import { computeEntryPeers, HostPhase, HostRole, nearestStateHost, ownValue } from "@cassiapick/core";
import type { EntryPeers, FleetMachine, StateHostContact } from "@cassiapick/core";

/** Addresses and locations of the voters, to which entry hosts connect. */
export const stateContacts = (fleet: FleetMachine, voters: readonly string[]): StateHostContact[] => {
    const stateHosts = [...fleet.hosts()].filter(record => record.role === HostRole.State);
    const voterIds = new Set(voters);
    return stateHosts.filter(record => voterIds.has(record.hostId) && record.state !== HostPhase.Departed)
        .map(({ hostId: address, availabilityZone, region }) => ({ address, availabilityZone, region }));
};

/** A state host, and the regions of the availability zones that it knows. */
export interface StateHostPlace {
    hostId: string;
    availabilityZone: string;
    region: string;
    regions: Readonly<Record<string, string>>;
}

/** The state host that is nearest to an availability zone, from the point of view of the state host at `own`. */
export const nearestContact = (
    fleet: FleetMachine,
    voters: readonly string[],
    own: StateHostPlace,
    availabilityZone: string,
): StateHostContact => {
    const ownContact = { address: own.hostId, availabilityZone: own.availabilityZone, region: own.region };
    return nearestStateHost(
        stateContacts(fleet, voters),
        ownContact,
        availabilityZone,
        ownValue(own.regions, availabilityZone) ?? "",
    );
};

/** Number of entry hosts that have not departed. */
export const countEntryHosts = (fleet: FleetMachine): number =>
    [...fleet.hosts()].filter(record => record.role === HostRole.Entry && record.state !== HostPhase.Departed).length;

/** Creates a function that returns the peers of all entry hosts; they are computed again only after a change to hosts. */
export const createEntryPeersCache = (): (fleet: FleetMachine) => EntryPeers => {
    let latest: { fleet: FleetMachine; revision: number; peers: EntryPeers; } | undefined;
    return fleet => {
        const revision = fleet.hostsRevision();
        if (latest?.fleet !== fleet || latest.revision !== revision) {
            latest = { fleet, revision, peers: computeEntryPeers(fleet.hosts()) };
        }
        return latest.peers;
    };
};
