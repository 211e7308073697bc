/**
 * Keeps the backend servers whose lease this host holds.
 *
 * The owner and the stand-by hosts of a backend server's services hold its lease. The backend server renews it by announcing
 * itself to any entry host, which relays the announcement to these hosts. A failing link may delay an announcement for any
 * time, so its lease does not start when it arrives. Instead, the sender returns with it the last reading that it got of the
 * receiver's clock and the time since then. The receiver adds the two to get a time on its own clock at which the backend
 * server was certainly still announcing itself, and the lease starts then (see {@link LeaseStart}).
 */
import { isNewerAnnouncement, ServerState } from "../backend-server.js";
import type { Announcement } from "../backend-server.js";

/** How long an announcement keeps a backend server in its pools, in milliseconds. */
export const leaseMs = 2500;

/** When the lease of an announcement starts. */
export interface LeaseStart {
    /** A time on this host's clock at which the backend server was certainly still announcing itself. */
    notBefore: number;
}

/** A backend server whose lease this host holds. */
export interface DirectoryEntry {
    announcement: Announcement;
    /** When the lease ends, on this host's clock. */
    leaseEndsAt: number;
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
    announce(announcement: Announcement, leaseStart: LeaseStart, now: number): DirectoryChange[];
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
 * add the server again.
 */
const tombstoneRetentionMs = 60_000;

/** Compares the fields that pools and connections depend on. `sequence` is left out: it grows with every announcement. */
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

    const announce = (announcement: Announcement, leaseStart: LeaseStart, now: number): DirectoryChange[] => {
        const leaseEndsAt = leaseStart.notBefore + leaseMs;
        if (isOutdated(announcement) || leaseEndsAt <= now) {
            return [];
        }
        const previous = leases.get(announcement.id);
        leases.set(announcement.id, { announcement, leaseEndsAt });
        tombstones.delete(announcement.id);
        if (previous === undefined) {
            return [{ kind: DirectoryChangeKind.Joined, announcement }];
        }
        return isDifferent(previous.announcement, announcement) ? [{ kind: DirectoryChangeKind.Changed, announcement }] : [];
    };

    const expire = (now: number): DirectoryChange[] => {
        const changes: DirectoryChange[] = [];
        for (const [serverId, entry] of leases) {
            if (entry.leaseEndsAt <= now) {
                leases.delete(serverId);
                tombstones.set(serverId, { announcement: entry.announcement, departedAt: now });
                changes.push({ kind: DirectoryChangeKind.Left, announcement: entry.announcement });
            }
        }
        for (const [serverId, { departedAt }] of tombstones) {
            if (now - departedAt >= tombstoneRetentionMs) {
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
