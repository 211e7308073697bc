/** Messages of the membership protocol between entry hosts. */
import type { HostRecord } from "./host-record.js";

export enum MembershipMessageKind {
    Ping = "ping",
    Ack = "ack",
    /** Asks another host to ping the target, since only the direct path may have failed. */
    PingRequest = "ping-request",
    /** Offers digests of the sender's records; the receiver replies with its records in the buckets that differ. */
    SyncOffer = "sync-offer",
    Sync = "sync",
}

export type MembershipMessage =
    | { kind: MembershipMessageKind.Ping; sequence: number; updates: HostRecord[]; }
    | { kind: MembershipMessageKind.Ack; sequence: number; updates: HostRecord[]; }
    | { kind: MembershipMessageKind.PingRequest; sequence: number; targetId: string; updates: HostRecord[]; }
    | { kind: MembershipMessageKind.SyncOffer; digests: number[]; }
    | { kind: MembershipMessageKind.Sync; records: HostRecord[]; };
