/** Chooses the entry hosts that own the requests of one service in one region. */
import { hash32 } from "./hash.js";

/** An entry host that may become an owner. */
export interface OwnerCandidate {
    hostId: string;
    region: string;
    availabilityZone: string;
}

/** Options of {@link ownersOf}. */
export interface OwnersInput {
    service: string;
    region: string;
    /** The entry hosts that are live and not draining, in any order. */
    hosts: readonly OwnerCandidate[];
    /** The number of owners; see {@link ownerCountFor}. */
    count: number;
    /** The number of stand-bys after the owners; 2 by default. */
    standBys?: number;
}

/** The IDs of the hosts that own one (service, region), best first, and of those that take over from them. */
export interface Owners {
    owners: string[];
    standBys: string[];
}

const defaultStandBys = 2;

const compareStrings = (a: string, b: string): number => a === b ? 0 : a < b ? -1 : 1;

const rankHosts = (input: OwnersInput): OwnerCandidate[] => {
    const isRemote = (host: OwnerCandidate): number => host.region === input.region ? 0 : 1;
    return input.hosts
        .map(host => ({ host, score: hash32(`${input.service}\n${input.region}\n${host.hostId}`) }))
        .sort((a, b) => isRemote(a.host) - isRemote(b.host) || b.score - a.score || compareStrings(a.host.hostId, b.host.hostId))
        .map(({ host }) => host);
};

/**
 * Chooses the owners and stand-bys of one (service, region) by rendezvous hashing over the live hosts.
 *
 * Hosts of the region come first; hosts of other regions are chosen only when too few of them are left. A host that joins or
 * leaves moves only the ownerships that it gains or had. The first stand-by is in another availability zone of the region
 * than all owners, if there is such a host, so that a stand-by survives the loss of one zone.
 */
export const ownersOf = (input: OwnersInput): Owners => {
    const rankedHosts = rankHosts(input);
    const owners = rankedHosts.slice(0, input.count);
    const nonOwners = rankedHosts.slice(input.count);
    const ownerZones = new Set(owners.map(owner => owner.availabilityZone));
    const otherZoneStandBy = nonOwners.find(host => host.region === input.region && !ownerZones.has(host.availabilityZone));
    const orderedStandBys = otherZoneStandBy === undefined
        ? nonOwners
        : [otherZoneStandBy, ...nonOwners.filter(host => host !== otherZoneStandBy)];
    return {
        owners: owners.map(host => host.hostId),
        standBys: orderedStandBys.slice(0, input.standBys ?? defaultStandBys).map(host => host.hostId),
    };
};

/** Options of {@link ownerCountFor}. */
export interface OwnerCountInput {
    /** Requests per second of the (service, region), over all its owners. */
    ratePerSecond: number;
    /** Requests per second that one owner can serve without overload. */
    ratePerOwner: number;
    /** The current number of owners. */
    current: number;
}

/** The utilization of the owners above which an owner is added. */
const growUtilization = 0.8;

/**
 * The utilization, with the owners that would remain, below which owners are removed. The gap to {@link growUtilization}
 * prevents flapping.
 */
const shrinkUtilization = 0.5;

/** Returns how many owners a (service, region) needs: one, and more only while the load requires them. */
export const ownerCountFor = (input: OwnerCountInput): number => {
    const requiredOwners = Math.max(1, Math.ceil(input.ratePerSecond / (input.ratePerOwner * growUtilization)));
    if (requiredOwners > input.current) {
        return requiredOwners;
    }
    const ownersAfterShrinking = Math.max(1, Math.ceil(input.ratePerSecond / (input.ratePerOwner * shrinkUtilization)));
    return Math.max(1, Math.min(input.current, ownersAfterShrinking));
};

/** Options of {@link ownedSlots}. */
export interface OwnedSlotsInput {
    serverId: string;
    slots: number;
    /** The position of this host among the owners, from 0. */
    ownerIndex: number;
    /** The number of owners. */
    owners: number;
}

/**
 * Returns how many of a member's slots this owner may grant.
 *
 * The shares of all owners add up to the member's slots. Which owners get the remainder differs from member to member.
 */
export const ownedSlots = (input: OwnedSlotsInput): number => {
    const baseSlots = Math.floor(input.slots / input.owners);
    const remainder = input.slots % input.owners;
    const position = (input.ownerIndex + hash32(input.serverId)) % input.owners;
    return baseSlots + (position < remainder ? 1 : 0);
};
