/** Defines how a backend server announces itself to entry hosts. */

/** The state that a backend server reports for itself. */
export enum ServerState {
    /** Accepts new work. */
    Ready = "ready",
    /** Draining: finishes the work in flight and accepts no new work. */
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
    /** Names of the services that it provides; a pool has the backend servers of its service as members. */
    services: string[];
    /** Maximum number of requests that it runs concurrently. */
    slots: number;
    /** Grows with each restart, so that announcements of an older process never override those of a newer one. */
    incarnation: number;
    /** Grows with each announcement within one incarnation; one that repeats the last number is outdated. */
    sequence: number;
    state: ServerState;
    /** Whether it has just started; slow start then limits the number of its concurrent requests. */
    cold: boolean;
}

/** Whether `next` is newer than `known`: by incarnation, then by sequence. */
export const isNewerAnnouncement = (next: Announcement, known: Announcement): boolean =>
    next.incarnation === known.incarnation ? next.sequence > known.sequence : next.incarnation > known.incarnation;
