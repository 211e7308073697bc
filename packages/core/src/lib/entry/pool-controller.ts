/** Combines failure detection, ejection above the floor, slot scheduling and retries for one pool. */
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
import { LogEventKind } from "./entry-messages.js";

/** A log event about a member. */
export interface PoolLogEvent {
    logEvent: LogEventKind;
    serverId: string;
}

/** The result of an event on a pool. */
export interface PoolResult {
    schedulerActions: SchedulerAction[];
    logEvents: PoolLogEvent[];
    /** This host's own evidence, to be sent to the other hosts that hold the leases of the pool's members. */
    evidenceReports: MemberEvidence[];
}

/** Evidence of one host against a member. */
export interface MemberEvidence {
    serverId: string;
    /** A multiple of the detection threshold. */
    evidence: number;
}

/** Options of {@link createPoolController}. */
export interface PoolControllerCfg {
    pool: Pool;
    region: string;
    availabilityZone: string;
    random: Random;
}

/** A request for a slot. Times are in milliseconds. */
export interface SlotRequest {
    attemptId: string;
    brand: string;
    requestKind: string;
    deadlineAt: number;
    arrivedAt: number;
    idempotent: boolean;
    /** Ids of the backend servers that earlier attempts used; empty for the first attempt. */
    triedIds: string[];
}

/** One pool. Times are in milliseconds. */
export interface PoolController {
    submit(request: SlotRequest, now: number): PoolResult;
    /** Records that a granted attempt was passed to the I/O adapter. */
    recordStart(attemptId: string, serverId: string, requestKind: string, now: number): PoolResult;
    /** Releases the attempt's slot and passes its outcome to the detector. */
    recordEnd(
        attemptId: string,
        serverId: string,
        attemptClass: AttemptClass,
        retryAfterMs: number | undefined,
        now: number,
    ): PoolResult;
    /** Decides whether an ended attempt's answer is delivered, or the request is retried or given up. */
    nextStep(end: AttemptEnd): NextStep;
    /** Returns the delay after which a hedge is to be started; `undefined` when none is. */
    hedgeAfterMs(requestKind: string): number | undefined;
    /** Returns whether a hedge may be started now; if so, its retry budget is spent. */
    takeHedge(request: HedgeRequest): boolean;
    /** Returns and removes a pending probe's member; with `requestedBefore`, only one requested by then. */
    takeProbe(requestedBefore?: number): string | undefined;
    probeEnded(serverId: string, attemptClass: AttemptClass, durationMs: number, now: number): PoolResult;
    /** Records the evidence that another host sent. */
    receiveEvidence(host: string, evidence: MemberEvidence, now: number): PoolResult;
    /** Sets the share of the members' slots that this host may grant. */
    setShare(share: SlotShare, now: number): PoolResult;
    cancelQueued(attemptId: string, now: number): PoolResult;
    setMembers(members: Announcement[], now: number): PoolResult;
    setPool(pool: Pool, now: number): PoolResult;
    tick(now: number): PoolResult;
    memberCount(): number;
    /** Returns whether the pool has neither members nor requests. */
    isIdle(): boolean;
    members(): Announcement[];
    view(): EffectiveView;
    floorSlots(): number;
    inFlight(serverId: string): number;
    /** Number of attempts that wait for a slot. */
    queuedCount(): number;
    /** Evidence against a member as a multiple of the detection threshold; 0 when it is not suspected. */
    evidence(serverId: string): number;
    /** The pool's row of the pools table. */
    pool(): Pool;
}

const maxAttempts = 3;
const queueLimit = 256;
const defaultShedBackoffMs = 200;
/** Weight (share of its slots) below which a member counts as suspected or as only just readmitted. */
const lowWeightThreshold = 0.3;

const emptyResult: PoolResult = { schedulerActions: [], logEvents: [], evidenceReports: [] };

/** Creates the controller of one pool, without members. */
export const createPoolController = (cfg: PoolControllerCfg): PoolController => {
    let pool = cfg.pool;
    let members: Announcement[] = [];
    let view: EffectiveView = { healthy: [], keptByFloor: [], ejected: [] };
    let detector = createDetector({ mode: pool.detection, random: cfg.random });
    const scheduler = createScheduler({ region: cfg.region, availabilityZone: cfg.availabilityZone, queueLimit });
    const retries = createRetryPolicy({ maxAttempts });

    /** The weights that the scheduler last received, by server id. */
    let appliedWeights = new Map<string, number>();
    const attemptStarts = new Map<string, { requestKind: string; at: number; }>();
    /** When the detector requested the probe of a member, by server id. */
    const pendingProbes = new Map<string, number>();

    const floorSlots = (): number => {
        const announced = members.reduce((sum, member) => sum + member.slots, 0);
        return Math.ceil(announced * pool.floorShare);
    };

    /** Returns the log events for ejected, readmitted and newly kept members. */
    const viewChangeEvents = (before: EffectiveView, after: EffectiveView): PoolLogEvent[] => {
        const ejectedBefore = new Set(before.ejected);
        const ejectedAfter = new Set(after.ejected);
        const keptBefore = new Set(before.keptByFloor);
        const present = new Set(members.map(member => member.id));
        return [
            ...after.ejected.filter(id => !ejectedBefore.has(id)).map(serverId => ({
                logEvent: LogEventKind.ServerEjected,
                serverId,
            })),
            ...before.ejected.filter(id => !ejectedAfter.has(id) && present.has(id)).map(serverId => ({
                logEvent: LogEventKind.ServerReadmitted,
                serverId,
            })),
            ...after.keptByFloor.filter(id => !keptBefore.has(id)).map(serverId => ({
                logEvent: LogEventKind.FloorReached,
                serverId,
            })),
        ];
    };

    /** Recomputes the effective view and passes the usable members to the scheduler. */
    const refreshView = (now: number): PoolResult => {
        const before = view;
        appliedWeights = new Map(members.map(member => [member.id, detector.weight(member.id)]));
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
            // During probation a member gets a share of its slots, but at least one.
            slots: Math.max(1, Math.round(member.slots * detector.weight(member.id))),
            cold: member.cold,
            // A suspected member is picked last too: its requests go to other members, which shows whether these do better.
            keptByFloor: kept.has(member.id) || detector.weight(member.id) < lowWeightThreshold,
        }));
        return {
            schedulerActions: scheduler.step({ kind: SchedulerEventKind.Members, members: usable }, now),
            logEvents: viewChangeEvents(before, view),
            evidenceReports: [],
        };
    };

    const stepDetector = (event: DetectorEvent, now: number): PoolResult => {
        const actions = detector.step(event, now);
        const evidenceReports: MemberEvidence[] = [];
        let changed = false;
        for (const action of actions) {
            switch (action.kind) {
                case DetectorActionKind.Changed:
                    changed = true;
                    break;
                case DetectorActionKind.Probe:
                    pendingProbes.set(action.serverId, now);
                    break;
                case DetectorActionKind.Report:
                    evidenceReports.push({ serverId: action.serverId, evidence: action.evidence });
                    break;
            }
        }
        return changed ? { ...refreshView(now), evidenceReports } : { ...emptyResult, evidenceReports };
    };

    /** Applies weight changes, since a member becomes suspected or leaves probation without a `Changed` action. */
    const refreshViewIfWeightsChanged = (now: number): PoolResult => {
        const isChanged = members.some(member => detector.weight(member.id) !== appliedWeights.get(member.id));
        return isChanged ? refreshView(now) : emptyResult;
    };

    const mergeResults = (...results: PoolResult[]): PoolResult => ({
        schedulerActions: results.flatMap(result => result.schedulerActions),
        logEvents: results.flatMap(result => result.logEvents),
        evidenceReports: results.flatMap(result => result.evidenceReports),
    });

    const schedulerResult = (schedulerActions: SchedulerAction[]): PoolResult => ({ ...emptyResult, schedulerActions });

    const recordEnd: PoolController["recordEnd"] = (attemptId, serverId, attemptClass, retryAfterMs, now) => {
        const detected = stepDetector({ kind: DetectorEventKind.Finished, attemptId, outcome: attemptClass }, now);
        const started = attemptStarts.get(attemptId);
        attemptStarts.delete(attemptId);
        if (started !== undefined && attemptClass === AttemptClass.Success) {
            retries.onAttemptTime(started.requestKind, now - started.at);
        }
        const freed = attemptClass === AttemptClass.Shed
            ? scheduler.step(
                { kind: SchedulerEventKind.Shed, serverId, retryAfterMs: retryAfterMs ?? defaultShedBackoffMs, attemptId },
                now,
            )
            : scheduler.step({ kind: SchedulerEventKind.Release, attemptId }, now);
        return mergeResults(detected, schedulerResult(freed));
    };

    const setMembers = (next: Announcement[], now: number): PoolResult => {
        const before = new Map(members.map(member => [member.id, member]));
        const after = new Set(next.map(member => member.id));
        members = next;
        const results: PoolResult[] = [];
        for (const member of next) {
            const previous = before.get(member.id);
            if (previous?.incarnation !== member.incarnation || previous.cold !== member.cold) {
                results.push(
                    stepDetector({
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
                results.push(stepDetector({ kind: DetectorEventKind.Left, serverId }, now));
            }
        }
        return mergeResults(...results, refreshView(now));
    };

    const takeProbe = (requestedBefore = Infinity): string | undefined => {
        for (const [serverId, requestedAt] of pendingProbes) {
            if (requestedAt <= requestedBefore) {
                pendingProbes.delete(serverId);
                return serverId;
            }
        }
        return undefined;
    };

    const setPool = (next: Pool, now: number): PoolResult => {
        const isModeChanged = next.detection !== pool.detection;
        pool = next;
        if (isModeChanged) {
            // Evidence gathered in one detection mode is not valid in the other, so detection restarts.
            detector = createDetector({ mode: next.detection, random: cfg.random });
            for (const { id, incarnation, cold } of members) {
                detector.step({ kind: DetectorEventKind.Joined, serverId: id, incarnation, cold }, now);
            }
        }
        return refreshView(now);
    };

    return {
        submit: (request, now) => {
            if (request.triedIds.length === 0) {
                retries.onRequest(now);
            }
            const { attemptId, brand, deadlineAt, arrivedAt, triedIds, idempotent } = request;
            const submit = { attemptId, brand, deadlineAt, arrivedAt, exclude: triedIds, allowExcluded: idempotent };
            return schedulerResult(scheduler.step({ kind: SchedulerEventKind.Submit, ...submit }, now));
        },
        recordStart: (attemptId, serverId, requestKind, now) => {
            attemptStarts.set(attemptId, { requestKind, at: now });
            return stepDetector({ kind: DetectorEventKind.Started, attemptId, serverId, requestKind }, now);
        },
        recordEnd,
        nextStep: end => retries.onAttemptEnd(end),
        hedgeAfterMs: requestKind => retries.hedgeAfterMs(requestKind),
        takeHedge: request => retries.takeHedge(request),
        takeProbe,
        probeEnded: (serverId, outcome, durationMs, now) =>
            stepDetector({ kind: DetectorEventKind.ProbeFinished, serverId, outcome, durationMs }, now),
        receiveEvidence: (host, { serverId, evidence }, now) =>
            stepDetector({ kind: DetectorEventKind.RemoteEvidence, host, serverId, evidence }, now),
        setShare: (share, now) => schedulerResult(scheduler.step({ kind: SchedulerEventKind.Share, share }, now)),
        cancelQueued: (attemptId, now) => schedulerResult(scheduler.step({ kind: SchedulerEventKind.Cancel, attemptId }, now)),
        setMembers,
        setPool,
        tick: now =>
            mergeResults(
                stepDetector({ kind: DetectorEventKind.Tick }, now),
                refreshViewIfWeightsChanged(now),
                schedulerResult(scheduler.step({ kind: SchedulerEventKind.Tick }, now)),
            ),
        memberCount: () => members.length,
        isIdle: () => members.length === 0 && attemptStarts.size === 0 && scheduler.queued() === 0,
        members: () => members,
        view: () => view,
        floorSlots,
        inFlight: serverId => scheduler.inFlight(serverId),
        queuedCount: () => scheduler.queued(),
        evidence: serverId => detector.suspicions().find(suspicion => suspicion.serverId === serverId)?.evidence ?? 0,
        pool: () => pool,
    };
};
