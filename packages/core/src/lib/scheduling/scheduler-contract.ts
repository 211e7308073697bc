/** The events, actions and options of the scheduler. */
import type { RefusalKind } from "../outcome.js";
import type { SlotShare } from "./slot-share.js";

/** A member that may be picked. */
export interface SchedulerMember {
    serverId: string;
    region: string;
    availabilityZone: string;
    slots: number;
    cold: boolean;
    /** Whether only the floor keeps it in the pool; such a member is picked last. */
    keptByFloor: boolean;
}

export enum SchedulerEventKind {
    Submit = "submit",
    Release = "release",
    Cancel = "cancel",
    Members = "members",
    Shed = "shed",
    Share = "share",
    Tick = "tick",
}

export type SchedulerEvent =
    /** An attempt of a request needs a slot. */
    | {
        kind: SchedulerEventKind.Submit;
        /** Unique on this host: an id that already waits or holds a slot is ignored. */
        attemptId: string;
        brand: string;
        deadlineAt: number;
        /** When the request arrived; now by default. A further attempt sets it, so that the waits of all attempts add up. */
        arrivedAt?: number;
        /** Members that must not be picked. */
        exclude: string[];
        /** Whether an excluded member may be picked when there is no other; for idempotent requests only. */
        allowExcluded?: boolean;
    }
    /** A granted attempt ended, which releases its slot. */
    | { kind: SchedulerEventKind.Release; attemptId: string; }
    /** A queued attempt was cancelled. A granted one keeps its slot until it is released. */
    | { kind: SchedulerEventKind.Cancel; attemptId: string; }
    /** The members that may be picked changed; attempts in flight stay counted. */
    | { kind: SchedulerEventKind.Members; members: SchedulerMember[]; }
    /** A backend server shed a request and enters a backoff. With `attemptId`, that attempt is released too. */
    | { kind: SchedulerEventKind.Shed; serverId: string; retryAfterMs: number; attemptId?: string; }
    /** The share of the slots that this host may grant changed with its role for the pool. */
    | { kind: SchedulerEventKind.Share; share: SlotShare; }
    | { kind: SchedulerEventKind.Tick; };

export enum SchedulerActionKind {
    Grant = "grant",
    Refuse = "refuse",
}

export type SchedulerAction =
    | { kind: SchedulerActionKind.Grant; attemptId: string; serverId: string; }
    | {
        kind: SchedulerActionKind.Refuse;
        attemptId: string;
        reason: RefusalKind.NoCapacity | RefusalKind.NoServers | RefusalKind.DeadlinePassed;
        /** The delay after which the caller should retry, in milliseconds. */
        retryAfterMs: number;
    };

/** Options of `createScheduler`. Times are in milliseconds. */
export interface SchedulerCfg {
    region: string;
    availabilityZone: string;
    /** The maximum number of attempts that wait for a slot. */
    queueLimit: number;
    /** The longest wait for a slot; 500 by default. */
    maxWaitMs?: number;
    /** The interval at which a cold member gains a slot; 1,000 by default. */
    slowStartStepMs?: number;
    /** The most slots of a member in another region that this host takes while its own region has capacity; 0 by default. */
    remoteSlots?: number;
}

/** The scheduler of one pool. Times are in milliseconds. */
export interface Scheduler {
    step(event: SchedulerEvent, now: number): SchedulerAction[];
    /** The number of attempts that hold a slot of the member. */
    inFlight(serverId: string): number;
    /** The number of attempts that wait for a slot. */
    queued(): number;
    /** The latest time for the next Tick event; `undefined` when none is needed. */
    nextTickAt(now: number): number | undefined;
}
