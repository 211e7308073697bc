/** How announcements travel from the host that heard them to the hosts that serve the backend server. */
import type { Announcement } from "../backend-server.js";

/** A time that one process read off another's clock, and how long ago. Both in milliseconds. */
export interface ClockEcho {
    /** The incarnation of the process whose clock it is; a restart starts the clock anew. */
    incarnation: number;
    /** What that clock showed when the process sent it. */
    clock: number;
    /** The time that had passed since it arrived here when the announcement was heard; negative when it was heard before. */
    elapsedMs: number;
}

export enum RelayMessageKind {
    Relay = "relay",
    RelayAck = "relay-ack",
}

export type RelayMessage =
    /** An announcement, with the receiver's own clock as proof of its age. Without an echo it grants no lease. */
    | { kind: RelayMessageKind.Relay; announcement: Announcement; echo?: ClockEcho; }
    /** Tells the relaying host the receiver's clock. `again` asks for the announcement with an echo. */
    | { kind: RelayMessageKind.RelayAck; serverId: string; incarnation: number; clock: number; again: boolean; };
