/** Membership records that the entry hosts exchange about each other. */
import type { Version } from "../tables.js";

/** The location and the addresses of an entry host. */
export interface HostInfo {
    hostId: string;
    region: string;
    availabilityZone: string;
    /** Address for the protocol between entry hosts. */
    fleetHost: string;
    fleetPort: number;
    /** Address for callers. */
    callerHost: string;
    callerPort: number;
    /** Address for operators and backend servers. */
    adminHost: string;
    adminPort: number;
}

/** The state of an entry host. Within one incarnation, a higher value takes precedence. */
export enum HostState {
    Alive = 0,
    Suspect = 1,
    /** Stops gracefully: it finishes its work and accepts no new callers. */
    Leaving = 2,
    Dead = 3,
}

/** The state of an entry host, as one host reports it. */
export interface HostRecord {
    info: HostInfo;
    state: HostState;
    /** Raised only by the host itself, at each start and to refute a suspicion. */
    incarnation: number;
    /** The version of the tables in force on the host when it sent the record. */
    version: Version;
}

/** Whether `next` overrides `known`: by incarnation, then by the precedence of the state. */
export const overrides = (next: HostRecord, known: HostRecord): boolean =>
    next.incarnation === known.incarnation ? next.state > known.state : next.incarnation > known.incarnation;
