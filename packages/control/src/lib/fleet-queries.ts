/** What a state host derives from the replicated fleet view for its entry hosts. */
import { computeEntryPeers, HostPhase, HostRole } from "@cassiapick/core";
import type { EntryPeers, FleetMachine, StateHostContact } from "@cassiapick/core";

/** Addresses and locations of the voters, to which entry hosts connect. */
export const stateContacts = (fleet: FleetMachine, voters: readonly string[]): StateHostContact[] => {
    const stateHosts = [...fleet.hosts()].filter(record => record.role === HostRole.State);
    const voterIds = new Set(voters);
    return stateHosts.filter(record => voterIds.has(record.hostId) && record.state !== HostPhase.Departed)
        .map(({ hostId: address, availabilityZone, region }) => ({ address, availabilityZone, region }));
};

/** After a state host has joined, others may follow within this time, in milliseconds. */
const gatheringMs = 700;

/** Creates a function that tells from the voters whether state hosts have joined just now, as at the first start of a fleet. */
export const createGatheringCheck = (): (voters: readonly string[], now: number) => boolean => {
    let known: ReadonlySet<string> | undefined;
    let joinedAt = -Infinity;
    return (voters, now) => {
        // A host that starts finds all voters at once, and none of them has just joined.
        if (known !== undefined && voters.some(voter => !known!.has(voter))) {
            joinedAt = now;
        }
        known = voters.length === 0 ? known : new Set(voters);
        return now - joinedAt < gatheringMs;
    };
};

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
