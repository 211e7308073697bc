/** What a backend server announces about itself. */

/** The phase that a backend server says it is in. */
export enum ServerState {
    /** Takes new work. */
    Ready = "ready",
    /** Finishes the work in flight and takes no new work. */
    Leaving = "leaving",
}

/** The announcement that a backend server repeats to keep its lease. */
export interface Announcement {
    /** Unique name of the backend server. */
    id: string;
    host: string;
    port: number;
    region: string;
    availabilityZone: string;
    /** The services that it can run; pools select by these names. */
    services: string[];
    /** How many requests it runs at a time. */
    slots: number;
    /** Grows with each restart, so that an older process never overrides a newer one. */
    incarnation: number;
    /** Grows with each change within one incarnation. */
    sequence: number;
    state: ServerState;
    /** Whether it has just started and must be given work slowly. */
    cold: boolean;
}

/** Whether `next` is newer than `known`: by incarnation, then by sequence. */
export const isNewerAnnouncement = (next: Announcement, known: Announcement): boolean =>
    next.incarnation === known.incarnation ? next.sequence > known.sequence : next.incarnation > known.incarnation;
