/** The retries and hedges of one request: takes them out of the host's budget and counts them by reason. */
import { createRetryGrants } from "@cassiapick/core";
import type { AttemptOutcome, HostRetryBudget, RetryGrants } from "@cassiapick/core";
import type { GatewayMetrics } from "./gateway-metrics.js";

/** Why a request is sent again: how its last attempt ended, or that an attempt takes long. */
export type RetryReason = AttemptOutcome | "hedge";

/** Options of {@link createRequestRetries}. */
export interface RequestRetriesOptions {
    retryBudget: HostRetryBudget;
    service: string;
    clock: () => number;
    metrics: Pick<GatewayMetrics, "increment">;
}

/** The retries of one request. */
export interface RequestRetries extends Omit<RetryGrants, "attemptStarted"> {
    /** Records the start of an attempt; `reason` is `undefined` for the first one. */
    attemptStarted: (reason: RetryReason | undefined) => void;
    /** Whether the budget had nothing left for the last retry that was asked for. */
    isDenied: () => boolean;
}

/** Creates the retries of a request without attempts. */
export const createRequestRetries = ({ retryBudget, service, clock, metrics }: RequestRetriesOptions): RequestRetries => {
    const grants = createRetryGrants(retryBudget, service, clock);
    let isDenied = false;

    return {
        tryTakeRetry: () => {
            isDenied = !grants.tryTakeRetry();
            if (isDenied) {
                metrics.increment("cassiapick_retries_denied_total", { service });
            }
            return !isDenied;
        },
        tryTakeHedge: grants.tryTakeHedge,
        attemptStarted: reason => {
            grants.attemptStarted();
            if (reason !== undefined) {
                metrics.increment("cassiapick_retries_total", { service, reason });
            }
        },
        close: grants.close,
        isDenied: () => isDenied,
    };
};
