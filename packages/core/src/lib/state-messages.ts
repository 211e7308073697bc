/**
 * Requests to the state hosts, and the replies.
 *
 * A fleet of the programs `cassiapick-entry` and `cassiapick-state` is configured by two tables, routes and pools: operators
 * apply and read them, entry hosts watch them and enroll. A fleet of `packages/gateway` and `packages/control` is configured
 * by published configurations instead: its state hosts submit the requests Publish, Facts and ReadPublished to their own node.
 */
import type { Fact } from "./fleet/facts.js";
import type { PublishedConfiguration } from "./fleet/fleet-machine.js";
import type { Tables, Version, VersionedTables } from "./tables.js";

export enum StateRequestKind {
    Apply = "apply",
    Read = "read",
    Watch = "watch",
    Status = "status",
    History = "history",
    Enroll = "enroll",
    Publish = "publish",
    Facts = "facts",
    ReadPublished = "read-published",
}

/** Requests a change of both tables. A retry with the same `changeId` gets the same reply. */
export interface ApplyRequest {
    kind: StateRequestKind.Apply;
    /** Unique id of the change, chosen by the sender; makes retries idempotent. */
    changeId: string;
    /** The version that the sender edited; the change is rejected as a conflict if another version is in force. */
    expectedVersion: Version;
    tables: Tables;
    /** The author recorded in the history. */
    author: string;
}

/** Reads the tables with a linearizable read. */
export interface ReadRequest {
    kind: StateRequestKind.Read;
}

/**
 * Requests tables newer than `known` and waits for them up to `waitMs` milliseconds. Any state host replies with the tables
 * that it knows to be committed. They may lag behind those of the leader, but one host never replies with older tables than
 * before, not even after a restart.
 */
export interface WatchRequest {
    kind: StateRequestKind.Watch;
    known: Version;
    waitMs: number;
    /** The entry host that sends the request. */
    hostId: string;
}

/** Requests the status of one state host. */
export interface StatusRequest {
    kind: StateRequestKind.Status;
}

/** Requests the latest accepted changes, newest first. */
export interface HistoryRequest {
    kind: StateRequestKind.History;
    limit: number;
}

/** An entry host that takes part in claims. */
export interface RosterHost {
    hostId: string;
    region: string;
    availabilityZone: string;
}

/** The replicated roster: the list of entry hosts that take part in claims. Failures of hosts do not change it. */
export interface EntryRoster {
    /** Increases by one with each new list. */
    version: number;
    /** The list in force. */
    hosts: RosterHost[];
    /** The lists of older rosters, newest first. Hosts may still use them, so a claim needs a majority in each of them too. */
    earlier: RosterHost[][];
}

/** Reports the start of an entry host and requests the roster; the host retries until the reply holds one. */
export interface EnrollRequest {
    kind: StateRequestKind.Enroll;
    host: RosterHost;
    /** The incarnation of its process. */
    incarnation: number;
}

/**
 * Publishes a configuration under a number chosen by its operator. It is acknowledged also if an equal or higher number is
 * already in force; then nothing changes.
 */
export interface PublishRequest {
    kind: StateRequestKind.Publish;
    published: PublishedConfiguration;
}

/** Records facts about backend servers and hosts in the log; a state host submits it to its own node. */
export interface FactsRequest {
    kind: StateRequestKind.Facts;
    facts: Fact[];
}

/** Reads the published configuration with a linearizable read. */
export interface ReadPublishedRequest {
    kind: StateRequestKind.ReadPublished;
}

export type StateRequest =
    | ApplyRequest
    | ReadRequest
    | WatchRequest
    | StatusRequest
    | HistoryRequest
    | EnrollRequest
    | PublishRequest
    | FactsRequest
    | ReadPublishedRequest;

export enum StateReplyKind {
    Applied = "applied",
    Conflict = "conflict",
    /** The tables in force, or tables newer than those that a watch named. */
    Tables = "tables",
    /** A watch ended without newer tables. */
    Unchanged = "unchanged",
    Status = "status",
    History = "history",
    /** A state host forwarded the request to one that is not the leader; nothing was proposed. */
    NotLeader = "not-leader",
    /** No result yet. The outcome may be unknown, so the same request should be sent again, a change with its id. */
    Unavailable = "unavailable",
    /** The request failed validation and had no effect. */
    Invalid = "invalid",
    Enrolled = "enrolled",
    /** A published configuration or facts are committed. */
    Recorded = "recorded",
    Published = "published",
}

/** The Raft role of a state host. */
export enum StateRole {
    Leader = "leader",
    Follower = "follower",
    Candidate = "candidate",
    /** Not a voter, for example after the loss of its disk; catches up from the other hosts before it votes. */
    Recovering = "recovering",
}

/** The status of one state host. */
export interface StateStatus {
    hostId: string;
    role: StateRole;
    term: number;
    leaderId?: string;
    committed: Version;
    /** Number of log entries after the snapshot. */
    logLength: number;
    /** Last log index that the snapshot covers. */
    snapshotIndex: number;
}

/** One accepted change. */
export interface HistoryEntry {
    version: Version;
    changeId: string;
    author: string;
    /** Wall-clock time of the leader when it received the change, in milliseconds since 1970. */
    acceptedAt: number;
}

export type StateReply =
    | { kind: StateReplyKind.Applied; version: Version; }
    /** `winningChangeId` is the id of the change that created `version`, which was in force when the change was rejected. */
    | { kind: StateReplyKind.Conflict; version: Version; winningChangeId: string; message: string; }
    | { kind: StateReplyKind.Tables; versioned: VersionedTables; }
    | { kind: StateReplyKind.Unchanged; version: Version; }
    | { kind: StateReplyKind.Status; status: StateStatus; }
    | { kind: StateReplyKind.History; entries: HistoryEntry[]; }
    | { kind: StateReplyKind.NotLeader; leaderId?: string; message: string; }
    | { kind: StateReplyKind.Unavailable; retryAfterMs: number; message: string; }
    /** `firstStart`: whether no earlier process of the host ever enrolled. `roster` is absent until one contains the host. */
    | { kind: StateReplyKind.Enrolled; firstStart: boolean; roster?: EntryRoster; }
    | { kind: StateReplyKind.Recorded; }
    | { kind: StateReplyKind.Published; published?: PublishedConfiguration; }
    | { kind: StateReplyKind.Invalid; message: string; };
