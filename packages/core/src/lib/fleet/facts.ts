/** Replicated facts about backend servers and hosts, which state hosts apply in log order. */

export enum ServingState {
    Ready = "ready",
    /** The server announced that it is leaving; it receives no new requests. */
    Draining = "draining",
    /** The server left; its record is kept so that a delayed announcement can't restore it. */
    Departed = "gone",
}

export enum HostRole {
    Entry = "entry",
    State = "state",
}

export enum HostPhase {
    Ready = "ready",
    /**
     * The entry host takes requests, but can connect to no backend server and sends them through other hosts; callers should connect
     * to another host.
     */
    NoServerPath = "no-server-path",
    /** The host is about to stop; callers should connect to another host. */
    Leaving = "leaving",
    Departed = "gone",
}

/** The announcement of one process of a backend server. */
export interface ServerAnnouncement {
    serverId: string;
    service: string;
    /** Where the server accepts requests, as "host:port". */
    address: string;
    availabilityZone: string;
    slots: number;
    state: ServingState.Ready | ServingState.Draining;
    /** Start time of the process, in milliseconds since 1970 by its own clock. */
    bornAt: number;
    /** Remaining time of the slow start, in milliseconds. */
    warmupLeftMs: number;
}

/** The announcement of one process of a host of the fleet. */
export interface HostAnnouncement {
    hostId: string;
    role: HostRole;
    /** Where callers connect to an entry host, or entry hosts to a state host, as "host:port". */
    address: string;
    /** Where an entry host accepts requests of other entry hosts, as "host:port"; `undefined` if it accepts none. */
    forwardAddress?: string;
    availabilityZone: string;
    region: string;
    state: HostPhase;
    /** Start time of the process, in milliseconds since 1970 by its own clock. */
    startedAt: number;
    /** Whether a state host understands {@link FactKind.Quarantine}; earlier versions stop at it. */
    takesQuarantine?: boolean;
}

export enum FactKind {
    Server = "server",
    ServerLeft = "server-left",
    /** The state host that receives a server's announcements received none for a while, or receives them again. */
    ServerSilence = "server-silence",
    /** The request rate that a server takes from all entry hosts together, or that it takes any rate again. */
    ServerLimit = "server-limit",
    Host = "host",
    /** A request that ends the servers which run it is refused, or servers survive it again. */
    Quarantine = "quarantine",
}

/** One fact; `keeper` is the id of the state host that monitors the server or host. */
export type Fact =
    | { kind: FactKind.Server; server: ServerAnnouncement; keeper: string; at: number; }
    | { kind: FactKind.ServerLeft; serverId: string; bornAt?: number; }
    | { kind: FactKind.ServerSilence; serverId: string; bornAt: number; silent: boolean; keeper: string; }
    /** `number` is that of the server's record; a limit of an earlier process has no effect. */
    | { kind: FactKind.ServerLimit; serverId: string; number: number; limitPerS?: number; }
    | { kind: FactKind.Host; host: HostAnnouncement; keeper: string; }
    | { kind: FactKind.Quarantine; request: RecordedQuarantine; isLifted: boolean; };

/** The replicated record of a quarantined request. */
export interface RecordedQuarantine {
    /** Identifies the request by its content. */
    key: string;
    /** When one attempt may show whether servers survive the request, in milliseconds since 1970. */
    trialAt: number;
    /** Trials that have not cleared the request. */
    trials: number;
    /** Servers that have ended under the request. */
    serverCount: number;
}

/** The replicated record of one process of a backend server. */
export interface FleetServer {
    /** Short id of the record in messages between hosts; never reused. */
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
    /** Whether the keeper has received no announcement for a while. */
    silent: boolean;
    /** Requests a second that the server takes from all entry hosts together; `undefined` without a limit. */
    limitPerS?: number;
    keeper: string;
    /** Log index of the latest change to this record that entry hosts can see. */
    revision: number;
}

/** The replicated record of one process of a host. */
export interface FleetHost extends HostAnnouncement {
    keeper: string;
    revision: number;
}
