/**
 * Keeps the backend servers whose lease this host holds.
 *
 * A backend server renews its lease by announcing itself to any entry host, which relays the announcement to the hosts that
 * hold the lease. A relayed announcement may be delayed without limit on a failing link, so a lease starts at a time on the
 * receiver's own clock, which the relaying host echoes back (see {@link LeaseProof}).
 */
import { isNewerAnnouncement, ServerState } from "../backend-server.js";
import type { Announcement } from "../backend-server.js";

/** How long an announcement keeps a backend server in its pools, in milliseconds. */
export const leaseMs = 2500;

/** Proof that the lease of an announcement may start at `validFrom`. */
export interface LeaseProof {
    /** A time on this host's clock at which the backend server was certainly still announcing itself. */
    validFrom: number;
}

/** A backend server whose lease this host holds. */
export interface DirectoryEntry {
    announcement: Announcement;
    /** When the lease ends, on this host's clock. */
    leaseUntil: number;
}

export enum DirectoryChangeKind {
    Joined = "joined",
    Changed = "changed",
    Left = "left",
}

/** A change of the directory. */
export interface DirectoryChange {
    kind: DirectoryChangeKind;
    announcement: Announcement;
}

/** The directory of one host. Times are in milliseconds. */
export interface Directory {
    /** Applies an announcement. One that is outdated or whose lease has already ended changes nothing. */
    announce(announcement: Announcement, proof: LeaseProof, now: number): DirectoryChange[];
    /** Removes the backend servers whose lease has ended. */
    expire(now: number): DirectoryChange[];
    /** All backend servers with a lease, leaving ones included. */
    entries(): DirectoryEntry[];
    /** Backend servers that accept new work for one service in one region. */
    members(service: string, region: string): Announcement[];
    find(serverId: string): Announcement | undefined;
}

/**
 * How long the last announcement of a departed backend server is kept, in milliseconds, so that a delayed older one does not
 * revive the server.
 */
const tombstoneRetentionMs = 60_000;

const isDifferent = (a: Announcement, b: Announcement): boolean =>
    a.state !== b.state || a.slots !== b.slots || a.cold !== b.cold || a.incarnation !== b.incarnation || a.host !== b.host
    || a.port !== b.port || a.services.join() !== b.services.join();

/** Creates an empty directory. */
export const createDirectory = (): Directory => {
    const leases = new Map<string, DirectoryEntry>();
    const tombstones = new Map<string, { announcement: Announcement; departedAt: number; }>();

    const isOutdated = (announcement: Announcement): boolean => {
        const known = leases.get(announcement.id)?.announcement ?? tombstones.get(announcement.id)?.announcement;
        return known !== undefined && !isNewerAnnouncement(announcement, known);
    };

    const announce = (announcement: Announcement, proof: LeaseProof, now: number): DirectoryChange[] => {
        const leaseUntil = proof.validFrom + leaseMs;
        if (isOutdated(announcement) || leaseUntil <= now) {
            return [];
        }
        const previous = leases.get(announcement.id);
        leases.set(announcement.id, { announcement, leaseUntil });
        tombstones.delete(announcement.id);
        if (previous === undefined) {
            return [{ kind: DirectoryChangeKind.Joined, announcement }];
        }
        return isDifferent(previous.announcement, announcement) ? [{ kind: DirectoryChangeKind.Changed, announcement }] : [];
    };

    const expire = (now: number): DirectoryChange[] => {
        const changes: DirectoryChange[] = [];
        for (const [serverId, entry] of leases) {
            if (entry.leaseUntil <= now) {
                leases.delete(serverId);
                tombstones.set(serverId, { announcement: entry.announcement, departedAt: now });
                changes.push({ kind: DirectoryChangeKind.Left, announcement: entry.announcement });
            }
        }
        for (const [serverId, { departedAt: at }] of tombstones) {
            if (now - at >= tombstoneRetentionMs) {
                tombstones.delete(serverId);
            }
        }
        return changes;
    };

    const members = (service: string, region: string): Announcement[] =>
        [...leases.values()]
            .map(entry => entry.announcement)
            .filter(announcement =>
                announcement.state === ServerState.Ready && announcement.region === region
                && announcement.services.includes(service)
            );

    return {
        announce,
        expire,
        entries: () => [...leases.values()],
        members,
        find: serverId => leases.get(serverId)?.announcement,
    };
};
