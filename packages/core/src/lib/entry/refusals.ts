/** The answers that an entry host gives by itself. */
import { Outcome, RefusalKind } from "../outcome.js";
import type { Refusal } from "../outcome.js";
import { isKeyed } from "./request-book.js";
import type { OpenRequest } from "./request-book.js";

const retryAfterMs = 250;
const mayHaveRunRetryAfterMs = 1000;

const notRun = (kind: RefusalKind, message: string, after?: number): Refusal => ({
    kind,
    outcome: Outcome.NotRun,
    retryAfterMs: after,
    message,
});

/** No backend server is known or can be reached. */
export const noServers = (service: string): Refusal =>
    notRun(
        RefusalKind.NoServers,
        `No backend server of the service '${service}' can be reached. Ask again, or start one.`,
        retryAfterMs,
    );

/** The tables lead nowhere. */
export const noRoute = (kind: RefusalKind, message: string): Refusal =>
    notRun(kind, message, kind === RefusalKind.NoTables ? retryAfterMs : undefined);

/** The scheduler has no slot for the request. */
export const notScheduled = (service: string, kind: RefusalKind, after: number): Refusal =>
    kind === RefusalKind.NoServers
        ? notRun(kind, `No backend server of the service '${service}' can take work. Ask again.`, after)
        : notRun(kind, `Every backend server of the service '${service}' is busy. Ask again after the time given.`, after);

/** Each backend server that was asked said that it did not run the request. */
export const refusedByAll: Refusal = notRun(
    RefusalKind.NoCapacity,
    "Each backend server that was asked refused the request and did not run it. Ask again.",
    retryAfterMs,
);

/** The caller closed its connection before an attempt was made. */
export const callerWentAway: Refusal = notRun(RefusalKind.DeadlinePassed, "The caller went away.");

/**
 * Makes a refusal truthful: once an attempt may have reached a backend server, "not run" can't be said.
 *
 * Nor can it of a keyed request without a claim: an earlier sending of the key may have run at another host.
 */
export const truthful = (request: OpenRequest, refusal: Refusal): Refusal =>
    request.mayHaveRun || (isKeyed(request) && !request.claimed)
        ? {
            kind: RefusalKind.AttemptFailed,
            outcome: Outcome.Unknown,
            retryAfterMs: mayHaveRunRetryAfterMs,
            message: request.idempotent
                ? "No backend server gave a whole answer in time. Ask again."
                : "A backend server may have run the request. Ask again only with the same Idempotency-Key.",
        }
        : refusal;
