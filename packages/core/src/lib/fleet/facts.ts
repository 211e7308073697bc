/** What the state hosts agree on about backend servers and hosts: small facts, applied in the order of the log. */

export enum ServingState {
    Ready = "ready",
    /** The server announced that it leaves; it gets no new requests. */
    Draining = "draining",
    /** The server left; the record stays so that late announcements can't bring it back. */
    Gone = "gone",
}

export enum HostRole {
    Entry = "entry",
    State = "state",
}

export enum HostPhase {
    Ready = "ready",
    /** The host stops soon; callers should connect elsewhere. */
    Leaving = "leaving",
    Gone = "gone",
}

/** One process of a backend server, as it announces itself. */
export interface ServerAnnouncement {
    serverId: string;
    service: string;
    /** "host:port" that serves requests. */
    address: string;
    availabilityZone: string;
    slots: number;
    state: ServingState.Ready | ServingState.Draining;
    /** Start of the process, in milliseconds since 1970 by its own clock. */
    bornAt: number;
    /** How much longer the server is slow after its start, in milliseconds. */
    warmupLeftMs: number;
}

/** One process of a host of the fleet. */
export interface HostAnnouncement {
    hostId: string;
    role: HostRole;
    /** Where callers connect to an entry host, or entry hosts to a state host, as "host:port". */
    address: string;
    availabilityZone: string;
    region: string;
    state: HostPhase;
    /** Start of the process, in milliseconds since 1970 by its own clock. */
    startedAt: number;
}

export enum FactKind {
    Server = "server",
    ServerLeft = "server-left",
    /** The state host that hears a server's announcements has heard none for a while, or hears them again. */
    ServerSilence = "server-silence",
    Host = "host",
}

/** One fact; `keeper` names the state host that watches over its subject. */
export type Fact =
    | { kind: FactKind.Server; server: ServerAnnouncement; keeper: string; at: number; }
    | { kind: FactKind.ServerLeft; serverId: string; bornAt?: number; }
    | { kind: FactKind.ServerSilence; serverId: string; bornAt: number; silent: boolean; keeper: string; }
    | { kind: FactKind.Host; host: HostAnnouncement; keeper: string; };

/** What is known of one process of a backend server. */
export interface FleetServer {
    /** Short name in messages between hosts; never used twice. */
    number: number;
    serverId: string;
    service: string;
    address: string;
    availabilityZone: string;
    slots: number;
    state: ServingState;
    bornAt: number;
    /** End of the slow start, in milliseconds since 1970. */
    warmAt: number;
    silent: boolean;
    keeper: string;
    /** Position of the change that made this record what entry hosts see. */
    revision: number;
}

/** What is known of one process of a host. */
export interface FleetHost extends HostAnnouncement {
    keeper: string;
    revision: number;
}
