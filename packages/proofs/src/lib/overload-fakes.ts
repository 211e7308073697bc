/** Test doubles around the real scheduler and retry policy: backend servers with slots, and an entry host. */
import { AttemptClass, NextStepKind, SchedulerActionKind, SchedulerEventKind } from "@cassiapick/core";
import type { AttemptEnd, RetryPolicy, Scheduler, SchedulerAction, SchedulerEvent } from "@cassiapick/core";
import type { Timeline } from "./timeline.js";

/** A backend server that runs as many requests at once as it really has slots, and sheds the rest. */
export interface FakeServer {
    serverId: string;
    region: string;
    availabilityZone: string;
    /** The number of announced slots; the server may really have fewer. */
    slots: number;
    /** Takes a slot for a request; returns false when all are taken and the request is shed. */
    tryStart(): boolean;
    /** Releases a slot. */
    finish(): void;
}

/** Creates a backend server that really has `realSlots` slots. */
export const createFakeServer = (info: Omit<FakeServer, "tryStart" | "finish">, realSlots: number): FakeServer => {
    let busySlots = 0;
    return {
        ...info,
        tryStart: () => {
            if (busySlots >= realSlots) {
                return false;
            }
            busySlots += 1;
            return true;
        },
        finish: () => {
            busySlots -= 1;
        },
    };
};

/** A request of a caller. Times are in milliseconds. */
export interface FakeRequest {
    requestId: string;
    brand: string;
    idempotent: boolean;
    /** How long a backend server takes for it. */
    serviceMs: number;
    arrivedAt: number;
    deadlineAt: number;
}

export enum AnswerKind {
    Served = "served",
    Refused = "refused",
    Failed = "failed",
}

/** The final answer of the entry host to a caller. Times are in milliseconds. */
export type FakeAnswer =
    /** `startedAt` is when the backend server began to run the request. */
    | { kind: AnswerKind.Served; at: number; startedAt: number; }
    /** `waitedMs` is how long the last attempt had waited for a slot. */
    | { kind: AnswerKind.Refused; at: number; waitedMs: number; retryAfterMs: number; }
    | { kind: AnswerKind.Failed; at: number; };

/** Counts of the attempts that an entry host sent. */
export interface FakeEntryCounts {
    attempts: number;
    sheds: number;
}

/** An entry host that drives a scheduler and a retry policy. */
export interface FakeEntry {
    submit(request: FakeRequest): void;
    /** Passes an event to the scheduler and carries out the resulting actions. */
    feed(event: SchedulerEvent): void;
    /** Stops the host: its timers do nothing any more, and its callers get no answer. */
    crash(): void;
    counts(): FakeEntryCounts;
}

/** Options of {@link createFakeEntry}. */
export interface FakeEntryCfg {
    timeline: Timeline;
    scheduler: Scheduler;
    retries: RetryPolicy;
    servers: ReadonlyMap<string, FakeServer>;
    /** Returns the one-way latency to a backend server, in milliseconds. */
    latencyMs(server: FakeServer): number;
    /** Called with the final answer to a request. */
    onAnswer(request: FakeRequest, answer: FakeAnswer): void;
    /** Called when a backend server begins to run a request, even after the deadline. */
    onStarted?(request: FakeRequest): void;
}

interface PendingRequest {
    request: FakeRequest;
    attempts: number;
    submittedAt: number;
    mayHaveRun: boolean;
    exclude: string[];
}

interface FakeAttempt {
    attemptId: string;
    pending: PendingRequest;
    server: FakeServer;
    isEnded: boolean;
    isRunning: boolean;
    startedAt: number;
}

const shedBackoffMs = 0;

/** Creates an entry host without members; a `Members` event sets them. */
export const createFakeEntry = (cfg: FakeEntryCfg): FakeEntry => {
    const { timeline, scheduler, retries, servers } = cfg;
    const pendingByAttemptId = new Map<string, PendingRequest>();
    const counts: FakeEntryCounts = { attempts: 0, sheds: 0 };
    let isCrashed = false;
    let plannedTickAt = Infinity;

    const feed = (event: SchedulerEvent): void => {
        if (!isCrashed) {
            scheduler.step(event, timeline.now()).forEach(applyAction);
            scheduleTick();
        }
    };

    const scheduleTick = (): void => {
        const at = scheduler.nextTickAt(timeline.now());
        if (at !== undefined && at < plannedTickAt) {
            plannedTickAt = at;
            timeline.at(at, () => {
                plannedTickAt = Infinity;
                feed({ kind: SchedulerEventKind.Tick });
            });
        }
    };

    const submitAttempt = (pending: PendingRequest): void => {
        pending.attempts += 1;
        pending.submittedAt = timeline.now();
        const attemptId = `${pending.request.requestId}/${pending.attempts}`;
        pendingByAttemptId.set(attemptId, pending);
        const { brand, arrivedAt, deadlineAt, idempotent } = pending.request;
        const { exclude } = pending;
        const allowExcluded = idempotent;
        feed({ kind: SchedulerEventKind.Submit, attemptId, brand, arrivedAt, deadlineAt, exclude, allowExcluded });
    };

    const applyAction = (action: SchedulerAction): void => {
        const pending = pendingByAttemptId.get(action.attemptId)!;
        pendingByAttemptId.delete(action.attemptId);
        if (action.kind === SchedulerActionKind.Refuse) {
            const at = timeline.now();
            const { retryAfterMs } = action;
            cfg.onAnswer(pending.request, { kind: AnswerKind.Refused, at, waitedMs: at - pending.submittedAt, retryAfterMs });
            return;
        }
        sendAttempt({
            attemptId: action.attemptId,
            pending,
            server: servers.get(action.serverId)!,
            isEnded: false,
            isRunning: false,
            startedAt: 0,
        });
    };

    const sendAttempt = (attempt: FakeAttempt): void => {
        counts.attempts += 1;
        timeline.after(cfg.latencyMs(attempt.server), () => arriveAtServer(attempt));
        timeline.at(attempt.pending.request.deadlineAt, () => handleTimeout(attempt));
    };

    const arriveAtServer = (attempt: FakeAttempt): void => {
        if (attempt.isEnded) {
            return;
        }
        if (!attempt.server.tryStart()) {
            counts.sheds += 1;
            timeline.after(cfg.latencyMs(attempt.server), () => endAttempt(attempt, AttemptClass.Shed));
            return;
        }
        attempt.isRunning = true;
        attempt.startedAt = timeline.now();
        cfg.onStarted?.(attempt.pending.request);
        timeline.after(attempt.pending.request.serviceMs, () => finishAttempt(attempt));
    };

    const finishAttempt = (attempt: FakeAttempt): void => {
        if (attempt.isRunning) {
            attempt.isRunning = false;
            attempt.server.finish();
            timeline.after(cfg.latencyMs(attempt.server), () => endAttempt(attempt, AttemptClass.Success));
        }
    };

    // A timeout cancels the request: the backend server releases its slot when the cancellation arrives.
    const handleTimeout = (attempt: FakeAttempt): void => {
        if (!attempt.isEnded) {
            timeline.after(cfg.latencyMs(attempt.server), () => {
                if (attempt.isRunning) {
                    attempt.isRunning = false;
                    attempt.server.finish();
                }
            });
            endAttempt(attempt, AttemptClass.Timeout);
        }
    };

    const endAttempt = (attempt: FakeAttempt, attemptClass: AttemptClass): void => {
        if (attempt.isEnded || isCrashed) {
            return;
        }
        attempt.isEnded = true;
        const { attemptId, pending, server } = attempt;
        if (attemptClass === AttemptClass.Shed) {
            feed({ kind: SchedulerEventKind.Shed, serverId: server.serverId, retryAfterMs: shedBackoffMs, attemptId });
        }
        feed({ kind: SchedulerEventKind.Release, attemptId });
        pending.mayHaveRun ||= attemptClass !== AttemptClass.Shed;
        decideNextStep(attempt, attemptClass);
    };

    const decideNextStep = (attempt: FakeAttempt, attemptClass: AttemptClass): void => {
        const { pending } = attempt;
        const { request, attempts, mayHaveRun } = pending;
        const at = timeline.now();
        const { idempotent, deadlineAt } = request;
        const attemptEnd: AttemptEnd = { attemptClass, idempotent, attempts, mayHaveRun, now: at, deadlineAt };
        const nextStep = retries.onAttemptEnd(attemptEnd);
        if (nextStep.kind === NextStepKind.Retry) {
            pending.exclude = [...pending.exclude, attempt.server.serverId];
            submitAttempt(pending);
            return;
        }
        const isServed = nextStep.kind === NextStepKind.Deliver && at <= deadlineAt;
        cfg.onAnswer(
            request,
            isServed ? { kind: AnswerKind.Served, at, startedAt: attempt.startedAt } : { kind: AnswerKind.Failed, at },
        );
    };

    const submit = (request: FakeRequest): void => {
        retries.onRequest(timeline.now());
        submitAttempt({ request, attempts: 0, submittedAt: 0, mayHaveRun: false, exclude: [] });
    };

    return {
        submit,
        feed,
        crash: () => {
            isCrashed = true;
        },
        counts: () => counts,
    };
};
