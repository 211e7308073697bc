/** Events, actions and messages of one entry host. */
import type { Announcement } from "../backend-server.js";
import type { ClaimAnswer, ClaimMessage } from "../claims/index.js";
import type { ClockEcho, RelayMessage } from "../directory/relay-message.js";
import type { MembershipMessage } from "../membership/membership-message.js";
import type { AttemptClass, Refusal } from "../outcome.js";
import type { EntryRoster } from "../state-messages.js";
import type { Version, VersionedTables } from "../tables.js";

/** A request as the decisions see it; its body stays with the adapter. */
export interface RequestInfo {
    requestId: string;
    brand: string;
    kind: string;
    method: string;
    idempotencyKey?: string;
    /** A digest of the method, path and body, so that a key is not used for two different requests. */
    fingerprint: string;
    /** When the caller stops waiting. */
    deadlineAt: number;
    /** Entry hosts that passed the request on, oldest first. */
    visited: string[];
}

/** A whole answer that can be replayed. */
export type StoredAnswer = ClaimAnswer;

export enum FleetMessageKind {
    Membership = "membership",
    Relay = "relay",
    Claim = "claim",
    Evidence = "evidence",
}

/** A message between entry hosts. */
export type FleetMessage =
    | { kind: FleetMessageKind.Membership; message: MembershipMessage; }
    | { kind: FleetMessageKind.Relay; message: RelayMessage; }
    | { kind: FleetMessageKind.Claim; message: ClaimMessage; }
    /** What the sender itself has seen of a backend server, in thresholds. */
    | { kind: FleetMessageKind.Evidence; service: string; serverId: string; evidence: number; };

export enum EntryEventKind {
    Request = "request",
    AttemptEnded = "attempt-ended",
    ProbeEnded = "probe-ended",
    ForwardEnded = "forward-ended",
    CallerGone = "caller-gone",
    Announce = "announce",
    Message = "message",
    Tables = "tables",
    Enrolled = "enrolled",
    Tick = "tick",
    Drain = "drain",
}

/** How passing a request on to another entry host ended. */
export enum ForwardClass {
    /** The other host answered; its answer is passed on. */
    Completed = "completed",
    /** No byte was handed to a socket. */
    NotSent = "not-sent",
    /** The connection ended or the time ran out before the whole answer came. */
    Cut = "cut",
}

export type EntryEvent =
    | { kind: EntryEventKind.Request; request: RequestInfo; }
    | {
        kind: EntryEventKind.AttemptEnded;
        attemptId: string;
        attemptClass: AttemptClass;
        /** How long the backend server wants no work, when it shed the request. */
        retryAfterMs?: number;
        /** The whole answer, when it is small enough to be replayed. */
        answer?: StoredAnswer;
        /** Whether the adapter has begun to pass the answer on, since it was too large to buffer. */
        committed?: boolean;
    }
    | { kind: EntryEventKind.ProbeEnded; service: string; serverId: string; attemptClass: AttemptClass; durationMs: number; }
    | { kind: EntryEventKind.ForwardEnded; requestId: string; forwardClass: ForwardClass; }
    | { kind: EntryEventKind.CallerGone; requestId: string; }
    | { kind: EntryEventKind.Announce; announcement: Announcement; echo?: ClockEcho; }
    | { kind: EntryEventKind.Message; fromHostId: string; message: FleetMessage; }
    | { kind: EntryEventKind.Tables; versioned: VersionedTables; }
    /** The state hosts have answered the enrolment of this process. */
    | { kind: EntryEventKind.Enrolled; firstStart: boolean; roster: EntryRoster; }
    | { kind: EntryEventKind.Tick; }
    | { kind: EntryEventKind.Drain; };

export enum EntryActionKind {
    Attempt = "attempt",
    CancelAttempt = "cancel-attempt",
    Probe = "probe",
    Forward = "forward",
    Deliver = "deliver",
    Replay = "replay",
    Refuse = "refuse",
    Send = "send",
    Note = "note",
}

/** Something that an operator may want to read in the log. */
export enum NoteKind {
    ServerJoined = "server-joined",
    ServerLeft = "server-left",
    ServerEjected = "server-ejected",
    ServerReadmitted = "server-readmitted",
    FloorReached = "floor-reached",
    TablesInForce = "tables-in-force",
    HostChanged = "host-changed",
}

export type EntryAction =
    /** Send the request to a backend server; the time left is passed on. */
    | {
        kind: EntryActionKind.Attempt;
        requestId: string;
        attemptId: string;
        serverId: string;
        host: string;
        port: number;
        deadlineAt: number;
        /** Whether the request may be sent again; the adapter then buffers the answer whole before it delivers. */
        idempotent: boolean;
    }
    | { kind: EntryActionKind.CancelAttempt; attemptId: string; }
    /** Send a copy of an idempotent request, or without one an OPTIONS request, and tell how it ended; the answer is dropped. */
    | { kind: EntryActionKind.Probe; service: string; serverId: string; host: string; port: number; requestId?: string; }
    /** Pass the request on to another entry host. */
    | {
        kind: EntryActionKind.Forward;
        requestId: string;
        hostId: string;
        host: string;
        port: number;
        deadlineAt: number;
        visited: string[];
    }
    /** Pass the answer of this attempt on to the caller. */
    | { kind: EntryActionKind.Deliver; requestId: string; attemptId: string; }
    | { kind: EntryActionKind.Replay; requestId: string; answer: StoredAnswer; }
    | { kind: EntryActionKind.Refuse; requestId: string; refusal: Refusal; }
    | { kind: EntryActionKind.Send; toHostId: string; message: FleetMessage; }
    | { kind: EntryActionKind.Note; note: NoteKind; subject: string; detail: string; version?: Version; };
