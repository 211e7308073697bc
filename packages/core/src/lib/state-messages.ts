/** Requests that operators and entry hosts send to the state hosts, and their replies. */
import type { Fact } from "./fleet/facts.js";
import type { Published } from "./fleet/fleet-machine.js";
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

/** Asks for a change of both tables. Sending the same `changeId` again yields the same reply. */
export interface ApplyRequest {
    kind: StateRequestKind.Apply;
    /** Unique name of the change, chosen by the sender. */
    changeId: string;
    /** The version that the sender edited; the change loses the race when another version is in force. */
    expectedVersion: Version;
    tables: Tables;
    /** Who asks, for the history. */
    author: string;
}

/** Asks for the tables with a linearizable read. */
export interface ReadRequest {
    kind: StateRequestKind.Read;
}

/**
 * Asks for tables newer than `known`, and waits for them up to `waitMs`. Any state host answers it from its committed
 * tables, so the reply may lag but is never older than what that host knew before.
 */
export interface WatchRequest {
    kind: StateRequestKind.Watch;
    known: Version;
    waitMs: number;
    /** The entry host that asks. */
    hostId: string;
}

/** Asks one state host about itself. */
export interface StatusRequest {
    kind: StateRequestKind.Status;
}

/** Asks for the latest accepted changes, newest first. */
export interface HistoryRequest {
    kind: StateRequestKind.History;
    limit: number;
}

/** An entry host that may hold claims. */
export interface RosterHost {
    hostId: string;
    region: string;
    availabilityZone: string;
}

/** The agreed list of entry hosts. Liveness never changes it. */
export interface EntryRoster {
    /** Grows by one with each change of the list. */
    version: number;
    hosts: RosterHost[];
    /** Lists that hosts with an older roster may still use, newest first. */
    earlier: RosterHost[][];
}

/** An entry host says that it has started and asks for the roster; it asks again until the reply holds one. */
export interface EnrollRequest {
    kind: StateRequestKind.Enroll;
    host: RosterHost;
    /** The incarnation of its process. */
    incarnation: number;
}

/**
 * Publishes a configuration under a number that its operator chose. It is acknowledged also when a number as high is
 * already held; then nothing changes.
 */
export interface PublishRequest {
    kind: StateRequestKind.Publish;
    published: Published;
}

/** Records facts about backend servers and hosts. */
export interface FactsRequest {
    kind: StateRequestKind.Facts;
    facts: Fact[];
}

/** Asks for the published configuration with a linearizable read. */
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
    Tables = "tables",
    Unchanged = "unchanged",
    Status = "status",
    History = "history",
    NotLeader = "not-leader",
    Unavailable = "unavailable",
    Invalid = "invalid",
    Enrolled = "enrolled",
    /** A publication or facts are committed. */
    Recorded = "recorded",
    Published = "published",
}

export enum StateRole {
    Leader = "leader",
    Follower = "follower",
    Candidate = "candidate",
    /** Has no trustworthy disk and recovers from the others before it votes. */
    Recovering = "recovering",
}

/** What one state host says about itself. */
export interface StateStatus {
    hostId: string;
    role: StateRole;
    term: number;
    leaderId?: string;
    committed: Version;
    logLength: number;
    snapshotIndex: number;
}

/** One accepted change. */
export interface HistoryEntry {
    version: Version;
    changeId: string;
    author: string;
    /** Wall-clock time of the leader when it took the change, in milliseconds since 1970. */
    acceptedAt: number;
}

export type StateReply =
    | { kind: StateReplyKind.Applied; version: Version; }
    | { kind: StateReplyKind.Conflict; version: Version; winningChangeId: string; message: string; }
    | { kind: StateReplyKind.Tables; versioned: VersionedTables; }
    | { kind: StateReplyKind.Unchanged; version: Version; }
    | { kind: StateReplyKind.Status; status: StateStatus; }
    | { kind: StateReplyKind.History; entries: HistoryEntry[]; }
    | { kind: StateReplyKind.NotLeader; leaderId?: string; message: string; }
    | { kind: StateReplyKind.Unavailable; retryAfterMs: number; message: string; }
    | { kind: StateReplyKind.Enrolled; firstStart: boolean; roster?: EntryRoster; }
    | { kind: StateReplyKind.Recorded; }
    | { kind: StateReplyKind.Published; published?: Published; }
    | { kind: StateReplyKind.Invalid; message: string; };
