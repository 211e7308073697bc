/** What became of a request, and of each attempt to run it. */

/** What the fleet knows about a request when it answers the caller. */
export enum Outcome {
    /** No backend server ran it: no byte was handed to a socket, or each backend server refused it itself. */
    NotRun = "not-run",
    /** A backend server may or may not have run it. */
    Unknown = "unknown",
    /** A backend server ran it and its whole answer is passed on. */
    Completed = "completed",
}

/** How one attempt at one backend server ended. */
export enum AttemptClass {
    /** A whole answer that is not a server error. */
    Success = "success",
    /** A whole answer with a 5xx status that does not say that the request was not run. */
    ServerError = "server-error",
    /** The backend server said that it did not run the request (503 with its own not-run mark, or 429). */
    Shed = "shed",
    /** No byte of the request was handed to a socket, for example a refused connection. */
    NotSent = "not-sent",
    /** The connection ended before a whole answer arrived. */
    Cut = "cut",
    /** The answer contradicts its framing or names another request. */
    Corrupt = "corrupt",
    /** No whole answer within the time allowed. */
    Timeout = "timeout",
    /** The fleet cancelled it: a hedge lost, or the caller went away. It says nothing about the backend server. */
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
}

/** The answer of the fleet itself, when no backend server's answer is passed on. */
export interface Refusal {
    kind: RefusalKind;
    outcome: Outcome.NotRun | Outcome.Unknown;
    /** When the caller should ask again, in milliseconds; `undefined` when asking again does not help. */
    retryAfterMs?: number;
    /** What happened and what to do about it. */
    message: string;
}
