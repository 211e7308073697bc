/** Grants the slots of one pool's members to requests. */
import { hash32 } from "./hash.js";
import { RefusalKind } from "./outcome.js";
import { createFairQueue } from "./scheduling/fair-queue.js";
import type { Waiting } from "./scheduling/fair-queue.js";
import { createHoldBacks } from "./scheduling/hold-back.js";
import { createPicker } from "./scheduling/picker.js";
import { SchedulerActionKind, SchedulerEventKind } from "./scheduling/scheduler-contract.js";
import type { Scheduler, SchedulerAction, SchedulerCfg, SchedulerEvent } from "./scheduling/scheduler-contract.js";
import { createSlotLedger } from "./scheduling/slot-ledger.js";
import { createSlowStart } from "./scheduling/slow-start.js";
import { createStandByLimits } from "./scheduling/stand-by-limit.js";
import { createStandingQueue } from "./scheduling/standing-queue.js";
import { createWaitEstimate } from "./scheduling/wait-estimate.js";

export * from "./scheduling/scheduler-contract.js";
export * from "./scheduling/slot-share.js";

type EventOf<K extends SchedulerEventKind> = Extract<SchedulerEvent, { kind: K; }>;
type Handlers = { [K in SchedulerEventKind]: (event: EventOf<K>, now: number) => SchedulerAction[]; };
type RefuseReason = Extract<SchedulerAction, { kind: SchedulerActionKind.Refuse; }>["reason"];

const defaultMaxWaitMs = 500;

/** The longest wait while the queue stands: waiting longer then serves nobody more, only later. */
const standingMaxWaitMs = 100;

const defaultSlowStartStepMs = 1000;

/** The share of its time after which a request no longer waits for a slot; the rest is for serving it, or for asking elsewhere. */
const waitShare = 0.5;

const minRetryAfterMs = 50;
const maxRetryAfterMs = 5000;
const noServersRetryAfterMs = 1000;
const hashRange = 2 ** 32;

/** Spreads callers that were refused together over as much time again. */
const spread = (attemptId: string, ms: number): number => Math.round(ms * (1 + hash32(attemptId) / hashRange));

/** Creates the scheduler of one pool. */
export const createScheduler = (cfg: SchedulerCfg): Scheduler => {
    const ledger = createSlotLedger();
    const holdBacks = createHoldBacks();
    const slowStart = createSlowStart(cfg.slowStartStepMs ?? defaultSlowStartStepMs);
    const standBy = createStandByLimits();
    const picker = createPicker({ cfg, ledger, holdBacks, slowStart, standBy });
    const queue = createFairQueue(cfg.queueLimit);
    const estimate = createWaitEstimate();
    const queuedIds = new Set<string>();
    const standing = createStandingQueue();

    const expectedWaitMs = (brand: string, now: number): number => {
        const slots = picker.grantableSlots(now);
        if (slots > 0) {
            return estimate.waitMs(queue.ahead(brand), slots);
        }
        const openingMs = (holdBacks.nextEndAt(now) ?? Infinity) - now;
        return openingMs + estimate.waitMs(queue.ahead(brand), picker.poolSlots());
    };

    const retryAfter = (attemptId: string, brand: string, now: number): number => {
        const waitMs = picker.isEmpty() ? noServersRetryAfterMs : expectedWaitMs(brand, now);
        return spread(attemptId, Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs)));
    };

    const refuse = (attemptId: string, brand: string, reason: RefuseReason, now: number): SchedulerAction => {
        queuedIds.delete(attemptId);
        return { kind: SchedulerActionKind.Refuse, attemptId, reason, retryAfterMs: retryAfter(attemptId, brand, now) };
    };

    const grant = (attemptId: string, serverId: string, now: number): SchedulerAction => {
        queuedIds.delete(attemptId);
        ledger.take(attemptId, serverId, now);
        return { kind: SchedulerActionKind.Grant, attemptId, serverId };
    };

    const refuseAll = (removed: Waiting[], now: number): SchedulerAction[] => {
        const reason = picker.isEmpty() ? RefusalKind.NoServers : RefusalKind.NoCapacity;
        return removed.map(waiting => refuse(waiting.attemptId, waiting.brand, reason, now));
    };

    const grantWaiting = (now: number): SchedulerAction[] => {
        const actions: SchedulerAction[] = [];
        const match = (waiting: Waiting): string | undefined => picker.pick(waiting, now)?.serverId;
        for (let next = queue.takeFirst(match); next !== undefined; next = queue.takeFirst(match)) {
            actions.push(grant(next.waiting.attemptId, next.found, now));
        }
        return actions;
    };

    // The expired go first, so that no slot is spent on a caller who is about to give up.
    const drain = (now: number): SchedulerAction[] => [
        ...refuseAll(queue.expire(now), now),
        ...grantWaiting(now),
    ];

    const refusalOf = (event: EventOf<SchedulerEventKind.Submit>, waiting: Waiting, now: number): RefuseReason | undefined => {
        if (event.deadlineAt <= now) {
            return RefusalKind.DeadlinePassed;
        }
        if (picker.isEmpty()) {
            return RefusalKind.NoServers;
        }
        const isFull = !picker.canServe(waiting) || !queue.admits(event.brand);
        return isFull || now + expectedWaitMs(event.brand, now) > waiting.refuseAt ? RefusalKind.NoCapacity : undefined;
    };

    const maxWaitMs = (): number => {
        const longest = cfg.maxWaitMs ?? defaultMaxWaitMs;
        return standing.stands() ? Math.min(standingMaxWaitMs, longest) : longest;
    };

    const waitingOf = (event: EventOf<SchedulerEventKind.Submit>, now: number): Waiting => {
        const { attemptId, brand, exclude, allowExcluded, deadlineAt } = event;
        const arrivedAt = event.arrivedAt ?? now;
        const latestAt = arrivedAt + (deadlineAt - arrivedAt) * waitShare;
        const refuseAt = Math.min(now + maxWaitMs(), latestAt);
        return { attemptId, brand, refuseAt, exclude, allowExcluded: allowExcluded ?? false };
    };

    const submit = (event: EventOf<SchedulerEventKind.Submit>, now: number): SchedulerAction[] => {
        if (queuedIds.has(event.attemptId) || ledger.holds(event.attemptId)) {
            return [];
        }
        const waiting = waitingOf(event, now);
        const actions = drain(now);
        const serverId = event.deadlineAt > now ? picker.pick(waiting, now)?.serverId : undefined;
        if (serverId !== undefined) {
            return [...actions, grant(event.attemptId, serverId, now)];
        }
        const reason = refusalOf(event, waiting, now);
        if (reason !== undefined) {
            return [...actions, refuse(event.attemptId, event.brand, reason, now)];
        }
        queuedIds.add(event.attemptId);
        queue.push(waiting);
        return actions;
    };

    const free = (attemptId: string, now: number): void => {
        const released = ledger.release(attemptId, now);
        if (released !== undefined) {
            estimate.learn(released.heldMs);
            standBy.ended(released.serverId, now);
        }
    };

    // Nobody waits for members that are gone.
    const refuseUnservable = (now: number): SchedulerAction[] => [
        ...refuseAll(queue.removeIf(waiting => !picker.canServe(waiting)), now),
        ...drain(now),
    ];

    const setMembers = (event: EventOf<SchedulerEventKind.Members>, now: number): SchedulerAction[] => {
        picker.setMembers(event.members);
        slowStart.update(event.members, now);
        holdBacks.keep(new Set(event.members.map(member => member.serverId)));
        return refuseUnservable(now);
    };

    const shed = (event: EventOf<SchedulerEventKind.Shed>, now: number): SchedulerAction[] => {
        const { serverId, retryAfterMs, attemptId } = event;
        const isStillHeld = attemptId === undefined;
        if (attemptId !== undefined) {
            // A shed request was not run, so its time teaches nothing about how long a slot is held.
            ledger.release(attemptId, now);
        }
        const othersInFlight = Math.max(0, ledger.inFlight(serverId) - (isStillHeld ? 1 : 0));
        standBy.shed(serverId, now);
        holdBacks.shed(serverId, { retryAfterMs, othersInFlight, now });
        return drain(now);
    };

    const handlers: Handlers = {
        [SchedulerEventKind.Submit]: submit,
        [SchedulerEventKind.Release]: (event, now) => {
            free(event.attemptId, now);
            return drain(now);
        },
        [SchedulerEventKind.Cancel]: (event, now) => {
            queuedIds.delete(event.attemptId);
            queue.remove(event.attemptId);
            return drain(now);
        },
        [SchedulerEventKind.Members]: setMembers,
        [SchedulerEventKind.Shed]: shed,
        [SchedulerEventKind.Share]: (event, now) => {
            picker.setShare(event.share);
            return refuseUnservable(now);
        },
        [SchedulerEventKind.Tick]: (_event, now) => drain(now),
    };

    const step = (event: SchedulerEvent, now: number): SchedulerAction[] => {
        const handler = handlers[event.kind] as (event: SchedulerEvent, now: number) => SchedulerAction[];
        const actions = handler(event, now);
        standing.observe(queue.size(), now);
        return actions;
    };

    const nextTickAt = (now: number): number | undefined => {
        if (queue.size() === 0) {
            return undefined;
        }
        const times = [queue.nextRefusalAt(), holdBacks.nextEndAt(now), slowStart.nextStepAt(now)];
        return Math.min(...times.filter(time => time !== undefined));
    };

    return { step, inFlight: serverId => ledger.inFlight(serverId), queued: () => queue.size(), nextTickAt };
};
