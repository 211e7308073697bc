/** Events and actions of a claim node: what the entry process hands in and carries out. */
import type { Refusal } from "../outcome.js";
import type { Random } from "../random.js";
import type { ClaimAnswer, ClaimMessage } from "./claim-message.js";
import type { ClaimRoster } from "./roster.js";

export enum ClaimEventKind {
    ClaimWanted = "claim-wanted",
    Finished = "finished",
    NotRun = "not-run",
    OutcomeUnknown = "outcome-unknown",
    Message = "message",
    Roster = "roster",
    FirstStart = "first-start",
    Tick = "tick",
}

/** A keyed request that is not idempotent wants to run. */
export interface ClaimWanted {
    kind: ClaimEventKind.ClaimWanted;
    /** Unique in this process. */
    requestId: string;
    brand: string;
    /** The value of the Idempotency-Key header. */
    key: string;
    /** Hash of method, path, and body. */
    fingerprint: string;
    deadlineAt: number;
    /**
     * Whether the key is certainly sent for the first time. Only then does a refusal for want of a majority say "not run";
     * otherwise an earlier sending may have run out of sight, and the refusal says "unknown".
     */
    firstSending?: boolean;
}

export type ClaimEvent =
    | ClaimWanted
    /** A granted request ran, and this is its whole answer. */
    | { kind: ClaimEventKind.Finished; requestId: string; answer: ClaimAnswer; }
    /** A granted request certainly did not run and will not be tried again under this grant. */
    | { kind: ClaimEventKind.NotRun; requestId: string; }
    /** A granted request may have run and no answer is expected any more; the key stays held. */
    | { kind: ClaimEventKind.OutcomeUnknown; requestId: string; }
    | { kind: ClaimEventKind.Message; fromHostId: string; message: ClaimMessage; }
    /**
     * The roster. The first one after a start must come from a linearizable read of whoever orders the rosters, so that it is
     * not older than any that an earlier process of this host knew.
     */
    | { kind: ClaimEventKind.Roster; roster: ClaimRoster; }
    /**
     * No earlier process of this host ever took part, so that none of its votes can be forgotten. Only a durable,
     * write-once record (on the state hosts) may say so; a flag that a restart repeats may not.
     */
    | { kind: ClaimEventKind.FirstStart; }
    | { kind: ClaimEventKind.Tick; };

export enum ClaimActionKind {
    Send = "send",
    Granted = "granted",
    Replay = "replay",
    Refused = "refused",
}

export type ClaimAction =
    | { kind: ClaimActionKind.Send; hostId: string; message: ClaimMessage; }
    /** Run the request now, once, and report how it ended. */
    | { kind: ClaimActionKind.Granted; requestId: string; }
    /** The request ran before; pass this answer on. */
    | { kind: ClaimActionKind.Replay; requestId: string; answer: ClaimAnswer; }
    | { kind: ClaimActionKind.Refused; requestId: string; refusal: Refusal; };

/** Limits of a claim node; each has a default. */
export interface ClaimLimits {
    /** How long a key is kept after the last vote for it, in milliseconds. Every host of the fleet must use the same value. */
    horizonMs: number;
    /** How long a claim waits for a majority, in milliseconds. */
    claimTimeoutMs: number;
    /** Pause before a message without a reply is sent again, in milliseconds. */
    resendMs: number;
    /** Records of one page of a catch-up. */
    pageRecords: number;
    /** Keys that a replica keeps; more are refused, never forgotten. */
    maxKeys: number;
    /** The largest answer that is kept, in bytes. */
    maxAnswerBytes: number;
    /** Bytes of all the answers that a replica keeps; the oldest are dropped, their keys stay. */
    maxAnswerBytesInAll: number;
    /** What a refused caller is told to wait, in milliseconds. */
    retryAfterMs: number;
}

const hourMs = 3_600_000;
const mebibyte = 1024 * 1024;

/** The limits of a claim node where its options name none. */
export const defaultClaimLimits: ClaimLimits = {
    horizonMs: 24 * hourMs,
    claimTimeoutMs: 400,
    resendMs: 100,
    pageRecords: 2000,
    maxKeys: 500_000,
    maxAnswerBytes: 64 * 1024,
    maxAnswerBytesInAll: 64 * mebibyte,
    retryAfterMs: 1000,
};

/** Options of `createClaimNode`. */
export interface ClaimNodeCfg {
    hostId: string;
    /** Grows with each start of this host; wall-clock milliseconds at the start will do. */
    incarnation: number;
    /** Makes the names of attempts unique; seed it differently in each process. */
    random: Random;
    limits?: Partial<ClaimLimits>;
}

/** The claim node of one entry host. Times are in milliseconds of a clock that never goes back. */
export interface ClaimNode {
    step(event: ClaimEvent, now: number): ClaimAction[];
    /** Keys that this replica keeps. */
    keys(): number;
    /** Hosts whose records this replica still waits for after a restart; a planned restart of another host waits for none. */
    missing(now: number): string[];
    /** Answers and releases that some replica has not confirmed; a graceful stop waits for them for a while. */
    unsettled(): number;
}
