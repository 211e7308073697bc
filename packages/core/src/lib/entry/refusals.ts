/** Builds the refusals that an entry host sends when no backend server's answer is delivered. */
import { Outcome, RefusalKind } from "../outcome.js";
import type { Refusal } from "../outcome.js";
import { isKeyed } from "./request-registry.js";
import type { OpenRequest } from "./request-registry.js";

const defaultRetryAfterMs = 250;
const unknownOutcomeRetryAfterMs = 1000;

const notRunRefusal = (kind: RefusalKind, message: string, retryAfterMs?: number): Refusal => ({
    kind,
    outcome: Outcome.NotRun,
    retryAfterMs,
    message,
});

/** Returns the refusal for a service without a known or reachable backend server. */
export const noServers = (service: string): Refusal =>
    notRunRefusal(
        RefusalKind.NoServers,
        `No backend server of the service '${service}' is reachable. Retry, or start one.`,
        defaultRetryAfterMs,
    );

/** Returns the refusal for a request that the tables do not route. */
export const noRoute = (kind: RefusalKind, message: string): Refusal =>
    notRunRefusal(kind, message, kind === RefusalKind.NoTables ? defaultRetryAfterMs : undefined);

/** Returns the refusal for a request that the scheduler grants no slot. */
export const notScheduled = (service: string, kind: RefusalKind, retryAfterMs: number): Refusal =>
    kind === RefusalKind.NoServers
        ? notRunRefusal(kind, `No backend server of the service '${service}' accepts requests. Retry later.`, retryAfterMs)
        : notRunRefusal(
            kind,
            `Every backend server of the service '${service}' is busy. Retry after the given time.`,
            retryAfterMs,
        );

/** Returns the refusal for a request under which several backend servers have ended, or for one that waits for such a proof. */
export const quarantined = (retryAfterMs: number): Refusal =>
    notRunRefusal(
        RefusalKind.Quarantined,
        "Backend servers have ended while they ran this request. Change the request, or retry after the given time.",
        Math.max(defaultRetryAfterMs, retryAfterMs),
    );

/** The refusal when every backend server that was tried refused the request without running it. */
export const allServersRefused: Refusal = notRunRefusal(
    RefusalKind.NoCapacity,
    "Every backend server that was tried refused the request without running it. Retry later.",
    defaultRetryAfterMs,
);

/**
 * The refusal when the caller closed its connection before an attempt was started. It has no kind of its own; as after a passed
 * deadline, the caller does not wait for the answer any more.
 */
export const callerClosedConnection: Refusal = notRunRefusal(RefusalKind.DeadlinePassed, "The caller closed its connection.");

/**
 * Returns the refusal, or one with an unknown outcome if a backend server may have run the request.
 *
 * A keyed request without a claim counts as possibly run: an earlier request with the same key may have run through
 * another host.
 */
export const correctOutcome = (request: OpenRequest, refusal: Refusal): Refusal =>
    request.mayHaveRun || (isKeyed(request) && !request.holdsClaim)
        ? {
            kind: RefusalKind.AttemptFailed,
            outcome: Outcome.Unknown,
            retryAfterMs: unknownOutcomeRetryAfterMs,
            message: request.idempotent
                ? "No backend server returned a complete answer in time. Retry the request."
                : "A backend server may have run the request. Retry only with the same Idempotency-Key.",
        }
        : refusal;
