/** Events that the entry process passes to a claim node, and actions that it carries out for the node. */
import type { Refusal } from "../outcome.js";
import type { Random } from "../random.js";
import type { ClaimAnswer, ClaimMessage } from "./claim-message.js";
import type { ClaimRoster } from "./roster.js";

export enum ClaimEventKind {
    ClaimRequested = "claim-wanted",
    Finished = "finished",
    NotRun = "not-run",
    OutcomeUnknown = "outcome-unknown",
    Message = "message",
    Roster = "roster",
    FirstStart = "first-start",
    Tick = "tick",
}

/** Asks for permission to run a request that has an idempotency key and is not idempotent by itself. */
export interface ClaimRequested {
    kind: ClaimEventKind.ClaimRequested;
    /** Unique in this process. */
    requestId: string;
    brand: string;
    /** The value of the Idempotency-Key header. */
    key: string;
    /** Hash of the request's method, path, and body. */
    fingerprint: string;
    deadlineAt: number;
    /**
     * Whether the key was certainly never sent before. Only then does a refusal for lack of a majority report "not run";
     * otherwise an earlier request with the key may have run unnoticed, and the refusal reports "unknown".
     */
    firstSending?: boolean;
}

export type ClaimEvent =
    | ClaimRequested
    /** A granted request has run; `answer` is its complete answer. */
    | { kind: ClaimEventKind.Finished; requestId: string; answer: ClaimAnswer; }
    /** A granted request certainly did not run and will not be retried under this grant. */
    | { kind: ClaimEventKind.NotRun; requestId: string; }
    /** A granted request may have run and its answer is no longer expected; the key stays held. */
    | { kind: ClaimEventKind.OutcomeUnknown; requestId: string; }
    | { kind: ClaimEventKind.Message; fromHostId: string; message: ClaimMessage; }
    /**
     * A new roster. The first one after a start must come from a linearizable read of the state hosts, which order the
     * rosters, so that it is not older than any that an earlier process of this host knew.
     */
    | { kind: ClaimEventKind.Roster; roster: ClaimRoster; }
    /**
     * No earlier process of this host ever voted, so no vote can be lost. The source must be a durable, write-once record
     * on the state hosts, not a flag that is set again at each restart.
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
    /** Run the request now, once, and report its outcome. */
    | { kind: ClaimActionKind.Granted; requestId: string; }
    /** The request has run before; send the caller this answer. */
    | { kind: ClaimActionKind.Replay; requestId: string; answer: ClaimAnswer; }
    | { kind: ClaimActionKind.Refused; requestId: string; refusal: Refusal; };

/** Limits of a claim node; each has a default. */
export interface ClaimLimits {
    /** How long a key is kept after the last vote for it, in milliseconds. Every host of the fleet must use the same value. */
    horizonMs: number;
    /** How long a claim waits for a majority, in milliseconds. */
    claimTimeoutMs: number;
    /** Delay before a message without a reply is sent again, in milliseconds. */
    resendMs: number;
    /** The most records in one page of a catch-up. */
    pageRecords: number;
    /** The most keys that a replica keeps. A full replica refuses new keys and never evicts one. */
    maxKeys: number;
    /** The largest answer that is kept, in bytes. */
    maxAnswerBytes: number;
    /** The most bytes of answers that a replica keeps; the oldest answers are evicted, their keys stay. */
    maxTotalAnswerBytes: number;
    /** The delay before a retry that a refusal asks of the caller, in milliseconds. */
    retryAfterMs: number;
}

const hourMs = 3_600_000;
const bytesPerMebibyte = 1024 * 1024;

/** The limits that apply where the options of a claim node set none. */
export const defaultClaimLimits: ClaimLimits = {
    horizonMs: 24 * hourMs,
    claimTimeoutMs: 400,
    resendMs: 100,
    pageRecords: 2000,
    maxKeys: 500_000,
    maxAnswerBytes: 64 * 1024,
    maxTotalAnswerBytes: 64 * bytesPerMebibyte,
    retryAfterMs: 1000,
};

/** Options of `createClaimNode`. */
export interface ClaimNodeCfg {
    hostId: string;
    /** Must grow with each start of this host, for example the wall-clock milliseconds at the start. */
    incarnation: number;
    /** Makes the IDs of attempts unique; each process needs a different seed. */
    random: Random;
    limits?: Partial<ClaimLimits>;
}

/** The claim node of one entry host. Times are in milliseconds of a monotonic clock. */
export interface ClaimNode {
    step(event: ClaimEvent, now: number): ClaimAction[];
    /** The number of keys that this replica keeps. */
    keys(): number;
    /**
     * Hosts whose records this replica still lacks after a restart. Before a planned restart of another host the list must be
     * empty.
     */
    catchUpPendingHosts(now: number): string[];
    /** The number of answers and releases that some replica has not confirmed; a graceful stop waits for them up to a limit. */
    unconfirmedMessages(): number;
}
