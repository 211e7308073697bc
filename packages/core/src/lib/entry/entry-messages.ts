/** Defines the events, actions and messages of an entry host. */
import type { Announcement } from "../backend-server.js";
import type { ClaimAnswer, ClaimMessage } from "../claims/index.js";
import type { ClockEcho, RelayMessage } from "../directory/relay-message.js";
import type { MembershipMessage } from "../membership/membership-message.js";
import type { AttemptClass, Refusal } from "../outcome.js";
import type { RequestEvidence } from "../quarantine/index.js";
import type { EntryRoster } from "../state-messages.js";
import type { Version, VersionedTables } from "../tables.js";

/** A request without its body, which stays in the I/O adapter. */
export interface RequestInfo {
    requestId: string;
    brand: string;
    kind: string;
    method: string;
    idempotencyKey?: string;
    /** Digest of the method, path and body; detects an idempotency key that is reused for a different request. */
    fingerprint: string;
    /** Identifies the request by its content; the same for each repeat, at every host. */
    requestKey: string;
    /** When the caller stops waiting, in milliseconds. */
    deadlineAt: number;
    /** Ids of the entry hosts that forwarded the request, in order. */
    visited: string[];
}

/** A complete answer that can be replayed to a repeated request. */
export type StoredAnswer = ClaimAnswer;

export enum FleetMessageKind {
    Membership = "membership",
    Relay = "relay",
    Claim = "claim",
    Evidence = "evidence",
    RequestEvidence = "request-evidence",
}

/** A message between entry hosts. */
export type FleetMessage =
    | { kind: FleetMessageKind.Membership; message: MembershipMessage; }
    | { kind: FleetMessageKind.Relay; message: RelayMessage; }
    | { kind: FleetMessageKind.Claim; message: ClaimMessage; }
    /** The sender's own evidence against a backend server, as a multiple of the detection threshold. */
    | { kind: FleetMessageKind.Evidence; service: string; serverId: string; evidence: number; }
    /** What the sender has seen of a request that may end servers. */
    | { kind: FleetMessageKind.RequestEvidence; evidence: RequestEvidence; };

export enum EntryEventKind {
    Request = "request",
    AttemptEnded = "attempt-ended",
    ProbeEnded = "probe-ended",
    ForwardEnded = "forward-ended",
    CallerDisconnected = "caller-gone",
    Announce = "announce",
    Message = "message",
    Tables = "tables",
    Enrolled = "enrolled",
    Tick = "tick",
    Drain = "drain",
}

/** How forwarding a request to another entry host ended. */
export enum ForwardClass {
    /** The other host answered; its answer is passed to the caller. */
    Completed = "completed",
    /** No byte was written to a socket. */
    NotSent = "not-sent",
    /** The connection closed or the deadline passed before the answer was complete. */
    Cut = "cut",
}

export type EntryEvent =
    | { kind: EntryEventKind.Request; request: RequestInfo; }
    | {
        kind: EntryEventKind.AttemptEnded;
        attemptId: string;
        attemptClass: AttemptClass;
        /** How long the backend server asks not to be sent requests, in milliseconds; set when it shed the request. */
        retryAfterMs?: number;
        /** Whether the server has ended: the connection broke, and the server refuses the next one. */
        hasServerEnded?: boolean;
        /** The complete answer, when it is small enough to be stored for replay. */
        answer?: StoredAnswer;
        /** Whether the adapter has started to stream the answer to the caller, because it is too large to buffer. */
        committed?: boolean;
    }
    | { kind: EntryEventKind.ProbeEnded; service: string; serverId: string; attemptClass: AttemptClass; durationMs: number; }
    | { kind: EntryEventKind.ForwardEnded; requestId: string; forwardClass: ForwardClass; }
    | { kind: EntryEventKind.CallerDisconnected; requestId: string; }
    | { kind: EntryEventKind.Announce; announcement: Announcement; echo?: ClockEcho; }
    | { kind: EntryEventKind.Message; fromHostId: string; message: FleetMessage; }
    | { kind: EntryEventKind.Tables; versioned: VersionedTables; }
    /** The state hosts answered the enrolment of this process. */
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
    LogEvent = "note",
}

/** The kind of a log event for the operator. */
export enum LogEventKind {
    ServerJoined = "server-joined",
    ServerLeft = "server-left",
    ServerEjected = "server-ejected",
    ServerReadmitted = "server-readmitted",
    FloorReached = "floor-reached",
    TablesInForce = "tables-in-force",
    HostChanged = "host-changed",
    RequestQuarantined = "request-quarantined",
    RequestCleared = "request-cleared",
}

export type EntryAction =
    /** Send the request to a backend server, together with the time left until its deadline. */
    | {
        kind: EntryActionKind.Attempt;
        requestId: string;
        attemptId: string;
        serverId: string;
        host: string;
        port: number;
        deadlineAt: number;
        /** Whether the request may be retried; the adapter then buffers the complete answer before delivery. */
        idempotent: boolean;
    }
    | { kind: EntryActionKind.CancelAttempt; attemptId: string; }
    /**
     * Send a copy of the idempotent request `requestId`, or an OPTIONS request without one, and report how it ended; discard
     * the answer.
     */
    | { kind: EntryActionKind.Probe; service: string; serverId: string; host: string; port: number; requestId?: string; }
    /** Forward the request to another entry host. */
    | {
        kind: EntryActionKind.Forward;
        requestId: string;
        hostId: string;
        host: string;
        port: number;
        deadlineAt: number;
        visited: string[];
    }
    /** Deliver the answer of this attempt to the caller. */
    | { kind: EntryActionKind.Deliver; requestId: string; attemptId: string; }
    | { kind: EntryActionKind.Replay; requestId: string; answer: StoredAnswer; }
    | { kind: EntryActionKind.Refuse; requestId: string; refusal: Refusal; }
    | { kind: EntryActionKind.Send; toHostId: string; message: FleetMessage; }
    | { kind: EntryActionKind.LogEvent; logEvent: LogEventKind; subject: string; detail: string; version?: Version; };
