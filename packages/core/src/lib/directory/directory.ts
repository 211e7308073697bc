/**
 * The backend servers whose lease this host holds.
 *
 * A backend server renews its lease by announcing itself to any entry host, which relays the announcement to the hosts that
 * serve it. A relayed announcement may be delayed without limit on a failing link, so a lease is counted from a time that
 * the receiver itself gave: the relaying host sends back the receiver's own clock (see {@link LeaseProof}).
 */
import { isNewerAnnouncement, ServerState } from "../backend-server.js";
import type { Announcement } from "../backend-server.js";

/** How long an announcement keeps a backend server in its pools. */
export const leaseMs = 2500;

/** Why an announcement's lease may be counted from `validFrom`. */
export interface LeaseProof {
    /** A time on this host's clock at which the backend server was certainly still announcing itself. */
    validFrom: number;
}

/** A backend server whose lease this host holds. */
export interface DirectoryEntry {
    announcement: Announcement;
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
    /** Takes an announcement; older ones change nothing. */
    announce(announcement: Announcement, proof: LeaseProof, now: number): DirectoryChange[];
    /** Ends the leases that have run out. */
    expire(now: number): DirectoryChange[];
    /** Every backend server whose lease runs, leaving ones included. */
    entries(): DirectoryEntry[];
    /** Backend servers that take new work for one service in one region. */
    members(service: string, region: string): Announcement[];
    find(serverId: string): Announcement | undefined;
}

/** How long the last announcement of a departed backend server is remembered, so that a late older one does not revive it. */
const tombstoneMs = 60_000;

const differs = (a: Announcement, b: Announcement): boolean =>
    a.state !== b.state || a.slots !== b.slots || a.cold !== b.cold || a.incarnation !== b.incarnation || a.host !== b.host
    || a.port !== b.port || a.services.join() !== b.services.join();

/** Creates an empty directory. */
export const createDirectory = (): Directory => {
    const live = new Map<string, DirectoryEntry>();
    const departed = new Map<string, { announcement: Announcement; at: number; }>();

    const isOutdated = (announcement: Announcement): boolean => {
        const reference = live.get(announcement.id)?.announcement ?? departed.get(announcement.id)?.announcement;
        return reference !== undefined && !isNewerAnnouncement(announcement, reference);
    };

    const announce = (announcement: Announcement, proof: LeaseProof, now: number): DirectoryChange[] => {
        const leaseUntil = proof.validFrom + leaseMs;
        if (isOutdated(announcement) || leaseUntil <= now) {
            return [];
        }
        const before = live.get(announcement.id);
        live.set(announcement.id, { announcement, leaseUntil });
        departed.delete(announcement.id);
        if (before === undefined) {
            return [{ kind: DirectoryChangeKind.Joined, announcement }];
        }
        return differs(before.announcement, announcement) ? [{ kind: DirectoryChangeKind.Changed, announcement }] : [];
    };

    const expire = (now: number): DirectoryChange[] => {
        const changes: DirectoryChange[] = [];
        for (const [serverId, entry] of live) {
            if (entry.leaseUntil <= now) {
                live.delete(serverId);
                departed.set(serverId, { announcement: entry.announcement, at: now });
                changes.push({ kind: DirectoryChangeKind.Left, announcement: entry.announcement });
            }
        }
        for (const [serverId, { at }] of departed) {
            if (now - at >= tombstoneMs) {
                departed.delete(serverId);
            }
        }
        return changes;
    };

    const members = (service: string, region: string): Announcement[] =>
        [...live.values()]
            .map(entry => entry.announcement)
            .filter(announcement =>
                announcement.state === ServerState.Ready && announcement.region === region
                && announcement.services.includes(service)
            );

    return {
        announce,
        expire,
        entries: () => [...live.values()],
        members,
        find: serverId => live.get(serverId)?.announcement,
    };
};
