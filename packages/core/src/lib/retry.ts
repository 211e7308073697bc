/** Decides what follows when an attempt has ended. */
import { AttemptClass, Outcome } from "./outcome.js";

/** What is known about a request when an attempt of it has ended. */
export interface AttemptEnd {
    attemptClass: AttemptClass;
    idempotent: boolean;
    /** Attempts made so far, this one included. */
    attempts: number;
    /** Whether any attempt so far may have reached a backend server. */
    mayHaveRun: boolean;
    now: number;
    deadlineAt: number;
}

export enum NextStepKind {
    /** Pass the backend server's whole answer on. */
    Deliver = "deliver",
    /** Try another member. */
    Retry = "retry",
    /** Give up and say what is known. */
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

/** The retry policy of one pool. */
export interface RetryPolicy {
    /** Called for each new request; it earns retry budget. */
    onRequest(now: number): void;
    onAttemptEnd(end: AttemptEnd): NextStep;
}

const safeClasses = new Set([AttemptClass.Shed, AttemptClass.NotSent]);

/** Creates the retry policy of one pool. */
export const createRetryPolicy = (cfg: RetryPolicyCfg): RetryPolicy => {
    const onAttemptEnd = (end: AttemptEnd): NextStep => {
        if (end.attemptClass === AttemptClass.Success) {
            return { kind: NextStepKind.Deliver };
        }
        const ranNowhere = safeClasses.has(end.attemptClass) && !end.mayHaveRun;
        const timeIsLeft = end.now < end.deadlineAt;
        if (timeIsLeft && end.attempts < cfg.maxAttempts && (end.idempotent || ranNowhere)) {
            return { kind: NextStepKind.Retry };
        }
        if (end.attemptClass === AttemptClass.ServerError) {
            return { kind: NextStepKind.Deliver };
        }
        return { kind: NextStepKind.GiveUp, outcome: ranNowhere ? Outcome.NotRun : Outcome.Unknown };
    };

    return { onRequest: () => undefined, onAttemptEnd };
};
