/** Messages between the claim nodes of entry hosts: plain data that any codec carries. */
import type { ClaimRoster } from "./roster.js";

/** A whole answer of a backend server, kept for resends. */
export interface ClaimAnswer {
    status: number;
    headers: [name: string, value: string][];
    body: Uint8Array;
}

/** An attempt that may hold a key. */
export interface ClaimHolder {
    /** Unique for each claim of each process; it is never used twice. */
    attemptId: string;
    /** Hash of the request, so that another request with the same key is told apart. */
    fingerprint: string;
}

/** The end of a key: it ran, and this is its answer. */
export interface FinishedClaim extends ClaimHolder {
    /** `undefined` when the answer was too large to keep. */
    answer?: ClaimAnswer;
}

/** A key's record as one replica sends it to another. */
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
    /** The replica has restarted and does not yet know what it may have voted. */
    Abstained = "abstained",
    /** The replica keeps as many keys as it may. */
    Full = "full",
}

export type Verdict =
    | { kind: VerdictKind.Voted; }
    /** `certain` is false while the replica may have forgotten a vote for yet another attempt. */
    | { kind: VerdictKind.Held; holders: ClaimHolder[]; certain: boolean; }
    | { kind: VerdictKind.Finished; finished: FinishedClaim; }
    | { kind: VerdictKind.Abstained; }
    | { kind: VerdictKind.Full; };

/** The latest process of each host that asked for a catch-up, by host; a restart grows the number. */
export type Incarnations = Record<string, number>;

export enum ClaimMessageKind {
    Claim = "claim",
    ClaimReply = "claim-reply",
    Release = "release",
    Finish = "finish",
    /** Confirms a release or a finish. */
    Settled = "settled",
    CatchUp = "catch-up",
    CatchUpPage = "catch-up-page",
    /** The session is not known; the sender of the catch-up must open another. */
    CatchUpRestart = "catch-up-restart",
    /** The sender of a catch-up uses a number that an earlier process has used. */
    IncarnationUsed = "incarnation-used",
    RosterWanted = "roster-wanted",
    RosterNews = "roster-news",
}

/** Asks a replica for its vote. */
export interface ClaimRequest {
    kind: ClaimMessageKind.Claim;
    rosterVersion: number;
    claimId: string;
    holder: ClaimHolder;
}

/** The vote of a replica, with what it knows about restarts of the others. */
export interface ClaimReply {
    kind: ClaimMessageKind.ClaimReply;
    attemptId: string;
    incarnation: number;
    known: Incarnations;
    verdict: Verdict;
}

/** Gives a key back, because the attempt certainly did not and will not run. */
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

/** Asks for the records that both hosts are replicas of. */
export interface CatchUpRequest {
    kind: ClaimMessageKind.CatchUp;
    rosterVersion: number;
    incarnation: number;
    /** The session that the next page belongs to; `undefined` to open one. */
    session?: string;
    /** The number of records that have arrived. */
    cursor: number;
    /** How many third replicas this sender has vouched for so far; it answers only when there are more. */
    vouched: number;
}

/** One page of a catch-up. */
export interface CatchUpPage {
    kind: ClaimMessageKind.CatchUpPage;
    /** The process that asked. */
    forIncarnation: number;
    /** Pages of different sessions don't fit together: records expire, and places shift. */
    session: string;
    cursor: number;
    /** The cursor of the next page; `undefined` on the last one. */
    next?: number;
    records: SharedRecord[];
    incarnation: number;
    known: Incarnations;
    /** The third replicas of which the sender knows everything; `undefined` for all of them. */
    vouchedFor?: string[];
}

export type ClaimMessage =
    | ClaimRequest
    | ClaimReply
    | ReleaseRequest
    | FinishRequest
    | { kind: ClaimMessageKind.Settled; attemptId: string; }
    | CatchUpRequest
    | CatchUpPage
    | { kind: ClaimMessageKind.CatchUpRestart; session: string; }
    | { kind: ClaimMessageKind.IncarnationUsed; highest: number; }
    | { kind: ClaimMessageKind.RosterWanted; }
    | { kind: ClaimMessageKind.RosterNews; roster: ClaimRoster; };

/** A message and the host that it goes to. */
export interface Addressed {
    hostId: string;
    message: ClaimMessage;
}
