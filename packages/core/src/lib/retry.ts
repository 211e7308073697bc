/** Decides what follows when an attempt has ended, and when a second one is worth starting beside it. */
import { AttemptClass, Outcome } from "./outcome.js";
import { createAttemptTimes } from "./retries/attempt-times.js";
import { createRetryBudget } from "./retries/retry-budget.js";

/** What is known about a request when an attempt of it has ended. Times are in milliseconds. */
export interface AttemptEnd {
    attemptClass: AttemptClass;
    idempotent: boolean;
    /** Attempts made so far, this one included. */
    attempts: number;
    /** Whether any attempt so far may have reached a backend server. */
    mayHaveRun: boolean;
    now: number;
    deadlineAt: number;
    /** The kind of request; with it, no retry is started that would hardly end in time. */
    requestKind?: string;
}

export enum NextStepKind {
    /** Pass the backend server's whole answer on. */
    Deliver = "deliver",
    /** Try another member. */
    Retry = "retry",
    /** Give up and say what is known, at once. */
    GiveUp = "give-up",
}

export type NextStep =
    | { kind: NextStepKind.Deliver; }
    | { kind: NextStepKind.Retry; }
    | { kind: NextStepKind.GiveUp; outcome: Outcome.NotRun | Outcome.Unknown; };

/** Options of {@link createRetryPolicy}. */
export interface RetryPolicyCfg {
    maxAttempts: number;
}

/** A wish to hedge. Times are in milliseconds. */
export interface HedgeWish {
    requestKind: string;
    idempotent: boolean;
    /** Attempts started so far. */
    attempts: number;
    now: number;
    deadlineAt: number;
}

/** The retry policy of one pool. Times are in milliseconds. */
export interface RetryPolicy {
    /** Called once for each new request, and not for its further attempts; it earns retry budget. */
    onRequest(now: number): void;
    /** Called for a success, and for a failure only when no other attempt of the request, such as its hedge, is in flight. */
    onAttemptEnd(end: AttemptEnd): NextStep;
    /** Learns how long a whole answer took, from the grant of the slot. */
    onAttemptTime(requestKind: string, durationMs: number): void;
    /** How long to wait for an idempotent attempt before a hedge; `undefined` when none should be sent. */
    hedgeAfterMs(requestKind: string): number | undefined;
    /** Whether a hedge may be sent now; when true, its tokens are spent. The loser is to be cancelled. */
    takeHedge(wish: HedgeWish): boolean;
}

enum Safety {
    /** No backend server ran the request in this attempt. */
    NotRun = "not-run",
    /** A backend server may have run it. */
    MayHaveRun = "may-have-run",
}

const safetyOf: Record<AttemptClass, Safety> = {
    [AttemptClass.Success]: Safety.MayHaveRun,
    [AttemptClass.ServerError]: Safety.MayHaveRun,
    [AttemptClass.Shed]: Safety.NotRun,
    [AttemptClass.NotSent]: Safety.NotRun,
    [AttemptClass.Cut]: Safety.MayHaveRun,
    [AttemptClass.Corrupt]: Safety.MayHaveRun,
    [AttemptClass.Timeout]: Safety.MayHaveRun,
    [AttemptClass.Cancelled]: Safety.MayHaveRun,
};

/** Tokens of a retry. What was not run cost the backend servers next to nothing, so it may be tried again more freely. */
const retryTokens: Record<Safety, number> = {
    [Safety.NotRun]: 0.2,
    [Safety.MayHaveRun]: 1,
};

const hedgeTokens = 1;
const hedgeQuantile = 0.95;

/** A retry is started only if this share of recent attempts would end before the deadline. */
const retryQuantile = 0.5;

/** Creates the retry policy of one pool, with a full budget. */
export const createRetryPolicy = (cfg: RetryPolicyCfg): RetryPolicy => {
    const budget = createRetryBudget();
    const times = createAttemptTimes();

    const hasTime = (requestKind: string | undefined, leftMs: number): boolean => {
        const usualMs = requestKind === undefined ? undefined : times.quantile(requestKind, retryQuantile);
        return leftMs > (usualMs ?? 0);
    };

    const mayRetry = (end: AttemptEnd, ranNowhere: boolean): boolean => {
        const isSafe = end.idempotent || ranNowhere;
        const isWanted = end.attemptClass !== AttemptClass.Cancelled && end.attempts < cfg.maxAttempts;
        return isSafe && isWanted && hasTime(end.requestKind, end.deadlineAt - end.now);
    };

    const onAttemptEnd = (end: AttemptEnd): NextStep => {
        if (end.attemptClass === AttemptClass.Success) {
            return { kind: NextStepKind.Deliver };
        }
        const safety = safetyOf[end.attemptClass];
        const ranNowhere = safety === Safety.NotRun && !end.mayHaveRun;
        // The budget comes last: a retry that isn't made costs nothing.
        if (mayRetry(end, ranNowhere) && budget.spend(retryTokens[safety], end.now)) {
            return { kind: NextStepKind.Retry };
        }
        if (end.attemptClass === AttemptClass.ServerError) {
            return { kind: NextStepKind.Deliver };
        }
        return { kind: NextStepKind.GiveUp, outcome: ranNowhere ? Outcome.NotRun : Outcome.Unknown };
    };

    const hedgeAfterMs = (requestKind: string): number | undefined =>
        budget.has(hedgeTokens) ? times.quantile(requestKind, hedgeQuantile) : undefined;

    const takeHedge = (wish: HedgeWish): boolean => {
        const isAllowed = wish.idempotent && wish.attempts < cfg.maxAttempts;
        return isAllowed && hasTime(wish.requestKind, wish.deadlineAt - wish.now) && budget.spend(hedgeTokens, wish.now);
    };

    return {
        onRequest: now => budget.earn(now),
        onAttemptEnd,
        onAttemptTime: (requestKind, durationMs) => times.add(requestKind, durationMs),
        hedgeAfterMs,
        takeHedge,
    };
};
