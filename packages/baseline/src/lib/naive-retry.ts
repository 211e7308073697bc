/** Retries everything, and takes any 503 for "not run". */
import { AttemptClass, NextStepKind, Outcome } from "@cassiapick/core";
import type { AttemptEnd, NextStep, RetryPolicy } from "@cassiapick/core";

/** Options of {@link createNaiveRetryPolicy}. */
export interface NaiveRetryPolicyCfg {
    maxAttempts: number;
}

const hedgeDelayMs = 50;

/** Tries again after each failure, whatever it was, and says "not run" after a server error. */
export const createNaiveRetryPolicy = (cfg: NaiveRetryPolicyCfg): RetryPolicy => {
    const onAttemptEnd = (end: AttemptEnd): NextStep => {
        if (end.attemptClass === AttemptClass.Success) {
            return { kind: NextStepKind.Deliver };
        }
        if (end.attempts < cfg.maxAttempts) {
            return { kind: NextStepKind.Retry };
        }
        const isRefusal = end.attemptClass === AttemptClass.ServerError || end.attemptClass === AttemptClass.Shed;
        return { kind: NextStepKind.GiveUp, outcome: isRefusal ? Outcome.NotRun : Outcome.Unknown };
    };

    return {
        onRequest: () => undefined,
        onAttemptEnd,
        onAttemptTime: () => undefined,
        hedgeAfterMs: () => hedgeDelayMs,
        takeHedge: wish => wish.attempts < cfg.maxAttempts,
    };
};
