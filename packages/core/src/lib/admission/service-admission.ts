/**
 * Admission to one service on one entry host. While a server has a free slot, a request is sent at once. While room is short, a
 * request waits at the host, where its place is decided by its priority, its slack and the work that it needs, or it is refused
 * as soon as it is known that it can't be served in time. What waits has not run.
 */
import type { Random } from "../random.js";
import { AdmissionRefusal } from "./admission-request.js";
import type { AdmissionDecision, AdmissionRequest, ServiceRoom } from "./admission-request.js";
import { createCallerAges } from "./caller-ages.js";
import { createRepeatGuard } from "./repeat-guard.js";
import { createReturnTimes } from "./return-times.js";
import { createServerPlaces } from "./server-places.js";
import { createServiceFloors } from "./service-floors.js";
import { compareStandings, findUnservable, standingOf } from "./waiting-order.js";
import type { Standing } from "./waiting-order.js";
import type { WorkEstimate } from "./work-estimate.js";

/** Options of {@link createServiceAdmission}. */
export interface ServiceAdmissionCfg {
    random: Random;
    work: WorkEstimate;
    /** Number of entry hosts that share the servers. */
    hostCount: () => number;
    maxWaiting?: number;
}

/** How an attempt at a server ended. */
export interface AdmittedEnd {
    route: string;
    objectiveMs: number;
    elapsedMs: number;
    /** Whether an answer came, or the server was full. Other ends say nothing about room. */
    outcome: "answered" | "declined";
    /** Whether the server had no free slot, as far as was known, when the request was sent. */
    wasQueued: boolean;
}

/** The requests of one service that wait at one host. Times are in milliseconds of the host's clock. */
export interface ServiceAdmission<T extends AdmissionRequest> {
    /** Adds a request; whether it waits is decided by {@link ServiceAdmission.next}. */
    arrive(req: T, now: number): void;
    /** Returns the next decision; `undefined` if the others have to wait. To be called again until then. */
    next(room: ServiceRoom, now: number): AdmissionDecision<T> | undefined;
    /** Removes a request whose caller has left. */
    remove(req: T): void;
    /** Records the end of an attempt at a server. */
    attemptEnded(end: AdmittedEnd, now: number): void;
    /** Returns when a caller that is refused for another reason may come back; `undefined` while room is not short. */
    retryAfterMs(req: AdmissionRequest): number | undefined;
    /** Whether requests lately found no room. */
    isShort(): boolean;
    size(): number;
}

const defaultMaxWaiting = 300;
/** Of the time that the most urgent have for waiting, this fraction may pass at a server. */
const bearableFraction = 0.35;
/** A priority counts as present for this long after its last request. */
const presentMs = 4000;
/** Time constant of the measured rate of service. */
const rateMs = 2000;
/**
 * A request is refused before its time only if it could not be served with this many times the expected room, as a burst may end:
 * a caller that is refused returns several times, one that waits does not.
 */
const optimism = 4;
/** A request that servers declined may wait at a host again; it returns after a random part of the time that a slot takes to become free. */
const returnJitter = { min: 0.5, range: 1 } as const;

/** While servers decline requests, a host sends at most this many times its part of what all can serve, and this many at once. */
const paceFactor = 4;
const paceBurst = 2;

interface WaitingSince {
    since: number;
    /** Estimated time of the caller's first attempt. */
    firstSentAt: number;
}

interface PriorityState {
    lastSeenAt: number;
    bearableMs: number;
}

/** Creates the admission of a service without requests. */
export const createServiceAdmission = <T extends AdmissionRequest>(cfg: ServiceAdmissionCfg): ServiceAdmission<T> => {
    const { work } = cfg;
    const waiting = new Map<T, WaitingSince>();
    const callerAges = createCallerAges();
    const places = createServerPlaces();
    const floors = createServiceFloors();
    const returnTimes = createReturnTimes(cfg.random);
    const guard = createRepeatGuard();
    const priorities = new Map<number, PriorityState>();
    const early: { req: T; remainingMs: number; }[] = [];
    let hasFreeSlot = true;
    let lastRoom: ServiceRoom | undefined;
    /** Work that was sent to servers, in milliseconds, with exponential decay. */
    const sentWork = { sumMs: 0, updatedAt: 0 };

    const pace = { tokens: paceBurst, updatedAt: 0 };

    const groupsOf = ({ priority, workspace }: AdmissionRequest): string[] =>
        workspace === undefined ? [`priority ${priority}`] : [`priority ${priority}`, `workspace ${workspace}`];

    const rankOf = (priority: number, now: number): number => {
        let rank = 0;
        for (const [other, { lastSeenAt }] of priorities) {
            rank += other < priority && now - lastSeenAt < presentMs ? 1 : 0;
        }
        return rank;
    };

    const bearableMs = (now: number): number => {
        let urgent: { priority: number; bearableMs: number; } | undefined;
        for (const [priority, state] of priorities) {
            if (now - state.lastSeenAt < presentMs && priority < (urgent?.priority ?? Infinity)) {
                urgent = { priority, bearableMs: state.bearableMs };
            }
        }
        return urgent?.bearableMs ?? Infinity;
    };

    const recordSentWork = (amountMs: number, now: number): number => {
        sentWork.sumMs = sentWork.sumMs * Math.exp(-Math.max(0, now - sentWork.updatedAt) / rateMs) + amountMs;
        sentWork.updatedAt = now;
        return sentWork.sumMs / rateMs;
    };

    /** Slots that this host may expect: its part of all, or more if it has had more lately. */
    const expectedSlots = (slots: number, now: number): number =>
        Math.max(slots / Math.max(1, cfg.hostCount()), recordSentWork(0, now), 0.01);

    const standings = (now: number): Standing<T>[] =>
        [...waiting]
            .map(([req, { firstSentAt }]) =>
                standingOf(req, firstSentAt, work, groupsOf(req).some(group => floors.isBelow(group, now)))
            )
            .sort((a, b) => compareStandings(a, b, now));

    const retryAfterMs = (req: AdmissionRequest, now: number): number => {
        const slots = expectedSlots(lastRoom?.slots ?? 0, now);
        const ahead = [...waiting.keys()].filter(other => other.priority <= req.priority)
            .reduce((sum, other) => sum + work.workMs(other.route, other.objectiveMs), 0);
        const serviceMs = work.workMs(req.route, req.objectiveMs) / slots;
        return returnTimes.next({ priority: req.priority, backlogMs: ahead / slots, serviceMs }, now);
    };

    const refuse = (req: T, refusal: AdmissionRefusal, now: number, remainingMs?: number): AdmissionDecision<T> => {
        const waitedMs = now - (waiting.get(req)?.since ?? now);
        waiting.delete(req);
        const delayMs = remainingMs ?? retryAfterMs(req, now);
        guard.recordRefusal(req.requestKey, delayMs, now);
        return { kind: "refuse", req, waitedMs, retryAfterMs: delayMs, refusal };
    };

    const send = (req: T, now: number): AdmissionDecision<T> => {
        const waitedMs = now - (waiting.get(req)?.since ?? now);
        waiting.delete(req);
        groupsOf(req).forEach(group => floors.recordSend(group, now));
        pace.tokens = Math.max(-paceBurst, pace.tokens - 1);
        recordSentWork(work.workMs(req.route, req.objectiveMs), now);
        return { kind: "send", req, waitedMs };
    };

    /** Sends beyond the slots follow the rate at which this host's part of the room serves, as hosts don't see each other's sends at once. */
    const isPaced = (room: ServiceRoom, workMs: number, now: number): boolean => {
        const ratePerMs = paceFactor * room.slots / Math.max(1, cfg.hostCount()) / Math.max(1, workMs);
        pace.tokens = Math.min(paceBurst, pace.tokens + ratePerMs * (now - pace.updatedAt));
        pace.updatedAt = now;
        return pace.tokens >= 1;
    };

    const mayBeSent = ({ req, isBelowFloor, workMs }: Standing<T>, room: ServiceRoom, now: number): boolean =>
        (!places.isOverestimated() || isPaced(room, workMs, now))
        && room.excess < places.places({
                rank: isBelowFloor ? 0 : rankOf(req.priority, now),
                workMs,
                bearableMs: bearableMs(now),
                slotsPerServer: room.slotsPerServer,
            });

    const addWaiting = (req: T, now: number): void => {
        const ageMs = callerAges.ageMs(req.route, req.deadlineAt - req.arrivedAt);
        waiting.set(req, { since: now, firstSentAt: req.arrivedAt - ageMs });
    };

    return {
        arrive: (req, now) => {
            const { priority, objectiveMs, route, arrivedAt, deadlineAt } = req;
            if (!places.isShort()) {
                callerAges.record(route, deadlineAt - arrivedAt);
            }
            groupsOf(req).forEach(group => floors.recordArrival(group, now));
            const bearable = bearableFraction * Math.max(0, objectiveMs - work.workMs(route, objectiveMs));
            priorities.set(priority, { lastSeenAt: now, bearableMs: bearable });
            const remainingMs = guard.remainingMs(req.requestKey, now);
            if (remainingMs > 0) {
                early.push({ req, remainingMs });
                return;
            }
            addWaiting(req, now);
        },
        next: (room, now) => {
            hasFreeSlot = room.slots === 0 || room.excess < 0;
            lastRoom = room;
            places.recordRoom(room.excess, now);
            const repeated = early.pop();
            if (repeated !== undefined && !hasFreeSlot) {
                return refuse(repeated.req, AdmissionRefusal.RepeatedTooEarly, now, repeated.remainingMs);
            }
            if (repeated !== undefined) {
                addWaiting(repeated.req, now);
            }
            const [oldest] = waiting.keys();
            if (oldest === undefined) {
                return undefined;
            }
            // While room is not short nothing has to be compared.
            if (!places.isShort()) {
                return send(oldest, now);
            }
            const ordered = standings(now);
            const [first] = ordered;
            if (
                first !== undefined && now < first.req.deadlineAt
                && (hasFreeSlot || (now <= first.deadlineStartBy && mayBeSent(first, room, now)))
            ) {
                return send(first.req, now);
            }
            const [unservable] = findUnservable(ordered, optimism * expectedSlots(room.slots, now), now);
            if (unservable !== undefined) {
                const hasExpired = now > unservable.deadlineStartBy;
                return refuse(unservable.req, hasExpired ? AdmissionRefusal.Expired : AdmissionRefusal.NoRoomInTime, now);
            }
            const last = ordered.at(-1);
            return last !== undefined && waiting.size > (cfg.maxWaiting ?? defaultMaxWaiting)
                ? refuse(last.req, AdmissionRefusal.QueueFull, now)
                : undefined;
        },
        remove: req => {
            waiting.delete(req);
        },
        attemptEnded: ({ route, objectiveMs, elapsedMs, outcome, wasQueued }, now) => {
            if (outcome === "answered") {
                const waitMs = elapsedMs - work.workMs(route, objectiveMs);
                work.record(route, elapsedMs, wasQueued);
                if (!hasFreeSlot) {
                    places.recordWait(waitMs, bearableMs(now), now);
                }
            }
            else if (!hasFreeSlot) {
                places.recordDecline(now);
            }
        },
        retryAfterMs: req =>
            places.isShort()
                ? work.workMs(req.route, req.objectiveMs) * (returnJitter.min + returnJitter.range * cfg.random.next())
                : undefined,
        isShort: () => places.isShort(),
        size: () => waiting.size,
    };
};
