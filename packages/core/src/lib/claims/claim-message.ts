/** Messages between the claim nodes of entry hosts, as plain data that any codec can carry. */
import type { ClaimRoster } from "./roster.js";

/** A complete answer of a backend server, kept to be replayed. */
export interface ClaimAnswer {
    status: number;
    headers: [name: string, value: string][];
    body: Uint8Array;
}

/** An attempt that may hold a key. */
export interface ClaimHolder {
    /** Unique for each claim of each process; never reused. */
    attemptId: string;
    /** Hash of the request; detects a different request with the same key. */
    fingerprint: string;
}

/** An attempt that has run, with its answer. */
export interface FinishedClaim extends ClaimHolder {
    /** `undefined` when the answer was too large to keep or was evicted. */
    answer?: ClaimAnswer;
}

/** The record of a key, as one replica sends it to another. */
export interface SharedRecord {
    claimId: string;
    holders: ClaimHolder[];
    /** Attempts that certainly did not run. */
    released: string[];
    finished?: FinishedClaim;
    /** Time since the last vote, in milliseconds. */
    ageMs: number;
}

export enum VerdictKind {
    /** The replica holds the key for this attempt alone. */
    Voted = "voted",
    /** Another attempt may hold the key. */
    Held = "held",
    Finished = "finished",
    /** The replica has restarted and does not yet know its earlier votes. */
    Abstained = "abstained",
    /** The replica has reached its limit of keys. */
    Full = "full",
}

export type Verdict =
    | { kind: VerdictKind.Voted; }
    /** `certain` is false while the replica may have lost a vote for yet another attempt. */
    | { kind: VerdictKind.Held; holders: ClaimHolder[]; certain: boolean; }
    | { kind: VerdictKind.Finished; finished: FinishedClaim; }
    | { kind: VerdictKind.Abstained; }
    | { kind: VerdictKind.Full; };

/** The latest incarnation, by host ID, of each host that requested a catch-up; it grows with each restart. */
export type Incarnations = Record<string, number>;

export enum ClaimMessageKind {
    Claim = "claim",
    ClaimReply = "claim-reply",
    Release = "release",
    Finish = "finish",
    /** Confirms a release or a finish. */
    Confirmed = "settled",
    CatchUp = "catch-up",
    CatchUpPage = "catch-up-page",
    /** The session is unknown; the host that catches up must open another. */
    CatchUpRestart = "catch-up-restart",
    /** The host that catches up uses an incarnation that is lower than one it has used before. */
    IncarnationUsed = "incarnation-used",
    RosterRequest = "roster-wanted",
    RosterSnapshot = "roster-news",
}

/** Asks a replica for its vote. */
export interface ClaimRequest {
    kind: ClaimMessageKind.Claim;
    rosterVersion: number;
    claimId: string;
    holder: ClaimHolder;
}

/** The vote of a replica, with the incarnations of the other replicas that it knows. */
export interface ClaimReply {
    kind: ClaimMessageKind.ClaimReply;
    attemptId: string;
    incarnation: number;
    known: Incarnations;
    verdict: Verdict;
}

/** Releases the hold on a key, because the attempt certainly did not and will not run. */
export interface ReleaseRequest {
    kind: ClaimMessageKind.Release;
    claimId: string;
    attemptId: string;
}

/** Stores the answer of a key. */
export interface FinishRequest {
    kind: ClaimMessageKind.Finish;
    claimId: string;
    finished: FinishedClaim;
}

/** Requests the records of the keys that have both hosts as replicas. */
export interface CatchUpRequest {
    kind: ClaimMessageKind.CatchUp;
    rosterVersion: number;
    incarnation: number;
    /** The session that the next page belongs to; `undefined` to open one. */
    session?: string;
    /** The number of records of the session that have arrived. */
    cursor: number;
    /** How many third replicas the receiver has vouched for so far; it opens a session only when there are more. */
    vouched: number;
}

/** One page of a catch-up. */
export interface CatchUpPage {
    kind: ClaimMessageKind.CatchUpPage;
    /** The incarnation of the process that requested the page. */
    forIncarnation: number;
    /** Pages of different sessions can't be combined: records expire, which shifts the positions of the others. */
    session: string;
    cursor: number;
    /** The cursor of the next page; `undefined` on the last one. */
    next?: number;
    records: SharedRecord[];
    incarnation: number;
    known: Incarnations;
    /** The third replicas for whose sets the sender knows all records; `undefined` for all of them. */
    vouchedFor?: string[];
}

export type ClaimMessage =
    | ClaimRequest
    | ClaimReply
    | ReleaseRequest
    | FinishRequest
    | { kind: ClaimMessageKind.Confirmed; attemptId: string; }
    | CatchUpRequest
    | CatchUpPage
    | { kind: ClaimMessageKind.CatchUpRestart; session: string; }
    | { kind: ClaimMessageKind.IncarnationUsed; highest: number; }
    | { kind: ClaimMessageKind.RosterRequest; }
    | { kind: ClaimMessageKind.RosterSnapshot; roster: ClaimRoster; };

/** A message and the host to send it to. */
export interface AddressedMessage {
    hostId: string;
    message: ClaimMessage;
}
