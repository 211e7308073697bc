/**
 * Chooses the entry hosts that each entry host knows, so that it can forward requests when it loses its path to the backend
 * servers. Each host knows a few others, at all distances, as whole availability zones may lose their path together.
 */
import { HostPhase, HostRole } from "../fleet/facts.js";
import type { FleetHost } from "../fleet/facts.js";
import { hash32 } from "../hash.js";
import type { EntryPeer } from "./peer-selector.js";

/** Number of peers of a host, by distance: in its availability zone, elsewhere in its region, and in other regions. */
const peersByDistance = [4, 3, 3] as const;

/** The peers of all entry hosts. */
export interface EntryPeers {
    /** Returns the peers of a host; the same list each time. */
    of(owner: PeerOwner): readonly EntryPeer[];
}

/** The host that a list of peers is for. */
export interface PeerOwner {
    hostId: string;
    availabilityZone: string;
    region: string;
}

/** A host that accepts requests of other entry hosts, and its position on the ring. */
interface RingEntry {
    position: number;
    hostId: string;
    peer: EntryPeer;
    region: string;
}

const isPeer = (host: FleetHost): boolean =>
    host.role === HostRole.Entry && host.state === HostPhase.Ready && host.forwardAddress !== undefined;

/**
 * Computes the peers from the replicated state. Hosts are ordered on a ring by their hashes, and the peers of a host are the next
 * ones after it, so that every host is the peer of about as many others, and a host that leaves changes few lists.
 */
export const computeEntryPeers = (hosts: Iterable<FleetHost>): EntryPeers => {
    const ring: RingEntry[] = [...hosts].filter(isPeer).map(({ hostId, forwardAddress, availabilityZone, region }) => ({
        position: hash32(hostId),
        hostId,
        peer: { address: forwardAddress ?? "", availabilityZone },
        region,
    }));
    ring.sort((a, b) => a.position - b.position || (a.hostId < b.hostId ? -1 : 1));

    const lists = new Map<string, readonly EntryPeer[]>();
    const peersOf = ({ hostId, availabilityZone, region }: PeerOwner): EntryPeer[] => {
        const ownPosition = hash32(hostId);
        const others = ring.filter(entry => entry.hostId !== hostId);
        const next = others.findIndex(({ position }) => position > ownPosition);
        const inOrder = next < 0 ? others : [...others.slice(next), ...others.slice(0, next)];
        const groups = [
            inOrder.filter(entry => entry.peer.availabilityZone === availabilityZone),
            inOrder.filter(entry => entry.region === region && entry.peer.availabilityZone !== availabilityZone),
            inOrder.filter(entry => entry.region !== region),
        ];
        return groups.flatMap((group, distance) => group.slice(0, peersByDistance[distance])).map(({ peer }) => peer);
    };
    return {
        of: owner => {
            const list = lists.get(owner.hostId) ?? peersOf(owner);
            lists.set(owner.hostId, list);
            return list;
        },
    };
};
