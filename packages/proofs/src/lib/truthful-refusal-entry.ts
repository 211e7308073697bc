/** Drives a scheduler and a retry policy as an entry host does, with attempts, hedges, cancellations and answers. */
import { AttemptClass, NextStepKind, Outcome, SchedulerActionKind, SchedulerEventKind } from "@cassiapick/core";
import type { Random, RetryPolicy, Scheduler, SchedulerAction, SchedulerEvent } from "@cassiapick/core";
import type { Timeline } from "./timeline.js";
import { startRun } from "./truthful-refusal-server.js";
import type { FakeRun } from "./truthful-refusal-server.js";

/** A request and the record of its runs and answers. Times are in milliseconds. */
export interface TrackedRequest {
    requestId: string;
    requestKind: string;
    brand: string;
    idempotent: boolean;
    arrivedAt: number;
    deadlineAt: number;
    /** How often backend servers ran it, up to the end of the case. */
    runs: number;
    /** The final answers; there must be exactly one. */
    answers: { outcome: Outcome; at: number; }[];
    /** When its last attempt ended; a failed attempt does not count while others are queued or in flight. */
    endedAt: number;
}

/** Options of {@link createTrackedEntry}. */
export interface TrackedEntryCfg {
    timeline: Timeline;
    random: Random;
    scheduler: Scheduler;
    retries: RetryPolicy;
}

/** An entry host that records runs and answers. */
export interface TrackedEntry {
    submit(request: TrackedRequest): void;
    /** Passes an event to the scheduler and carries out the resulting actions. */
    feed(event: SchedulerEvent): void;
}

interface PendingRequest {
    request: TrackedRequest;
    submittedAttempts: number;
    startedAttempts: number;
    mayHaveRun: boolean;
    exclude: string[];
    /** Attempts that wait for a slot. */
    queuedAttemptIds: Set<string>;
    /** Attempts in flight, by attempt id. */
    inFlight: Map<string, InFlightAttempt>;
}

interface InFlightAttempt {
    serverId: string;
    startedAt: number;
    run: FakeRun;
}

const isCertainlyNotRun = (attemptClass: AttemptClass): boolean =>
    attemptClass === AttemptClass.Shed || attemptClass === AttemptClass.NotSent;

/** Creates an entry host without members; a `Members` event sets them. */
export const createTrackedEntry = (cfg: TrackedEntryCfg): TrackedEntry => {
    const { timeline, random, scheduler, retries } = cfg;
    const pendingByAttemptId = new Map<string, PendingRequest>();
    let plannedTickAt = Infinity;

    const feed = (event: SchedulerEvent): void => {
        scheduler.step(event, timeline.now()).forEach(applyAction);
        scheduleTick();
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

    const sendAnswer = (pending: PendingRequest, outcome: Outcome): void => {
        pending.request.answers.push({ outcome, at: timeline.now() });
        for (const attemptId of pending.queuedAttemptIds) {
            feed({ kind: SchedulerEventKind.Cancel, attemptId });
        }
        for (const [attemptId, attempt] of pending.inFlight) {
            attempt.run.cancel();
            feed({ kind: SchedulerEventKind.Release, attemptId });
        }
        pending.queuedAttemptIds.clear();
        pending.inFlight.clear();
    };

    const submitAttempt = (pending: PendingRequest): void => {
        pending.submittedAttempts += 1;
        const { requestId, brand, arrivedAt, deadlineAt, idempotent } = pending.request;
        const attemptId = `${requestId}/${pending.submittedAttempts}`;
        pendingByAttemptId.set(attemptId, pending);
        pending.queuedAttemptIds.add(attemptId);
        const { exclude } = pending;
        feed({ kind: SchedulerEventKind.Submit, attemptId, brand, arrivedAt, deadlineAt, exclude, allowExcluded: idempotent });
    };

    const applyAction = (action: SchedulerAction): void => {
        const { attemptId } = action;
        const pending = pendingByAttemptId.get(attemptId)!;
        pending.queuedAttemptIds.delete(attemptId);
        if (action.kind === SchedulerActionKind.Grant) {
            sendAttempt(pending, attemptId, action.serverId);
            return;
        }
        // A hedge that gets no slot changes nothing while another attempt is in flight or queued.
        if (pending.inFlight.size + pending.queuedAttemptIds.size === 0) {
            sendAnswer(pending, pending.mayHaveRun ? Outcome.Unknown : Outcome.NotRun);
        }
    };

    const sendAttempt = (pending: PendingRequest, attemptId: string, serverId: string): void => {
        pending.startedAttempts += 1;
        pending.exclude = [...pending.exclude, serverId];
        const { request } = pending;
        const run = startRun({
            timeline,
            random,
            onRun: () => {
                request.runs += 1;
            },
            onEnd: attemptClass => endAttempt(pending, attemptId, attemptClass),
        });
        pending.inFlight.set(attemptId, { serverId, startedAt: timeline.now(), run });
        timeline.at(request.deadlineAt, () => endAttempt(pending, attemptId, AttemptClass.Timeout));
        scheduleHedge(pending);
    };

    const scheduleHedge = (pending: PendingRequest): void => {
        const { requestKind, idempotent, deadlineAt } = pending.request;
        const afterMs = retries.hedgeAfterMs(requestKind);
        if (afterMs === undefined) {
            return;
        }
        timeline.after(afterMs, () => {
            const hedgeRequest = { requestKind, idempotent, attempts: pending.startedAttempts, now: timeline.now(), deadlineAt };
            if (pending.inFlight.size === 1 && pending.queuedAttemptIds.size === 0 && retries.takeHedge(hedgeRequest)) {
                submitAttempt(pending);
            }
        });
    };

    const endAttempt = (pending: PendingRequest, attemptId: string, attemptClass: AttemptClass): void => {
        const attempt = pending.inFlight.get(attemptId);
        if (attempt === undefined) {
            return;
        }
        pending.mayHaveRun ||= !isCertainlyNotRun(attemptClass);
        if (attemptClass === AttemptClass.Timeout) {
            attempt.run.cancel();
        }
        if (attemptClass === AttemptClass.Shed) {
            feed({ kind: SchedulerEventKind.Shed, serverId: attempt.serverId, retryAfterMs: 0, attemptId });
        }
        feed({ kind: SchedulerEventKind.Release, attemptId });
        // Removed only after the release: otherwise a hedge that the release refuses would send the answer to the request.
        pending.inFlight.delete(attemptId);
        decideNextStep(pending, attemptClass, timeline.now() - attempt.startedAt);
    };

    const decideNextStep = (pending: PendingRequest, attemptClass: AttemptClass, durationMs: number): void => {
        const { requestKind, idempotent, deadlineAt } = pending.request;
        const now = timeline.now();
        if (attemptClass === AttemptClass.Success) {
            retries.onAttemptTime(requestKind, durationMs);
        }
        else if (pending.inFlight.size + pending.queuedAttemptIds.size > 0) {
            return;
        }
        pending.request.endedAt = now;
        const attempts = pending.startedAttempts;
        const { mayHaveRun } = pending;
        const nextStep = retries.onAttemptEnd({ attemptClass, idempotent, attempts, mayHaveRun, now, deadlineAt, requestKind });
        const stepHandlers: Record<NextStepKind, () => void> = {
            [NextStepKind.Deliver]: () => sendAnswer(pending, Outcome.Completed),
            [NextStepKind.Retry]: () => submitAttempt(pending),
            [NextStepKind.GiveUp]: () =>
                sendAnswer(pending, nextStep.kind === NextStepKind.GiveUp ? nextStep.outcome : Outcome.Unknown),
        };
        stepHandlers[nextStep.kind]();
    };

    const submit = (request: TrackedRequest): void => {
        retries.onRequest(timeline.now());
        const pending = { request, submittedAttempts: 0, startedAttempts: 0, mayHaveRun: false, exclude: [] };
        submitAttempt({ ...pending, queuedAttemptIds: new Set(), inFlight: new Map() });
    };

    return { submit, feed };
};
