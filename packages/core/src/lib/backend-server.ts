/** The announcement that a backend server sends about itself. */

/** The state that a backend server reports for itself. */
export enum ServerState {
    /** Accepts new work. */
    Ready = "ready",
    /** Finishes the work in flight and accepts no new work. */
    Leaving = "leaving",
}

/** The announcement that a backend server sends repeatedly to keep its lease. */
export interface Announcement {
    /** Unique name of the backend server. */
    id: string;
    host: string;
    port: number;
    region: string;
    availabilityZone: string;
    /** Names of the services that it can run; pools select their members by them. */
    services: string[];
    /** The most requests that it runs at a time. */
    slots: number;
    /** Grows with each restart, so that announcements of an older process never override those of a newer one. */
    incarnation: number;
    /** Grows with each change within one incarnation. */
    sequence: number;
    state: ServerState;
    /** Whether it has just started and must receive work at a limited rate. */
    cold: boolean;
}

/** Whether `next` is newer than `known`: by incarnation, then by sequence. */
export const isNewerAnnouncement = (next: Announcement, known: Announcement): boolean =>
    next.incarnation === known.incarnation ? next.sequence > known.sequence : next.incarnation > known.incarnation;
