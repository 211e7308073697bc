/** A directory that counts a lease from the moment an announcement arrives. */
import { isNewerAnnouncement, leaseMs, ServerState } from "@cassiapick/core";
import type { Announcement } from "@cassiapick/core";

/** The leases of one host. Times are in milliseconds. */
export interface NaiveDirectory {
    announce(announcement: Announcement, now: number): void;
    /** Whether the backend server would get new work. */
    isMember(serverId: string, now: number): boolean;
}

/** Creates an empty directory. */
export const createNaiveDirectory = (): NaiveDirectory => {
    const entries = new Map<string, { announcement: Announcement; until: number; }>();
    return {
        announce: (announcement, now) => {
            const known = entries.get(announcement.id);
            if (known === undefined || isNewerAnnouncement(announcement, known.announcement)) {
                entries.set(announcement.id, { announcement, until: now + leaseMs });
            }
        },
        isMember: (serverId, now) => {
            const entry = entries.get(serverId);
            return entry?.announcement.state === ServerState.Ready && entry.until > now;
        },
    };
};
