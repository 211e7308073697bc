/** Defines the outcome of a request and of each attempt to run it. */

/** What the fleet knows about the execution of a request when it answers the caller. */
export enum Outcome {
    /** No backend server ran it: no byte was written to a socket, or every backend server that was tried refused it. */
    NotRun = "not-run",
    /** A backend server may or may not have run it. */
    Unknown = "unknown",
    /** A backend server ran it, and its complete answer is delivered. */
    Completed = "completed",
}

/** How one attempt at one backend server ended. */
export enum AttemptClass {
    /** A complete answer that is not a server error. */
    Success = "success",
    /** A complete answer with a 5xx status that does not state that the request was not run. */
    ServerError = "server-error",
    /** The backend server stated that it did not run the request (a status of 400 or higher with its not-run mark). */
    Shed = "shed",
    /** No byte of the request was written to a socket, for example because the connection was refused. */
    NotSent = "not-sent",
    /** The connection closed before the answer was complete. */
    Cut = "cut",
    /** The answer contradicts its framing or carries the id of another request. */
    Corrupt = "corrupt",
    /** The answer was not complete before the timeout. */
    Timeout = "timeout",
    /** The fleet cancelled it: a hedge lost, or the caller disconnected. It is no evidence about the backend server. */
    Cancelled = "cancelled",
}

/** Why a request was not run or its outcome is unknown. */
export enum RefusalKind {
    UnknownBrand = "unknown-brand",
    UnknownKind = "unknown-kind",
    NoTables = "no-tables",
    NoCapacity = "no-capacity",
    NoServers = "no-servers",
    DeadlinePassed = "deadline-passed",
    Draining = "draining",
    ClaimUnavailable = "claim-unavailable",
    AlreadyStarted = "already-started",
    KeyMismatch = "key-mismatch",
    BadRequest = "bad-request",
    AttemptFailed = "attempt-failed",
    /** Backend servers have ended under the same request before. */
    Quarantined = "quarantined",
}

/** An answer of the fleet itself, sent when no backend server's answer is delivered. */
export interface Refusal {
    kind: RefusalKind;
    outcome: Outcome.NotRun | Outcome.Unknown;
    /** Delay before the caller should retry, in milliseconds; `undefined` when a retry does not help. */
    retryAfterMs?: number;
    /** The cause and the remedy. */
    message: string;
}
