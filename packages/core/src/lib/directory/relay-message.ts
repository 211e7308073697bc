/** Messages that relay announcements from the host that received them to the hosts that hold the backend server's lease. */
import type { Announcement } from "../backend-server.js";

/** A reading of another process's clock, and the time since its arrival. Both are in milliseconds. */
export interface ClockEcho {
    /** The incarnation of the process that owns the clock; a restart resets the clock. */
    incarnation: number;
    /** The clock's value when its process sent it. */
    clock: number;
    /** The time from the arrival of the reading to that of the announcement; negative when the announcement arrived first. */
    elapsedMs: number;
}

export enum RelayMessageKind {
    Relay = "relay",
    RelayAck = "relay-ack",
}

export type RelayMessage =
    /** An announcement, with an echo of the receiver's own clock as proof of its age. Without an echo it grants no lease. */
    | { kind: RelayMessageKind.Relay; announcement: Announcement; echo?: ClockEcho; }
    /** Sends the relaying host the receiver's clock. `again` asks for the announcement again, with an echo. */
    | { kind: RelayMessageKind.RelayAck; serverId: string; incarnation: number; clock: number; again: boolean; };
