/** Faults that a backend stand-in shows. */

export enum FaultMode {
    None = "none",
    /** Takes requests and never answers. */
    Hang = "hang",
    /** Takes `factor` times as long. */
    Slow = "slow",
    /** Answers 500 although it ran nothing wrong. */
    ServerError = "server-error",
    /** Ends the connection in the middle of the body. */
    CutBody = "cut-body",
    /** Announces a longer body than it sends, then ends the connection. */
    WrongLength = "wrong-length",
    /** Names another request in its answer. */
    WrongIdentity = "wrong-identity",
    /** Sends a second answer after the first on the same connection. */
    Surplus = "surplus",
    /** Refuses and says that it did not run the request. */
    Shed = "shed",
}

/** A fault and how often it shows. */
export interface Fault {
    mode: FaultMode;
    /** The share of requests that meet it, from 0 to 1. */
    share: number;
    /** How many times as long a slow request takes. */
    factor: number;
}

/** A backend server that is well. */
export const noFault: Fault = { mode: FaultMode.None, share: 0, factor: 1 };
