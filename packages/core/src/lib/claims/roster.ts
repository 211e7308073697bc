/** Chooses the replicas of each key from the roster of entry hosts. */
import { hash32, mix32 } from "../hash.js";

/** An entry host that may be a replica. */
export interface ClaimHost {
    hostId: string;
    region: string;
    availabilityZone: string;
}

/**
 * The agreed list of entry hosts. It does not depend on their liveness.
 *
 * While `earlier` lists are present, a claim needs a majority in each of them too. The state hosts, which order the rosters,
 * remove an earlier list (in a new version) only once every host has had the newer version in force for a whole horizon.
 */
export interface ClaimRoster {
    version: number;
    hosts: ClaimHost[];
    /** Lists that hosts with an older roster may still use. */
    earlier?: ClaimHost[][];
}

/** The number of replicas of each key; smaller only where the list has fewer hosts. */
const replicaCount = 3;

/** The number of votes that is a majority of a set of `size` replicas. */
export const majorityOf = (size: number): number => Math.floor(size / 2) + 1;

/** A list of hosts from which the replicas of keys are chosen. */
export interface HostList {
    /** Equal for lists with the same hosts, regions and availability zones. */
    id: string;
    hostIds: string[];
    replicasOf(claimId: string): string[];
}

const hostKey = (host: ClaimHost): string => JSON.stringify([host.hostId, host.region, host.availabilityZone]);

/**
 * Creates a host list. It chooses replicas by rendezvous hashing: the host with the highest score, one in another availability
 * zone of its region, and one in another region.
 */
export const createHostList = (hosts: ClaimHost[]): HostList => {
    const sorted = [...hosts].sort((a, b) => a.hostId < b.hostId ? -1 : 1);
    const hostHashes = sorted.map(host => hash32(host.hostId));

    const highestScoring = (
        scores: number[],
        excluded: ClaimHost[],
        isEligible: (host: ClaimHost) => boolean,
    ): ClaimHost | undefined => {
        let bestIndex = -1;
        for (const [index, host] of sorted.entries()) {
            if (!excluded.includes(host) && isEligible(host) && (bestIndex < 0 || scores[index]! > scores[bestIndex]!)) {
                bestIndex = index;
            }
        }
        return sorted[bestIndex];
    };

    const replicasOf = (claimId: string): string[] => {
        const keyHash = hash32(claimId);
        const scores = hostHashes.map(hostHash => mix32(hostHash ^ keyHash));
        const first = highestScoring(scores, [], () => true);
        if (first === undefined) {
            return [];
        }
        const chosen = [first];
        /** For each further replica, conditions in order of preference. */
        const preferences: ((host: ClaimHost) => boolean)[][] = [
            [
                host => host.region === first.region && host.availabilityZone !== first.availabilityZone,
                host => host.availabilityZone !== first.availabilityZone,
                () => true,
            ],
            [
                host => host.region !== first.region,
                host => chosen.every(other => other.availabilityZone !== host.availabilityZone),
                () => true,
            ],
        ];
        for (const alternatives of preferences.slice(0, replicaCount - 1)) {
            for (const isEligible of alternatives) {
                const candidate = highestScoring(scores, chosen, isEligible);
                if (candidate !== undefined) {
                    chosen.push(candidate);
                    break;
                }
            }
        }
        return chosen.map(host => host.hostId);
    };

    return { id: sorted.map(hostKey).join(), hostIds: sorted.map(host => host.hostId), replicasOf };
};

/** A roster with the replicas that each of its lists chooses. */
export interface ReplicaPlacement {
    roster: ClaimRoster;
    hostLists: HostList[];
    /** The replicas of a key, one set for each list. */
    replicaSetsOf(claimId: string): string[][];
    /** All replicas of a key, without duplicates. */
    replicasOf(claimId: string): string[];
}

/** Creates the replica placement of a roster. */
export const createReplicaPlacement = (roster: ClaimRoster): ReplicaPlacement => {
    const hostLists = [roster.hosts, ...(roster.earlier ?? [])].map(createHostList);
    const replicaSetsOf = (claimId: string): string[][] => hostLists.map(list => list.replicasOf(claimId));
    const replicasOf = (claimId: string): string[] => [...new Set(replicaSetsOf(claimId).flat())];

    return { roster, hostLists, replicaSetsOf, replicasOf };
};
