/** What the entry hosts know about each other. */
import type { Version } from "../tables.js";

/** Where an entry host is and how to reach it. */
export interface HostInfo {
    hostId: string;
    region: string;
    availabilityZone: string;
    /** Address of the protocol between entry hosts. */
    fleetHost: string;
    fleetPort: number;
    /** Address for callers. */
    callerHost: string;
    callerPort: number;
    /** Address for operators and backend servers. */
    adminHost: string;
    adminPort: number;
}

/** The state of an entry host. The order is that of precedence within one incarnation. */
export enum HostState {
    Alive = 0,
    Suspect = 1,
    /** Stops gracefully: it finishes its work and wants no new callers. */
    Leaving = 2,
    Dead = 3,
}

/** A statement about an entry host. */
export interface HostRecord {
    info: HostInfo;
    state: HostState;
    /** Raised by the host itself, at each start and to refute a suspicion. */
    incarnation: number;
    /** The version of the tables in force on the host when it made the statement. */
    version: Version;
}

/** Whether `next` overrides `known`: by incarnation, then by the precedence of the state. */
export const overrides = (next: HostRecord, known: HostRecord): boolean =>
    next.incarnation === known.incarnation ? next.state > known.state : next.incarnation > known.incarnation;
