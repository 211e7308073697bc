/** Input events and output actions of a state host, and the messages between state hosts. */
import type { StateReply, StateRequest } from "../state-messages.js";
import type { HardState, LogEntry, Snapshot } from "./log-entry.js";

export enum PeerMessageKind {
    /** Queries whether the receiver is also waiting for the bootstrap. */
    BootstrapQuery = "greet",
    BootstrapReply = "greet-reply",
    /** Asks the leader to make the sender's new disk a voter. */
    Join = "join",
    /** Reply of a voter that is not the leader to a join request: lists the voters to contact. */
    Voters = "voters",
    VoteRequest = "vote",
    VoteReply = "vote-reply",
    Append = "append",
    AppendReply = "append-reply",
    InstallSnapshot = "install-snapshot",
    /** Leadership transfer: the leaving leader requests that the receiver starts an election immediately. */
    TimeoutNow = "timeout-now",
    Forward = "forward",
    ForwardReply = "forward-reply",
}

/** Requests a vote or, as a pre-vote, queries whether the vote would be granted. */
export interface VoteRequestMessage {
    kind: PeerMessageKind.VoteRequest;
    term: number;
    preVote: boolean;
    /** Whether the leader requested the election; voters then grant it without waiting for the election timeout. */
    transfer: boolean;
    lastIndex: number;
    lastTerm: number;
}

export interface VoteReplyMessage {
    kind: PeerMessageKind.VoteReply;
    term: number;
    preVote: boolean;
    granted: boolean;
    incarnation: number;
}

/** Carries log entries; a heartbeat when there are none to send. */
export interface AppendMessage {
    kind: PeerMessageKind.Append;
    term: number;
    previousIndex: number;
    previousTerm: number;
    entries: LogEntry[];
    commitIndex: number;
    /** Time since a majority last replied to the leader, in milliseconds. */
    quorumAgeMs: number;
    /** Number of the leader's heartbeat round; the reply echoes it, which confirms that the leader still led then. */
    round: number;
}

export interface AppendReplyMessage {
    kind: PeerMessageKind.AppendReply;
    term: number;
    ok: boolean;
    /** If `ok`, the last index known to match the leader's log; otherwise the index to retry from. */
    index: number;
    round: number;
    incarnation: number;
}

export interface InstallSnapshotMessage {
    kind: PeerMessageKind.InstallSnapshot;
    term: number;
    snapshot: Snapshot;
    round: number;
}

export type PeerMessage =
    | { kind: PeerMessageKind.BootstrapQuery; nonce: number; }
    | { kind: PeerMessageKind.BootstrapReply; nonce: number; fresh: boolean; }
    | { kind: PeerMessageKind.Join; incarnation: number; }
    | { kind: PeerMessageKind.Voters; hostIds: string[]; }
    | VoteRequestMessage
    | VoteReplyMessage
    | AppendMessage
    | AppendReplyMessage
    | InstallSnapshotMessage
    | { kind: PeerMessageKind.TimeoutNow; term: number; }
    | { kind: PeerMessageKind.Forward; forwardId: number; request: StateRequest; }
    | { kind: PeerMessageKind.ForwardReply; forwardId: number; reply: StateReply; };

export enum NodeEventKind {
    /** Advances the time; sent every few milliseconds. */
    Tick = "tick",
    Message = "message",
    Request = "request",
    /** The process is about to stop; a leader transfers its leadership. */
    Leave = "leave",
}

export type NodeEvent =
    | { kind: NodeEventKind.Tick; }
    | { kind: NodeEventKind.Message; from: string; message: PeerMessage; }
    | { kind: NodeEventKind.Request; requestId: number; request: StateRequest; }
    | { kind: NodeEventKind.Leave; };

export enum NodeActionKind {
    SaveHardState = "save-hard-state",
    Append = "append",
    /** Removes the entries from `fromIndex` on. */
    Truncate = "truncate",
    /** Replaces the snapshot, and replaces the log with `entries`. */
    SaveSnapshot = "save-snapshot",
    Send = "send",
    Reply = "reply",
}

/** A write to disk; it is synced before any later action runs. */
export type WriteAction =
    | { kind: NodeActionKind.SaveHardState; hardState: HardState; }
    | { kind: NodeActionKind.Append; entries: LogEntry[]; }
    | { kind: NodeActionKind.Truncate; fromIndex: number; }
    | { kind: NodeActionKind.SaveSnapshot; snapshot: Snapshot; entries: LogEntry[]; };

export type NodeAction =
    | WriteAction
    | { kind: NodeActionKind.Send; to: string; message: PeerMessage; }
    | { kind: NodeActionKind.Reply; requestId: number; reply: StateReply; };
