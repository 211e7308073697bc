/** What an entry host says about itself: the JSON that it answers at `GET /status` of its admin address. */
import type { AttemptClass, RefusalKind } from "./outcome.js";
import type { Version } from "./tables.js";

/** What picking does with a member of a pool, and why. */
export enum MemberState {
    Healthy = "healthy",
    /** Has just started and is given work slowly. */
    Cold = "cold",
    /** Evidence gathers against it, but it is still picked like the others. */
    Suspected = "suspected",
    /** Seems ill, but the floor of its pool keeps it; picked last. */
    KeptByFloor = "kept-by-floor",
    Ejected = "ejected",
    /** Finishes its work and gets no new work. */
    Leaving = "leaving",
}

/** One backend server in one pool. */
export interface MemberStatus {
    serverId: string;
    /** Where it listens, as "host:port". */
    address: string;
    availabilityZone: string;
    state: MemberState;
    /** How many requests it runs at a time. */
    slots: number;
    /** Requests that this host has sent it and that have not ended. */
    inFlight: number;
    /** Strength of the evidence against it; 0 when there is none. */
    evidence: number;
    /** Why it is in its state, in one sentence; empty when it is healthy. */
    reason: string;
}

/** One pool as this host sees it. */
export interface PoolStatus {
    destination: string;
    service: string;
    /** Slots that ejection leaves in the pool. */
    floorSlots: number;
    /** Requests that wait for a slot on this host. */
    queued: number;
    /** The host that owns the pool in this host's region; `undefined` when none is known. */
    ownerHostId?: string;
    members: MemberStatus[];
}

/** Another entry host, as this one knows it. */
export interface PeerStatus {
    hostId: string;
    /** Whether it has been heard of within its lease. */
    alive: boolean;
    /** Its admin address as "host:port", or an empty text when it is not known. */
    adminAddress: string;
    /** The tables that it said were in force. */
    version: Version;
}

/** A fault that spent error budget: how an attempt ended, why a request was refused, or a slow answer. */
export type BurnFaultKind = AttemptClass | RefusalKind | "slow";

/** How many requests of a bucket one fault spoiled. */
export interface BurnFault {
    /** The backend server whose attempt decided the request; `undefined` when none was reached. */
    serverId?: string;
    fault: BurnFaultKind;
    count: number;
}

/** How a request ended, as its caller saw it. Each request counts as exactly one. */
export enum BurnOutcome {
    /** A whole answer that is not a server error, slow or not. */
    Completed = "completed",
    /** A whole answer with a 5xx status. */
    ServerError = "server-error",
    NotRun = "not-run",
    Unknown = "unknown",
}

/** The requests of one stretch of time. */
export interface BurnBucket {
    /** Start of the bucket in milliseconds since 1970, a multiple of the width. */
    startMs: number;
    counts: Record<BurnOutcome, number>;
    /** Those of the completed requests that took longer than `slowAfterMs`. */
    slow: number;
    /** Every fault of a request that was not completed or was slow. */
    faults: BurnFault[];
}

/** The requests of one brand for one destination. */
export interface BurnSeries {
    brand: string;
    destination: string;
    /** An answer that takes longer counts as slow, in milliseconds. */
    slowAfterMs: number;
    /** Buckets that hold a request, oldest first; empty ones are left out. */
    buckets: BurnBucket[];
}

/**
 * What a host counted since it started. Only the host that took a request from its caller counts it, so counts of all
 * hosts add up. Counters do not outlive the process: compare `startedAt` with the window that is asked for.
 */
export interface BurnStatus {
    /** Width of every bucket, in milliseconds. */
    bucketMs: number;
    /** Oldest time that is still kept, in milliseconds since 1970; never before the process started. */
    keptSince: number;
    series: BurnSeries[];
}

/** Width of a burn bucket, in milliseconds. */
export const burnBucketMs = 60_000;
/** How long burn buckets are kept, in milliseconds: the longest window of the report and one bucket more. */
export const burnKeptMs = 6 * 60 * 60_000 + burnBucketMs;

/** What an entry host says about itself. */
export interface EntryStatus {
    hostId: string;
    region: string;
    availabilityZone: string;
    /** Where callers reach it, as "host:port". */
    callerAddress: string;
    /** The tables in force. */
    version: Version;
    /** Whether it has been asked to stop and finishes its work. */
    draining: boolean;
    /** When the process started, in milliseconds since 1970. */
    startedAt: number;
    /** Grows with each start of the process. */
    incarnation: number;
    /** The host's clock when it answered, in milliseconds since 1970. */
    now: number;
    pools: PoolStatus[];
    peers: PeerStatus[];
    burn: BurnStatus;
}
