/** Schedules requests onto the slots of one pool's members. */
import { hash32 } from "./hash.js";
import { RefusalKind } from "./outcome.js";
import { createFairQueue } from "./scheduling/fair-queue.js";
import type { WaitingAttempt } from "./scheduling/fair-queue.js";
import { createPicker } from "./scheduling/picker.js";
import { SchedulerActionKind, SchedulerEventKind } from "./scheduling/scheduler-contract.js";
import type { Scheduler, SchedulerAction, SchedulerCfg, SchedulerEvent } from "./scheduling/scheduler-contract.js";
import { createShedBackoffTracker } from "./scheduling/shed-backoff.js";
import { createSlotTracker } from "./scheduling/slot-tracker.js";
import { createSlowStart } from "./scheduling/slow-start.js";
import { createStandByLimits } from "./scheduling/stand-by-limit.js";
import { createStandingQueueDetector } from "./scheduling/standing-queue.js";
import { createWaitEstimate } from "./scheduling/wait-estimate.js";

export * from "./scheduling/scheduler-contract.js";
export * from "./scheduling/slot-share.js";

type EventOf<K extends SchedulerEventKind> = Extract<SchedulerEvent, { kind: K; }>;
type Handlers = { [K in SchedulerEventKind]: (event: EventOf<K>, now: number) => SchedulerAction[]; };
type RefusalReason = Extract<SchedulerAction, { kind: SchedulerActionKind.Refuse; }>["reason"];

const defaultMaxWaitMs = 500;

/** The longest wait during a standing queue: a longer one adds latency then, but no throughput. */
const standingQueueMaxWaitMs = 100;

const defaultSlowStartStepMs = 1000;

/** The share of its time that a request may wait for a slot; the rest is for serving it or for a retry elsewhere. */
const maxWaitShare = 0.5;

const minRetryAfterMs = 50;
const maxRetryAfterMs = 5000;
const noServersRetryAfterMs = 1000;
const hashRange = 2 ** 32;

/** Multiplies a retry delay by 1 to 2, by the hash of the attempt id, so that callers refused together do not return together. */
const addJitter = (attemptId: string, ms: number): number => Math.round(ms * (1 + hash32(attemptId) / hashRange));

/** Creates the scheduler of one pool. */
export const createScheduler = (cfg: SchedulerCfg): Scheduler => {
    const slotTracker = createSlotTracker();
    const shedBackoffs = createShedBackoffTracker();
    const slowStart = createSlowStart(cfg.slowStartStepMs ?? defaultSlowStartStepMs);
    const standByLimits = createStandByLimits();
    const picker = createPicker({ cfg, slotTracker, shedBackoffs, slowStart, standByLimits });
    const queue = createFairQueue(cfg.queueLimit);
    const waitEstimate = createWaitEstimate();
    const queuedIds = new Set<string>();
    const standingQueue = createStandingQueueDetector();

    const expectedWaitMs = (brand: string, now: number): number => {
        const slots = picker.grantableSlots(now);
        if (slots > 0) {
            return waitEstimate.waitMs(queue.aheadOf(brand), slots);
        }
        const remainingBackoffMs = (shedBackoffs.nextEndAt(now) ?? Infinity) - now;
        return remainingBackoffMs + waitEstimate.waitMs(queue.aheadOf(brand), picker.poolSlots());
    };

    const retryAfter = (attemptId: string, brand: string, now: number): number => {
        const waitMs = picker.isEmpty() ? noServersRetryAfterMs : expectedWaitMs(brand, now);
        return addJitter(attemptId, Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)));
    };

    const refuse = (attemptId: string, brand: string, reason: RefusalReason, now: number): SchedulerAction => {
        queuedIds.delete(attemptId);
        return { kind: SchedulerActionKind.Refuse, attemptId, reason, retryAfterMs: retryAfter(attemptId, brand, now) };
    };

    const grant = (attemptId: string, serverId: string, now: number): SchedulerAction => {
        queuedIds.delete(attemptId);
        slotTracker.acquire(attemptId, serverId, now);
        return { kind: SchedulerActionKind.Grant, attemptId, serverId };
    };

    const refuseAll = (removed: WaitingAttempt[], now: number): SchedulerAction[] => {
        const reason = picker.isEmpty() ? RefusalKind.NoServers : RefusalKind.NoCapacity;
        return removed.map(waiting => refuse(waiting.attemptId, waiting.brand, reason, now));
    };

    const grantWaiting = (now: number): SchedulerAction[] => {
        const actions: SchedulerAction[] = [];
        const pickFor = (waiting: WaitingAttempt): string | undefined => picker.pick(waiting, now)?.serverId;
        for (let granted = queue.takeFirst(pickFor); granted !== undefined; granted = queue.takeFirst(pickFor)) {
            actions.push(grant(granted.waiting.attemptId, granted.matched, now));
        }
        return actions;
    };

    // Expired attempts are removed first, so that no slot is granted to a caller that is about to give up.
    const processQueue = (now: number): SchedulerAction[] => [
        ...refuseAll(queue.expire(now), now),
        ...grantWaiting(now),
    ];

    const refusalReason = (
        event: EventOf<SchedulerEventKind.Submit>,
        waiting: WaitingAttempt,
        now: number,
    ): RefusalReason | undefined => {
        if (event.deadlineAt <= now) {
            return RefusalKind.DeadlinePassed;
        }
        if (picker.isEmpty()) {
            return RefusalKind.NoServers;
        }
        const isFull = !picker.canServe(waiting) || !queue.hasRoom(event.brand);
        return isFull || now + expectedWaitMs(event.brand, now) > waiting.refuseAt ? RefusalKind.NoCapacity : undefined;
    };

    const maxWaitMs = (): number => {
        const configuredMs = cfg.maxWaitMs ?? defaultMaxWaitMs;
        return standingQueue.isStanding() ? Math.min(standingQueueMaxWaitMs, configuredMs) : configuredMs;
    };

    const toWaitingAttempt = (event: EventOf<SchedulerEventKind.Submit>, now: number): WaitingAttempt => {
        const { attemptId, brand, exclude, allowExcluded, deadlineAt } = event;
        const arrivedAt = event.arrivedAt ?? now;
        const latestAt = arrivedAt + (deadlineAt - arrivedAt) * maxWaitShare;
        const refuseAt = Math.min(now + maxWaitMs(), latestAt);
        return { attemptId, brand, refuseAt, exclude, allowExcluded: allowExcluded ?? false };
    };

    const handleSubmit = (event: EventOf<SchedulerEventKind.Submit>, now: number): SchedulerAction[] => {
        if (queuedIds.has(event.attemptId) || slotTracker.holds(event.attemptId)) {
            return [];
        }
        const waiting = toWaitingAttempt(event, now);
        const actions = processQueue(now);
        const serverId = event.deadlineAt > now ? picker.pick(waiting, now)?.serverId : undefined;
        if (serverId !== undefined) {
            return [...actions, grant(event.attemptId, serverId, now)];
        }
        const reason = refusalReason(event, waiting, now);
        if (reason !== undefined) {
            return [...actions, refuse(event.attemptId, event.brand, reason, now)];
        }
        queuedIds.add(event.attemptId);
        queue.push(waiting);
        return actions;
    };

    const releaseSlot = (attemptId: string, now: number): void => {
        const released = slotTracker.release(attemptId, now);
        if (released !== undefined) {
            waitEstimate.record(released.heldMs);
            standByLimits.recordEnd(released.serverId, now);
        }
    };

    // Attempts that only removed members could serve are refused at once.
    const refuseUnservable = (now: number): SchedulerAction[] => [
        ...refuseAll(queue.removeIf(waiting => !picker.canServe(waiting)), now),
        ...processQueue(now),
    ];

    const handleMembers = (event: EventOf<SchedulerEventKind.Members>, now: number): SchedulerAction[] => {
        picker.setMembers(event.members);
        slowStart.setMembers(event.members, now);
        shedBackoffs.retain(new Set(event.members.map(member => member.serverId)));
        return refuseUnservable(now);
    };

    const handleShed = (event: EventOf<SchedulerEventKind.Shed>, now: number): SchedulerAction[] => {
        const { serverId, retryAfterMs, attemptId } = event;
        const isSlotStillHeld = attemptId === undefined;
        if (attemptId !== undefined) {
            // A shed request was not executed, so its time is no sample of how long a slot is held.
            slotTracker.release(attemptId, now);
        }
        const othersInFlight = Math.max(0, slotTracker.inFlight(serverId) - (isSlotStillHeld ? 1 : 0));
        standByLimits.recordShed(serverId, now);
        shedBackoffs.recordShed(serverId, { retryAfterMs, othersInFlight, now });
        return processQueue(now);
    };

    const handlers: Handlers = {
        [SchedulerEventKind.Submit]: handleSubmit,
        [SchedulerEventKind.Release]: (event, now) => {
            releaseSlot(event.attemptId, now);
            return processQueue(now);
        },
        [SchedulerEventKind.Cancel]: (event, now) => {
            queuedIds.delete(event.attemptId);
            queue.remove(event.attemptId);
            return processQueue(now);
        },
        [SchedulerEventKind.Members]: handleMembers,
        [SchedulerEventKind.Shed]: handleShed,
        [SchedulerEventKind.Share]: (event, now) => {
            picker.setShare(event.share);
            return refuseUnservable(now);
        },
        [SchedulerEventKind.Tick]: (_event, now) => processQueue(now),
    };

    const step = (event: SchedulerEvent, now: number): SchedulerAction[] => {
        const handler = handlers[event.kind] as (event: SchedulerEvent, now: number) => SchedulerAction[];
        const actions = handler(event, now);
        standingQueue.observe(queue.size(), now);
        return actions;
    };

    const nextTickAt = (now: number): number | undefined => {
        if (queue.size() === 0) {
            return undefined;
        }
        const times = [queue.nextRefusalAt(), shedBackoffs.nextEndAt(now), slowStart.nextSlotAt(now)];
        return Math.min(...times.filter(time => time !== undefined));
    };

    return { step, inFlight: serverId => slotTracker.inFlight(serverId), queued: () => queue.size(), nextTickAt };
};
