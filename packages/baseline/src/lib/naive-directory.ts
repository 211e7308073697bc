/** A directory whose leases start when an announcement arrives, however late that is. */
import { isNewerAnnouncement, leaseMs, ServerState } from "@cassiapick/core";
import type { Announcement } from "@cassiapick/core";

/** The leases of one host. Times are in milliseconds. */
export interface NaiveDirectory {
    announce(announcement: Announcement, now: number): void;
    /** Whether the backend server is sent new requests. */
    isMember(serverId: string, now: number): boolean;
}

/** Creates an empty directory. */
export const createNaiveDirectory = (): NaiveDirectory => {
    const leases = new Map<string, { announcement: Announcement; expiresAt: number; }>();
    return {
        announce: (announcement, now) => {
            const storedLease = leases.get(announcement.id);
            if (storedLease === undefined || isNewerAnnouncement(announcement, storedLease.announcement)) {
                leases.set(announcement.id, { announcement, expiresAt: now + leaseMs });
            }
        },
        isMember: (serverId, now) => {
            const lease = leases.get(serverId);
            return lease?.announcement.state === ServerState.Ready && lease.expiresAt > now;
        },
    };
};
