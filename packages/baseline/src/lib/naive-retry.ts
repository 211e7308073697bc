/** A retry policy that retries after any failure, and treats any server error, such as a 503, as "not run". */
import { AttemptClass, NextStepKind, Outcome } from "@cassiapick/core";
import type { AttemptEnd, NextStep, RetryPolicy } from "@cassiapick/core";

/** Options of {@link createNaiveRetryPolicy}. */
export interface NaiveRetryPolicyCfg {
    maxAttempts: number;
}

const hedgeDelayMs = 50;

/** Creates a policy that retries after any failure, and reports "not run" when the last attempt ended with a server error. */
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
        takeHedge: hedgeRequest => hedgeRequest.attempts < cfg.maxAttempts,
    };
};
