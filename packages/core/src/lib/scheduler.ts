/** Grants the slots of one pool's members to requests. */
import { RefusalKind } from "./outcome.js";

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
    Tick = "tick",
}

export type SchedulerEvent =
    /** A request, or a further attempt of it, wants a slot. */
    | { kind: SchedulerEventKind.Submit; attemptId: string; brand: string; deadlineAt: number; exclude: string[]; }
    /** A granted attempt ended and frees its slot. */
    | { kind: SchedulerEventKind.Release; attemptId: string; }
    /** A queued attempt is no longer wanted. */
    | { kind: SchedulerEventKind.Cancel; attemptId: string; }
    /** The members that may be picked changed; attempts in flight stay counted. */
    | { kind: SchedulerEventKind.Members; members: SchedulerMember[]; }
    /** A backend server shed a request, and wants no work for a while. */
    | { kind: SchedulerEventKind.Shed; serverId: string; retryAfterMs: number; }
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

/** Options of {@link createScheduler}. */
export interface SchedulerCfg {
    region: string;
    availabilityZone: string;
    /** The most attempts that wait for a slot. */
    queueLimit: number;
}

/** The scheduler of one pool. Times are in milliseconds. */
export interface Scheduler {
    step(event: SchedulerEvent, now: number): SchedulerAction[];
    /** Attempts that hold a slot, per member. */
    inFlight(serverId: string): number;
    queued(): number;
}

const defaultRetryAfterMs = 250;

/** Creates the scheduler of one pool. */
export const createScheduler = (cfg: SchedulerCfg): Scheduler => {
    let members: SchedulerMember[] = [];
    const holders = new Map<string, string>();
    const busy = new Map<string, number>();
    const queue: { attemptId: string; exclude: string[]; }[] = [];

    const inFlight = (serverId: string): number => busy.get(serverId) ?? 0;

    const distance = (member: SchedulerMember): number => {
        if (member.availabilityZone === cfg.availabilityZone) {
            return 0;
        }
        return member.region === cfg.region ? 1 : 2;
    };

    const pick = (exclude: string[]): SchedulerMember | undefined => {
        const free = members.filter(member => inFlight(member.serverId) < member.slots && !exclude.includes(member.serverId));
        const rank = (member: SchedulerMember): number =>
            (member.keptByFloor ? 10 : 0) + distance(member) + inFlight(member.serverId) / member.slots;
        return free.sort((a, b) => rank(a) - rank(b))[0];
    };

    const grant = (attemptId: string, serverId: string): SchedulerAction => {
        holders.set(attemptId, serverId);
        busy.set(serverId, inFlight(serverId) + 1);
        return { kind: SchedulerActionKind.Grant, attemptId, serverId };
    };

    const drain = (): SchedulerAction[] => {
        const actions: SchedulerAction[] = [];
        for (let next = queue[0]; next !== undefined; next = queue[0]) {
            const member = pick(next.exclude);
            if (member === undefined) {
                break;
            }
            queue.shift();
            actions.push(grant(next.attemptId, member.serverId));
        }
        return actions;
    };

    const submit = (attemptId: string, exclude: string[]): SchedulerAction[] => {
        const reason = members.length === 0 ? RefusalKind.NoServers : RefusalKind.NoCapacity;
        if (members.length === 0 || queue.length >= cfg.queueLimit) {
            return [{ kind: SchedulerActionKind.Refuse, attemptId, reason, retryAfterMs: defaultRetryAfterMs }];
        }
        queue.push({ attemptId, exclude });
        return drain();
    };

    const release = (attemptId: string): SchedulerAction[] => {
        const serverId = holders.get(attemptId);
        if (serverId === undefined) {
            return [];
        }
        holders.delete(attemptId);
        busy.set(serverId, inFlight(serverId) - 1);
        return drain();
    };

    const cancel = (attemptId: string): SchedulerAction[] => {
        const index = queue.findIndex(waiting => waiting.attemptId === attemptId);
        if (index >= 0) {
            queue.splice(index, 1);
        }
        return [];
    };

    const step = (event: SchedulerEvent, _now: number): SchedulerAction[] => {
        switch (event.kind) {
            case SchedulerEventKind.Submit:
                return submit(event.attemptId, event.exclude);
            case SchedulerEventKind.Release:
                return release(event.attemptId);
            case SchedulerEventKind.Cancel:
                return cancel(event.attemptId);
            case SchedulerEventKind.Members:
                members = event.members;
                return drain();
            case SchedulerEventKind.Shed:
            case SchedulerEventKind.Tick:
                return [];
        }
    };

    return { step, inFlight, queued: () => queue.length };
};
