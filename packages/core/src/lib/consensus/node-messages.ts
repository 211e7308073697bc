/** Events, actions and messages between state hosts. */
import type { StateReply, StateRequest } from "../state-messages.js";
import type { HardState, LogEntry, Snapshot } from "./log-entry.js";

export enum PeerMessageKind {
    /** Asks whether the receiver is also at its first start. */
    Greet = "greet",
    GreetReply = "greet-reply",
    /** Asks the leader to make the sender's new disk a voter. */
    Join = "join",
    /** Names the voters to a host that asked one that does not lead to take it in. */
    Voters = "voters",
    Vote = "vote",
    VoteReply = "vote-reply",
    Append = "append",
    AppendReply = "append-reply",
    InstallSnapshot = "install-snapshot",
    /** The leader leaves and asks the receiver to stand for election at once. */
    TimeoutNow = "timeout-now",
    Forward = "forward",
    ForwardReply = "forward-reply",
}

/** Asks for a vote, or, as a pre-vote, whether a vote would be given. */
export interface VoteMessage {
    kind: PeerMessageKind.Vote;
    term: number;
    preVote: boolean;
    /** The leader asked for the election, so that voters need not wait for its silence. */
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

/** Carries entries, or none as a heartbeat. */
export interface AppendMessage {
    kind: PeerMessageKind.Append;
    term: number;
    previousIndex: number;
    previousTerm: number;
    entries: LogEntry[];
    commitIndex: number;
    /** How long ago the leader had heard a majority, in milliseconds. */
    quorumAgeMs: number;
    /** Counts the rounds of the leader; the reply repeats it and so confirms that the leader still led. */
    round: number;
}

export interface AppendReplyMessage {
    kind: PeerMessageKind.AppendReply;
    term: number;
    ok: boolean;
    /** When `ok`, the last index known to equal the leader's; otherwise where the leader should try next. */
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
    | { kind: PeerMessageKind.Greet; nonce: number; }
    | { kind: PeerMessageKind.GreetReply; nonce: number; fresh: boolean; }
    | { kind: PeerMessageKind.Join; incarnation: number; }
    | { kind: PeerMessageKind.Voters; hostIds: string[]; }
    | VoteMessage
    | VoteReplyMessage
    | AppendMessage
    | AppendReplyMessage
    | InstallSnapshotMessage
    | { kind: PeerMessageKind.TimeoutNow; term: number; }
    | { kind: PeerMessageKind.Forward; forwardId: number; request: StateRequest; }
    | { kind: PeerMessageKind.ForwardReply; forwardId: number; reply: StateReply; };

export enum NodeEventKind {
    /** Time has passed; sent every few milliseconds. */
    Tick = "tick",
    Message = "message",
    Request = "request",
    /** The process is asked to stop: hand leadership on. */
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
    /** Drops the entries from `fromIndex` on. */
    Truncate = "truncate",
    /** Replaces the snapshot, and the log by `entries`. */
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
