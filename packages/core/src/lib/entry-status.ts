/** Defines the status of an entry host, which it returns as JSON for `GET /status` at its admin address. */
import type { AttemptClass, RefusalKind } from "./outcome.js";
import type { Version } from "./tables.js";

/** State of a pool member, which determines how it is picked. */
export enum MemberState {
    Healthy = "healthy",
    /** Has just started; its load is increased gradually (slow start). */
    Cold = "cold",
    /** There is evidence against it, but not enough to eject it; picked last and with fewer slots. */
    Suspected = "suspected",
    /** Seems unhealthy, but the floor of its pool prevents its ejection; picked last. */
    KeptByFloor = "kept-by-floor",
    Ejected = "ejected",
    /** Finishes its requests in flight and gets no new ones. */
    Leaving = "leaving",
}

/** One backend server in one pool. */
export interface MemberStatus {
    serverId: string;
    /** The address that it listens on, as "host:port". */
    address: string;
    availabilityZone: string;
    state: MemberState;
    /** Maximum number of requests that it runs concurrently. */
    slots: number;
    /** Number of requests from this host that have not ended. */
    inFlight: number;
    /** Evidence against it as a multiple of the detection threshold; 0 when there is none. */
    evidence: number;
    /** Reason for its state, in one sentence; empty when it is healthy. */
    reason: string;
}

/** One pool as known to this host. */
export interface PoolStatus {
    destination: string;
    service: string;
    /** Number of slots that ejection must leave in the pool. */
    floorSlots: number;
    /** Number of requests that wait for a slot on this host. */
    queued: number;
    /** The host that owns the pool in this host's region; `undefined` when none is known. */
    ownerHostId?: string;
    members: MemberStatus[];
}

/** Another entry host as known to this one. */
export interface PeerStatus {
    hostId: string;
    /** Whether the membership protocol lists it as alive or suspected, so neither as leaving nor as dead. */
    alive: boolean;
    /** Its admin address as "host:port", or empty when it is unknown. */
    adminAddress: string;
    /** The version of the tables that it reported as in force. */
    version: Version;
}

/** A fault that consumed error budget: how an attempt ended, why a request was refused, or a slow answer. */
export type BurnFaultKind = AttemptClass | RefusalKind | "slow";

/** The number of requests in a bucket that one fault affected. */
export interface BurnFault {
    /** The backend server whose attempt determined the outcome; `undefined` when none was reached. */
    serverId?: string;
    fault: BurnFaultKind;
    count: number;
}

/** How a request ended for its caller. Each request counts under exactly one outcome. */
export enum BurnOutcome {
    /** A complete answer that is not a server error, slow or not. Unlike `Outcome.Completed` it excludes 5xx answers. */
    Completed = "completed",
    /** A complete answer with a 5xx status. */
    ServerError = "server-error",
    NotRun = "not-run",
    Unknown = "unknown",
}

/** The requests of one time interval. */
export interface BurnBucket {
    /** Start of the bucket in milliseconds since 1970, a multiple of the bucket width. */
    startMs: number;
    counts: Record<BurnOutcome, number>;
    /** Number of completed requests that took longer than `slowAfterMs`. */
    slow: number;
    /** Every fault of a request that was not completed or was slow. */
    faults: BurnFault[];
}

/** The requests of one brand for one destination. */
export interface BurnSeries {
    brand: string;
    destination: string;
    /** Duration above which an answer counts as slow, in milliseconds. */
    slowAfterMs: number;
    /** Buckets with at least one request, oldest first. */
    buckets: BurnBucket[];
}

/**
 * Request counts of a host since its start. Only the host that received a request from its caller counts it, so the
 * counts of all hosts can be added. The counts are lost at a restart: compare `startedAt` with the requested window.
 */
export interface BurnStatus {
    /** Width of each bucket, in milliseconds. */
    bucketMs: number;
    /** Start of the retained time, in milliseconds since 1970; not before the start of the process. */
    keptSince: number;
    series: BurnSeries[];
}

/** Width of a burn bucket, in milliseconds. */
export const burnBucketMs = 60_000;
/** Retention of burn buckets, in milliseconds: the longest window of the service-level burn report plus one bucket. */
export const burnRetentionMs = 6 * 60 * 60_000 + burnBucketMs;

/** The status of an entry host. */
export interface EntryStatus {
    hostId: string;
    region: string;
    availabilityZone: string;
    /** Its address for callers, as "host:port". */
    callerAddress: string;
    /** The version of the tables in force. */
    version: Version;
    /** Whether it is shutting down and finishes its open requests. */
    draining: boolean;
    /** When the process started, in milliseconds since 1970. */
    startedAt: number;
    /** Increases with each start of the process. */
    incarnation: number;
    /** The host's clock when it created this status, in milliseconds since 1970. */
    now: number;
    pools: PoolStatus[];
    peers: PeerStatus[];
    burn: BurnStatus;
}
