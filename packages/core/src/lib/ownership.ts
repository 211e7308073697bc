/** Names the entry hosts that own the requests of one service in one region. */
import { hash32 } from "./hash.js";

/** A live entry host, as ownership sees it. */
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
    /** How many owners there are; see {@link ownerCountFor}. */
    count: number;
    /** How many stand-bys are named after the owners; 2 by default. */
    standBys?: number;
}

/** The owners of one (service, region), best first, and those who take over from them. */
export interface Owners {
    owners: string[];
    standBys: string[];
}

const defaultStandBys = 2;

const compareText = (a: string, b: string): number => a === b ? 0 : a < b ? -1 : 1;

const rankHosts = (input: OwnersInput): OwnerCandidate[] => {
    const isFar = (host: OwnerCandidate): number => host.region === input.region ? 0 : 1;
    return input.hosts
        .map(host => ({ host, score: hash32(`${input.service}\n${input.region}\n${host.hostId}`) }))
        .sort((a, b) => isFar(a.host) - isFar(b.host) || b.score - a.score || compareText(a.host.hostId, b.host.hostId))
        .map(({ host }) => host);
};

/**
 * Names the owners and stand-bys of one (service, region) by rendezvous hashing over the live hosts.
 *
 * Hosts of the region come first, and hosts of other regions serve it only when too few are left. A host that joins or
 * leaves moves only what it gains or held. The first stand-by sits in another availability zone of the region than every
 * owner, when there is one, so that the loss of one zone leaves somebody who is ready.
 */
export const ownersOf = (input: OwnersInput): Owners => {
    const ranked = rankHosts(input);
    const owners = ranked.slice(0, input.count);
    const rest = ranked.slice(input.count);
    const ownerZones = new Set(owners.map(owner => owner.availabilityZone));
    const first = rest.find(host => host.region === input.region && !ownerZones.has(host.availabilityZone));
    const ordered = first === undefined ? rest : [first, ...rest.filter(host => host !== first)];
    return {
        owners: owners.map(host => host.hostId),
        standBys: ordered.slice(0, input.standBys ?? defaultStandBys).map(host => host.hostId),
    };
};

/** Options of {@link ownerCountFor}. */
export interface OwnerCountInput {
    /** Requests a second of the (service, region), over all of its owners. */
    ratePerSecond: number;
    /** Requests a second that one host serves with ease. */
    ratePerOwner: number;
    /** The number of owners now. */
    current: number;
}

/** The share of an owner's ease above which another owner joins. */
const growShare = 0.8;

/** The share, of one owner fewer, below which an owner leaves. The gap to {@link growShare} keeps the number still. */
const shrinkShare = 0.5;

/** How many owners a (service, region) needs: one, and more only while load asks for it. */
export const ownerCountFor = (input: OwnerCountInput): number => {
    const wanted = Math.max(1, Math.ceil(input.ratePerSecond / (input.ratePerOwner * growShare)));
    if (wanted > input.current) {
        return wanted;
    }
    const fewer = Math.max(1, Math.ceil(input.ratePerSecond / (input.ratePerOwner * shrinkShare)));
    return Math.max(1, Math.min(input.current, fewer));
};

/** Options of {@link ownedSlots}. */
export interface OwnedSlotsInput {
    serverId: string;
    slots: number;
    /** The position of this host among the owners, from 0. */
    ownerIndex: number;
    owners: number;
}

/**
 * How many of a member's slots this owner may grant.
 *
 * Over all owners it adds up to the member's slots. The odd slots fall to different owners for different members.
 */
export const ownedSlots = (input: OwnedSlotsInput): number => {
    const even = Math.floor(input.slots / input.owners);
    const odd = input.slots % input.owners;
    const position = (input.ownerIndex + hash32(input.serverId)) % input.owners;
    return even + (position < odd ? 1 : 0);
};
