/** Selects the entry host that forwards a request for an entry host without a path to backend servers. */
import { ownValue } from "../own-value.js";
import type { Random } from "../random.js";
import type { PoolLocality } from "./server-pool-types.js";

/** An entry host that accepts requests of other entry hosts. */
export interface EntryPeer {
    /** Where it accepts them, as "host:port". */
    address: string;
    availabilityZone: string;
}

/** The entry hosts that one entry host may ask to forward requests. Times are in milliseconds of the host's clock. */
export interface PeerSelector {
    /** Replaces the list that the state host has sent. */
    setPeers(peers: readonly EntryPeer[]): void;
    /**
     * Returns a peer for a request to `service` that is not in `excluded` and did not fail recently: near ones first, but after all
     * others those of availability zones in which a peer failed recently, as zones often lose their path as a whole.
     */
    choose(service: string, excluded: ReadonlySet<string>, now: number): EntryPeer | undefined;
    /** Records that the peer can't send requests to `service`, or to any service if it is `undefined`. */
    failed(address: string, service: string | undefined, now: number): void;
    /** Number of known peers. */
    size(): number;
}

/** A peer that failed is avoided for this long, in milliseconds. */
const avoidanceMs = 1000;

/** Rank of an availability zone in which a peer failed; more than any distance. */
const failingZoneRank = 3;

/** Creates the selector of one entry host, which knows no peers. */
export const createPeerSelector = (locality: PoolLocality, random: Random): PeerSelector => {
    let peers: readonly EntryPeer[] = [];
    /** Times of failures, by address and service. */
    const failures = new Map<string, Map<string | undefined, number>>();
    const { availabilityZone, regions } = locality;
    const ownRegion = ownValue(regions, availabilityZone);

    const distance = (peer: EntryPeer): number => {
        if (peer.availabilityZone === availabilityZone) {
            return 0;
        }
        return ownValue(regions, peer.availabilityZone) === ownRegion ? 1 : 2;
    };

    const isAvoided = (address: string, service: string, now: number): boolean => {
        const failedAt = failures.get(address);
        return [service, undefined].some(key => now - (failedAt?.get(key) ?? -Infinity) < avoidanceMs);
    };

    return {
        setPeers: list => {
            peers = list;
            const addresses = new Set(list.map(({ address }) => address));
            for (const address of failures.keys()) {
                if (!addresses.has(address)) {
                    failures.delete(address);
                }
            }
        },
        choose: (service, excluded, now) => {
            const avoided = peers.filter(({ address }) => isAvoided(address, service, now));
            const failingZones = new Set(avoided.map(peer => peer.availabilityZone));
            const rank = (peer: EntryPeer): number =>
                distance(peer) + (failingZones.has(peer.availabilityZone) ? failingZoneRank : 0);
            const usable = peers.filter(peer => !excluded.has(peer.address) && !avoided.includes(peer));
            const best = Math.min(...usable.map(rank));
            const candidates = usable.filter(peer => rank(peer) === best);
            return candidates[random.below(candidates.length)];
        },
        failed: (address, service, now) => {
            const failedAt = failures.get(address) ?? new Map<string | undefined, number>();
            failedAt.set(service, now);
            failures.set(address, failedAt);
        },
        size: () => peers.length,
    };
};
