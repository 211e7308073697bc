/** One pool on the host that owns it: detection, ejection above the floor, slots and retries together. */
import type { Announcement } from "../backend-server.js";
import { createDetector, DetectorActionKind, DetectorEventKind } from "../detector.js";
import type { DetectorEvent } from "../detector.js";
import { computeEffectiveView } from "../effective-view.js";
import type { EffectiveView } from "../effective-view.js";
import { AttemptClass } from "../outcome.js";
import type { Random } from "../random.js";
import { createRetryPolicy } from "../retry.js";
import type { AttemptEnd, HedgeRequest, NextStep } from "../retry.js";
import { createScheduler, SchedulerEventKind } from "../scheduler.js";
import type { SchedulerAction, SlotShare } from "../scheduler.js";
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
    /** This host's own evidence, to be told to the other hosts that hold the pool. */
    reports: MemberEvidence[];
}

/** Evidence of one host about a member, in thresholds. */
export interface MemberEvidence {
    serverId: string;
    evidence: number;
}

/** Options of {@link createPoolNode}. */
export interface PoolNodeCfg {
    pool: Pool;
    region: string;
    availabilityZone: string;
    random: Random;
}

/** A wish for a slot. */
export interface SlotWish {
    attemptId: string;
    brand: string;
    requestKind: string;
    deadlineAt: number;
    arrivedAt: number;
    idempotent: boolean;
    /** Backend servers that were tried before; none for the first attempt. */
    tried: string[];
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
    /** When a second attempt beside the first is worth its cost; `undefined` when none is. */
    hedgeAfterMs(requestKind: string): number | undefined;
    takeHedge(wish: HedgeRequest): boolean;
    /** A member that is to be probed, taken once; with `olderThan`, only one that has waited since then. */
    takeProbe(olderThan?: number): string | undefined;
    probeEnded(serverId: string, attemptClass: AttemptClass, durationMs: number, now: number): PoolResult;
    remoteEvidence(host: string, evidence: MemberEvidence, now: number): PoolResult;
    /** The role of this host for the pool. */
    setShare(share: SlotShare, now: number): PoolResult;
    cancelQueued(attemptId: string, now: number): PoolResult;
    setMembers(members: Announcement[], now: number): PoolResult;
    setPool(pool: Pool, now: number): PoolResult;
    tick(now: number): PoolResult;
    memberCount(): number;
    /** Whether it has neither members nor requests. */
    isIdle(): boolean;
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
/** Below this share of its slots a member is in doubt, or has only just been re-admitted. */
const doubtfulWeight = 0.3;

const nothing: PoolResult = { scheduled: [], notes: [], reports: [] };

/** Creates the node of one pool, without members. */
export const createPoolNode = (cfg: PoolNodeCfg): PoolNode => {
    let pool = cfg.pool;
    let members: Announcement[] = [];
    let view: EffectiveView = { healthy: [], keptByFloor: [], ejected: [] };
    let detector = createDetector({ mode: pool.detection, random: cfg.random });
    const scheduler = createScheduler({ region: cfg.region, availabilityZone: cfg.availabilityZone, queueLimit });
    const retries = createRetryPolicy({ maxAttempts });

    /** The weights that the scheduler was last told. */
    let usedWeights = new Map<string, number>();
    const startedAt = new Map<string, { requestKind: string; at: number; }>();
    const wantedProbes = new Map<string, number>();

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
        usedWeights = new Map(members.map(member => [member.id, detector.weight(member.id)]));
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
            // During probation a member gets part of its slots, and never less than one.
            slots: Math.max(1, Math.round(member.slots * detector.weight(member.id))),
            cold: member.cold,
            // A member in doubt is picked last too: its requests go to others, which shows whether these do better.
            keptByFloor: kept.has(member.id) || detector.weight(member.id) < doubtfulWeight,
        }));
        return {
            scheduled: scheduler.step({ kind: SchedulerEventKind.Members, members: usable }, now),
            notes: compareViews(before, view),
            reports: [],
        };
    };

    const detect = (event: DetectorEvent, now: number): PoolResult => {
        const actions = detector.step(event, now);
        const reports: MemberEvidence[] = [];
        let changed = false;
        for (const action of actions) {
            switch (action.kind) {
                case DetectorActionKind.Changed:
                    changed = true;
                    break;
                case DetectorActionKind.Probe:
                    wantedProbes.set(action.serverId, now);
                    break;
                case DetectorActionKind.Report:
                    reports.push({ serverId: action.serverId, evidence: action.evidence });
                    break;
            }
        }
        return changed ? { ...refresh(now), reports } : { ...nothing, reports };
    };

    /** A member falls into doubt, or leaves probation, without an event of its own. */
    const refreshWeights = (now: number): PoolResult => {
        const isChanged = members.some(member => detector.weight(member.id) !== usedWeights.get(member.id));
        return isChanged ? refresh(now) : nothing;
    };

    const join = (...results: PoolResult[]): PoolResult => ({
        scheduled: results.flatMap(result => result.scheduled),
        notes: results.flatMap(result => result.notes),
        reports: results.flatMap(result => result.reports),
    });

    const onlySchedule = (scheduled: SchedulerAction[]): PoolResult => ({ ...nothing, scheduled });

    const ended: PoolNode["ended"] = (attemptId, serverId, attemptClass, retryAfterMs, now) => {
        const detected = detect({ kind: DetectorEventKind.Finished, attemptId, outcome: attemptClass }, now);
        const started = startedAt.get(attemptId);
        startedAt.delete(attemptId);
        if (started !== undefined && attemptClass === AttemptClass.Success) {
            retries.onAttemptTime(started.requestKind, now - started.at);
        }
        const freed = attemptClass === AttemptClass.Shed
            ? scheduler.step(
                { kind: SchedulerEventKind.Shed, serverId, retryAfterMs: retryAfterMs ?? defaultShedPauseMs, attemptId },
                now,
            )
            : scheduler.step({ kind: SchedulerEventKind.Release, attemptId }, now);
        return join(detected, onlySchedule(freed));
    };

    const setMembers = (next: Announcement[], now: number): PoolResult => {
        const before = new Map(members.map(member => [member.id, member]));
        const after = new Set(next.map(member => member.id));
        members = next;
        const results: PoolResult[] = [];
        for (const member of next) {
            const known = before.get(member.id);
            if (known?.incarnation !== member.incarnation || known.cold !== member.cold) {
                results.push(
                    detect({
                        kind: DetectorEventKind.Joined,
                        serverId: member.id,
                        incarnation: member.incarnation,
                        cold: member.cold,
                    }, now),
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

    const takeProbe = (olderThan = Infinity): string | undefined => {
        for (const [serverId, since] of wantedProbes) {
            if (since <= olderThan) {
                wantedProbes.delete(serverId);
                return serverId;
            }
        }
        return undefined;
    };

    const setPool = (next: Pool, now: number): PoolResult => {
        const isOtherMode = next.detection !== pool.detection;
        pool = next;
        if (isOtherMode) {
            // Evidence of one mode means nothing in the other, so detection starts afresh.
            detector = createDetector({ mode: next.detection, random: cfg.random });
            for (const { id, incarnation, cold } of members) {
                detector.step({ kind: DetectorEventKind.Joined, serverId: id, incarnation, cold }, now);
            }
        }
        return refresh(now);
    };

    return {
        submit: (wish, now) => {
            if (wish.tried.length === 0) {
                retries.onRequest(now);
            }
            const { attemptId, brand, deadlineAt, arrivedAt, tried, idempotent } = wish;
            const submit = { attemptId, brand, deadlineAt, arrivedAt, exclude: tried, allowExcluded: idempotent };
            return onlySchedule(scheduler.step({ kind: SchedulerEventKind.Submit, ...submit }, now));
        },
        started: (attemptId, serverId, requestKind, now) => {
            startedAt.set(attemptId, { requestKind, at: now });
            return detect({ kind: DetectorEventKind.Started, attemptId, serverId, requestKind }, now);
        },
        ended,
        next: end => retries.onAttemptEnd(end),
        hedgeAfterMs: requestKind => retries.hedgeAfterMs(requestKind),
        takeHedge: wish => retries.takeHedge(wish),
        takeProbe,
        probeEnded: (serverId, outcome, durationMs, now) =>
            detect({ kind: DetectorEventKind.ProbeFinished, serverId, outcome, durationMs }, now),
        remoteEvidence: (host, { serverId, evidence }, now) =>
            detect({ kind: DetectorEventKind.RemoteEvidence, host, serverId, evidence }, now),
        setShare: (share, now) => onlySchedule(scheduler.step({ kind: SchedulerEventKind.Share, share }, now)),
        cancelQueued: (attemptId, now) => onlySchedule(scheduler.step({ kind: SchedulerEventKind.Cancel, attemptId }, now)),
        setMembers,
        setPool,
        tick: now =>
            join(
                detect({ kind: DetectorEventKind.Tick }, now),
                refreshWeights(now),
                onlySchedule(scheduler.step({ kind: SchedulerEventKind.Tick }, now)),
            ),
        memberCount: () => members.length,
        isIdle: () => members.length === 0 && startedAt.size === 0 && scheduler.queued() === 0,
        members: () => members,
        view: () => view,
        floorSlots,
        inFlight: serverId => scheduler.inFlight(serverId),
        queued: () => scheduler.queued(),
        evidence: serverId => detector.suspicions().find(suspicion => suspicion.serverId === serverId)?.evidence ?? 0,
        pool: () => pool,
    };
};
