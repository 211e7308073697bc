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
    /** Whether only the floor keeps it; such a member is picked last. */
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
    /** A request, or a further attempt of it, wants a slot. */
    | {
        kind: SchedulerEventKind.Submit;
        /** Never used before by this host: an id that waits or holds a slot already is ignored. */
        attemptId: string;
        brand: string;
        deadlineAt: number;
        /** When the request arrived, for a further attempt of it: its waits count together. Now by default. */
        arrivedAt?: number;
        /** Members that must not be picked. */
        exclude: string[];
        /** Whether an excluded member may be picked when there is no other; for idempotent requests only. */
        allowExcluded?: boolean;
    }
    /** A granted attempt ended and frees its slot. */
    | { kind: SchedulerEventKind.Release; attemptId: string; }
    /** A queued attempt is no longer wanted. A granted one keeps its slot until it is released. */
    | { kind: SchedulerEventKind.Cancel; attemptId: string; }
    /** The members that may be picked changed; attempts in flight stay counted. */
    | { kind: SchedulerEventKind.Members; members: SchedulerMember[]; }
    /** A backend server shed a request, and wants no work for a while. With `attemptId`, that attempt is released too. */
    | { kind: SchedulerEventKind.Shed; serverId: string; retryAfterMs: number; attemptId?: string; }
    /** The role of this host for the pool changed. */
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
        /** When the caller should ask again. */
        retryAfterMs: number;
    };

/** Options of `createScheduler`. Times are in milliseconds. */
export interface SchedulerCfg {
    region: string;
    availabilityZone: string;
    /** The most attempts that wait for a slot. */
    queueLimit: number;
    /** The longest wait for a slot; 500 by default. */
    maxWaitMs?: number;
    /** How often a cold member gains a slot; 1,000 by default. */
    slowStartStepMs?: number;
    /** Slots of a member in another region that this host takes while its own region still has members; 0 by default. */
    remoteSlots?: number;
}

/** The scheduler of one pool. Times are in milliseconds. */
export interface Scheduler {
    step(event: SchedulerEvent, now: number): SchedulerAction[];
    /** Attempts that hold a slot, per member. */
    inFlight(serverId: string): number;
    queued(): number;
    /** When a Tick is due at the latest; `undefined` when none is. */
    nextTickAt(now: number): number | undefined;
}
