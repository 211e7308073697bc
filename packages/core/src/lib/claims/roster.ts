/** The roster of entry hosts, and which of them are the replicas of a key. */

import { hash32, mix32 } from "../hash.js";

/** An entry host that may be a replica. */
export interface ClaimHost {
    hostId: string;
    region: string;
    availabilityZone: string;
}

/**
 * The agreed list of entry hosts. Liveness never changes it.
 *
 * While `earlier` lists are present, a claim needs a majority in each of them too. Whoever orders the rosters takes an
 * earlier list out (in a new version) only when every host has the newer version in force and the horizon has passed since.
 */
export interface ClaimRoster {
    version: number;
    hosts: ClaimHost[];
    /** Lists that hosts with an older roster may still use. */
    earlier?: ClaimHost[][];
}

/** Replicas of each key; fewer only where the list has fewer hosts. */
const replicaCount = 3;

/** Votes that a set of replicas must give. */
export const majorityOf = (size: number): number => Math.floor(size / 2) + 1;

/** A list of hosts that chooses replicas. */
export interface HostList {
    /** Equal for lists with the same hosts in the same places. */
    id: string;
    hostIds: string[];
    replicasOf(claimId: string): string[];
}

const describeHost = (host: ClaimHost): string => JSON.stringify([host.hostId, host.region, host.availabilityZone]);

/** Prepares a list: rendezvous hashing in both availability zones of the first host's region and in one other region. */
export const createHostList = (hosts: ClaimHost[]): HostList => {
    const sorted = [...hosts].sort((a, b) => a.hostId < b.hostId ? -1 : 1);
    const seeds = sorted.map(host => hash32(host.hostId));

    const bestOf = (scores: number[], taken: ClaimHost[], fits: (host: ClaimHost) => boolean): ClaimHost | undefined => {
        let best = -1;
        for (const [index, host] of sorted.entries()) {
            if (!taken.includes(host) && fits(host) && (best < 0 || scores[index]! > scores[best]!)) {
                best = index;
            }
        }
        return sorted[best];
    };

    const replicasOf = (claimId: string): string[] => {
        const keyHash = hash32(claimId);
        const scores = seeds.map(seed => mix32(seed ^ keyHash));
        const first = bestOf(scores, [], () => true);
        if (first === undefined) {
            return [];
        }
        const taken = [first];
        const wishes: ((host: ClaimHost) => boolean)[][] = [
            [
                host => host.region === first.region && host.availabilityZone !== first.availabilityZone,
                host => host.availabilityZone !== first.availabilityZone,
                () => true,
            ],
            [
                host => host.region !== first.region,
                host => taken.every(other => other.availabilityZone !== host.availabilityZone),
                () => true,
            ],
        ];
        for (const wish of wishes.slice(0, replicaCount - 1)) {
            for (const fits of wish) {
                const next = bestOf(scores, taken, fits);
                if (next !== undefined) {
                    taken.push(next);
                    break;
                }
            }
        }
        return taken.map(host => host.hostId);
    };

    return { id: sorted.map(describeHost).join(), hostIds: sorted.map(host => host.hostId), replicasOf };
};

/** A roster ready for use. */
export interface Membership {
    roster: ClaimRoster;
    lists: HostList[];
    /** The replicas of a key in each list. */
    setsOf(claimId: string): string[][];
    /** Every replica of a key, once. */
    replicasOf(claimId: string): string[];
}

/** Prepares a roster. */
export const createMembership = (roster: ClaimRoster): Membership => {
    const lists = [roster.hosts, ...(roster.earlier ?? [])].map(createHostList);
    const setsOf = (claimId: string): string[][] => lists.map(list => list.replicasOf(claimId));
    const replicasOf = (claimId: string): string[] => [...new Set(setsOf(claimId).flat())];

    return { roster, lists, setsOf, replicasOf };
};
