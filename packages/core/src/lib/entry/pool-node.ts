/** One pool on the host that owns it: detection, ejection above the floor, slots and retries together. */
import type { Announcement } from "../backend-server.js";
import { createDetector, DetectorEventKind } from "../detector.js";
import type { DetectorEvent } from "../detector.js";
import { computeEffectiveView } from "../effective-view.js";
import type { EffectiveView } from "../effective-view.js";
import { AttemptClass } from "../outcome.js";
import { createRetryPolicy } from "../retry.js";
import type { AttemptEnd, NextStep } from "../retry.js";
import { createScheduler, SchedulerEventKind } from "../scheduler.js";
import type { SchedulerAction } from "../scheduler.js";
import type { Pool } from "../tables.js";
import { NoteKind } from "./entry-messages.js";

/** Something about a member that an operator may want to read. */
export interface PoolNote {
    note: NoteKind;
    serverId: string;
}

/** What follows from an event of a pool. */
export interface PoolResult {
    scheduled: SchedulerAction[];
    notes: PoolNote[];
}

/** Options of {@link createPoolNode}. */
export interface PoolNodeCfg {
    pool: Pool;
    region: string;
    availabilityZone: string;
}

/** A wish for a slot. */
export interface SlotWish {
    attemptId: string;
    brand: string;
    requestKind: string;
    deadlineAt: number;
    exclude: string[];
}

/** One pool. Times are in milliseconds. */
export interface PoolNode {
    submit(wish: SlotWish, now: number): PoolResult;
    /** A granted attempt was handed to the adapter. */
    started(attemptId: string, serverId: string, requestKind: string, now: number): PoolResult;
    ended(
        attemptId: string,
        serverId: string,
        attemptClass: AttemptClass,
        retryAfterMs: number | undefined,
        now: number,
    ): PoolResult;
    next(end: AttemptEnd): NextStep;
    cancelQueued(attemptId: string, now: number): PoolResult;
    setMembers(members: Announcement[], now: number): PoolResult;
    setPool(pool: Pool, now: number): PoolResult;
    tick(now: number): PoolResult;
    memberCount(): number;
    members(): Announcement[];
    view(): EffectiveView;
    floorSlots(): number;
    inFlight(serverId: string): number;
    queued(): number;
    evidence(serverId: string): number;
    pool(): Pool;
}

const maxAttempts = 3;
const queueLimit = 256;
const defaultShedPauseMs = 200;

/** Creates the node of one pool, without members. */
export const createPoolNode = (cfg: PoolNodeCfg): PoolNode => {
    let pool = cfg.pool;
    let members: Announcement[] = [];
    let view: EffectiveView = { healthy: [], keptByFloor: [], ejected: [] };
    const detector = createDetector({ mode: pool.detection });
    const scheduler = createScheduler({ region: cfg.region, availabilityZone: cfg.availabilityZone, queueLimit });
    const retries = createRetryPolicy({ maxAttempts });

    const floorSlots = (): number => {
        const announced = members.reduce((sum, member) => sum + member.slots, 0);
        return Math.ceil(announced * pool.floorShare);
    };

    const compareViews = (before: EffectiveView, after: EffectiveView): PoolNote[] => {
        const ejectedBefore = new Set(before.ejected);
        const ejectedAfter = new Set(after.ejected);
        const keptBefore = new Set(before.keptByFloor);
        const present = new Set(members.map(member => member.id));
        return [
            ...after.ejected.filter(id => !ejectedBefore.has(id)).map(serverId => ({ note: NoteKind.ServerEjected, serverId })),
            ...before.ejected.filter(id => !ejectedAfter.has(id) && present.has(id)).map(serverId => ({
                note: NoteKind.ServerReadmitted,
                serverId,
            })),
            ...after.keptByFloor.filter(id => !keptBefore.has(id)).map(serverId => ({ note: NoteKind.FloorReached, serverId })),
        ];
    };

    const refresh = (now: number): PoolResult => {
        const before = view;
        view = computeEffectiveView({
            members: members.map(member => ({ serverId: member.id, slots: member.slots, cold: member.cold })),
            suspicions: detector.suspicions(),
            floorSlots: floorSlots(),
        });
        const kept = new Set(view.keptByFloor);
        const ejected = new Set(view.ejected);
        const usable = members.filter(member => !ejected.has(member.id)).map(member => ({
            serverId: member.id,
            region: member.region,
            availabilityZone: member.availabilityZone,
            slots: member.slots,
            cold: member.cold,
            keptByFloor: kept.has(member.id),
        }));
        return {
            scheduled: scheduler.step({ kind: SchedulerEventKind.Members, members: usable }, now),
            notes: compareViews(before, view),
        };
    };

    const detect = (event: DetectorEvent, now: number): PoolResult => {
        const actions = detector.step(event, now);
        return actions.length > 0 ? refresh(now) : { scheduled: [], notes: [] };
    };

    const join = (...results: PoolResult[]): PoolResult => ({
        scheduled: results.flatMap(result => result.scheduled),
        notes: results.flatMap(result => result.notes),
    });

    const onlySchedule = (scheduled: SchedulerAction[]): PoolResult => ({ scheduled, notes: [] });

    const ended: PoolNode["ended"] = (attemptId, serverId, attemptClass, retryAfterMs, now) => {
        const detected = detect({ kind: DetectorEventKind.Finished, attemptId, outcome: attemptClass }, now);
        const shed = attemptClass === AttemptClass.Shed
            ? scheduler.step({ kind: SchedulerEventKind.Shed, serverId, retryAfterMs: retryAfterMs ?? defaultShedPauseMs }, now)
            : [];
        const released = scheduler.step({ kind: SchedulerEventKind.Release, attemptId }, now);
        return join(detected, onlySchedule(shed), onlySchedule(released));
    };

    const setMembers = (next: Announcement[], now: number): PoolResult => {
        const before = new Map(members.map(member => [member.id, member]));
        const after = new Set(next.map(member => member.id));
        members = next;
        const results: PoolResult[] = [];
        for (const member of next) {
            if (before.get(member.id)?.incarnation !== member.incarnation) {
                results.push(
                    detect({ kind: DetectorEventKind.Joined, serverId: member.id, incarnation: member.incarnation }, now),
                );
            }
        }
        for (const serverId of before.keys()) {
            if (!after.has(serverId)) {
                results.push(detect({ kind: DetectorEventKind.Left, serverId }, now));
            }
        }
        return join(...results, refresh(now));
    };

    return {
        submit: (wish, now) => {
            retries.onRequest(now);
            const { attemptId, brand, deadlineAt, exclude } = wish;
            return onlySchedule(scheduler.step({ kind: SchedulerEventKind.Submit, attemptId, brand, deadlineAt, exclude }, now));
        },
        started: (attemptId, serverId, requestKind, now) =>
            detect({ kind: DetectorEventKind.Started, attemptId, serverId, requestKind }, now),
        ended,
        next: end => retries.onAttemptEnd(end),
        cancelQueued: (attemptId, now) => onlySchedule(scheduler.step({ kind: SchedulerEventKind.Cancel, attemptId }, now)),
        setMembers,
        setPool: (next, now) => {
            pool = next;
            return refresh(now);
        },
        tick: now =>
            join(
                detect({ kind: DetectorEventKind.Tick }, now),
                onlySchedule(scheduler.step({ kind: SchedulerEventKind.Tick }, now)),
            ),
        memberCount: () => members.length,
        members: () => members,
        view: () => view,
        floorSlots,
        inFlight: serverId => scheduler.inFlight(serverId),
        queued: () => scheduler.queued(),
        evidence: serverId => detector.suspicions().find(suspicion => suspicion.serverId === serverId)?.evidence ?? 0,
        pool: () => pool,
    };
};
