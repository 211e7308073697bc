/** Decides about retries when an attempt has ended, and about hedges while one is in flight. */
import { AttemptClass, Outcome } from "./outcome.js";
import { createAttemptDurations } from "./retries/attempt-durations.js";
import { createRetryBudget } from "./retries/retry-budget.js";

/** The state of a request when an attempt of it has ended. Times are in milliseconds. */
export interface AttemptEnd {
    attemptClass: AttemptClass;
    idempotent: boolean;
    /** Attempts made so far, this one included. */
    attempts: number;
    /** Whether a backend server may have run the request so far; an attempt that was shed or not sent does not count. */
    mayHaveRun: boolean;
    now: number;
    deadlineAt: number;
    /** The kind of request; if set, no retry is started that is unlikely to end before the deadline. */
    requestKind?: string;
}

export enum NextStepKind {
    /** Forward the backend server's complete answer. */
    Deliver = "deliver",
    /** Try another member. */
    Retry = "retry",
    /** Give up and report the known outcome at once. */
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

/** The parameters of a hedge. Times are in milliseconds. */
export interface HedgeRequest {
    requestKind: string;
    idempotent: boolean;
    /** Attempts started so far. */
    attempts: number;
    now: number;
    deadlineAt: number;
}

/** The retry policy of one pool. Times are in milliseconds. */
export interface RetryPolicy {
    /** Called once for each new request, and not for its further attempts; it adds to the retry budget. */
    onRequest(now: number): void;
    /** Called for a success, and for a failure only when no other attempt of the request, such as its hedge, is in flight. */
    onAttemptEnd(end: AttemptEnd): NextStep;
    /** Records how long a complete answer took, counted from the grant of the slot. */
    onAttemptTime(requestKind: string, durationMs: number): void;
    /** The delay after the start of an idempotent attempt before a hedge; `undefined` when none should be sent. */
    hedgeAfterMs(requestKind: string): number | undefined;
    /** Returns whether a hedge may be sent now; if so, its tokens are spent. Once one attempt succeeds, the other is to be cancelled. */
    takeHedge(request: HedgeRequest): boolean;
}

/** Whether an attempt was executed. */
enum Execution {
    /** No backend server executed the request in this attempt. */
    NotRun = "not-run",
    /** A backend server may have executed it. */
    MayHaveRun = "may-have-run",
}

const executionByClass: Record<AttemptClass, Execution> = {
    [AttemptClass.Success]: Execution.MayHaveRun,
    [AttemptClass.ServerError]: Execution.MayHaveRun,
    [AttemptClass.Shed]: Execution.NotRun,
    [AttemptClass.NotSent]: Execution.NotRun,
    [AttemptClass.Cut]: Execution.MayHaveRun,
    [AttemptClass.Corrupt]: Execution.MayHaveRun,
    [AttemptClass.Timeout]: Execution.MayHaveRun,
    [AttemptClass.Cancelled]: Execution.MayHaveRun,
};

/** Budget tokens of a retry. An attempt that was not executed cost the backend servers almost nothing, so its retry costs less. */
const retryCost: Record<Execution, number> = {
    [Execution.NotRun]: 0.2,
    [Execution.MayHaveRun]: 1,
};

const hedgeCost = 1;
const hedgeQuantile = 0.95;

/** A retry or hedge is started only if this share of recent attempts would end before the deadline. */
const retryQuantile = 0.5;

/** Creates the retry policy of one pool, with a full budget. */
export const createRetryPolicy = (cfg: RetryPolicyCfg): RetryPolicy => {
    const budget = createRetryBudget();
    const durations = createAttemptDurations();

    const hasTime = (requestKind: string | undefined, remainingMs: number): boolean => {
        const typicalMs = requestKind === undefined ? undefined : durations.quantile(requestKind, retryQuantile);
        return remainingMs > (typicalMs ?? 0);
    };

    const mayRetry = (end: AttemptEnd, isNotRun: boolean): boolean => {
        const isSafe = end.idempotent || isNotRun;
        const isRetriable = end.attemptClass !== AttemptClass.Cancelled && end.attempts < cfg.maxAttempts;
        return isSafe && isRetriable && hasTime(end.requestKind, end.deadlineAt - end.now);
    };

    const onAttemptEnd = (end: AttemptEnd): NextStep => {
        if (end.attemptClass === AttemptClass.Success) {
            return { kind: NextStepKind.Deliver };
        }
        const execution = executionByClass[end.attemptClass];
        const isNotRun = execution === Execution.NotRun && !end.mayHaveRun;
        // The budget is checked last, so that only an actual retry spends tokens.
        if (mayRetry(end, isNotRun) && budget.tryWithdraw(retryCost[execution], end.now)) {
            return { kind: NextStepKind.Retry };
        }
        if (end.attemptClass === AttemptClass.ServerError) {
            return { kind: NextStepKind.Deliver };
        }
        return { kind: NextStepKind.GiveUp, outcome: isNotRun ? Outcome.NotRun : Outcome.Unknown };
    };

    const hedgeAfterMs = (requestKind: string): number | undefined =>
        budget.hasTokens(hedgeCost) ? durations.quantile(requestKind, hedgeQuantile) : undefined;

    const takeHedge = (request: HedgeRequest): boolean => {
        const isAllowed = request.idempotent && request.attempts < cfg.maxAttempts;
        return isAllowed && hasTime(request.requestKind, request.deadlineAt - request.now)
            && budget.tryWithdraw(hedgeCost, request.now);
    };

    return {
        onRequest: now => budget.deposit(now),
        onAttemptEnd,
        onAttemptTime: (requestKind, durationMs) => durations.add(requestKind, durationMs),
        hedgeAfterMs,
        takeHedge,
    };
};
