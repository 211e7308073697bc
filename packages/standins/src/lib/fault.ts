/** Faults that a backend stand-in can inject. */

/** What a backend stand-in does with the requests that a fault affects. */
export enum FaultMode {
    None = "none",
    /** Accepts requests and never answers. */
    Hang = "hang",
    /** Takes `factor` times as long for a request. */
    Slow = "slow",
    /** Answers with status 500 after it ran the request. */
    ServerError = "server-error",
    /** Closes the connection in the middle of the body. */
    CutBody = "cut-body",
    /** Sends a Content-Length larger than the body, then closes the connection. */
    WrongLength = "wrong-length",
    /** Echoes the id of another request in its answer. */
    WrongIdentity = "wrong-identity",
    /** Sends a second answer after the first on the same connection. */
    Surplus = "surplus",
    /** Refuses the request and reports that it did not run it. */
    Shed = "shed",
}

/** A fault and the share of requests that it affects. */
export interface Fault {
    mode: FaultMode;
    /** Share of the requests that it affects, from 0 to 1. */
    share: number;
    /** Factor by which the service time of a slow request is longer. */
    factor: number;
}

/** The state of a healthy backend server. */
export const noFault: Fault = { mode: FaultMode.None, share: 0, factor: 1 };
