/** Drives a scheduler and a retry policy as an entry host does: attempts, hedges, cancellation, answers. */
import { AttemptClass, NextStepKind, Outcome, SchedulerActionKind, SchedulerEventKind } from "@cassiapick/core";
import type { Random, RetryPolicy, Scheduler, SchedulerAction, SchedulerEvent } from "@cassiapick/core";
import type { Timeline } from "./timeline.js";
import { startRun } from "./truthful-refusal-server.js";
import type { FakeRun } from "./truthful-refusal-server.js";

/** A request and what became of it. Times are in milliseconds. */
export interface TrackedRequest {
    requestId: string;
    requestKind: string;
    brand: string;
    idempotent: boolean;
    arrivedAt: number;
    deadlineAt: number;
    /** How often a backend server ran it, up to the end of the case. */
    runs: number;
    /** Every final answer; exactly one is right. */
    answers: { outcome: Outcome; at: number; }[];
    /** When its last attempt ended without success and nothing further was in flight. */
    endedAt: number;
}

/** Options of {@link createTrackedEntry}. */
export interface TrackedEntryCfg {
    timeline: Timeline;
    random: Random;
    scheduler: Scheduler;
    retries: RetryPolicy;
}

/** The entry host. */
export interface TrackedEntry {
    submit(request: TrackedRequest): void;
    feed(event: SchedulerEvent): void;
}

interface Job {
    request: TrackedRequest;
    submitted: number;
    started: number;
    mayHaveRun: boolean;
    exclude: string[];
    waiting: Set<string>;
    flying: Map<string, Flight>;
}

interface Flight {
    serverId: string;
    startedAt: number;
    run: FakeRun;
}

const isSafe = (attemptClass: AttemptClass): boolean =>
    attemptClass === AttemptClass.Shed || attemptClass === AttemptClass.NotSent;

/** Creates the entry host. */
export const createTrackedEntry = (cfg: TrackedEntryCfg): TrackedEntry => {
    const { timeline, random, scheduler, retries } = cfg;
    const jobs = new Map<string, Job>();
    let plannedTickAt = Infinity;

    const feed = (event: SchedulerEvent): void => {
        scheduler.step(event, timeline.now()).forEach(apply);
        planTick();
    };

    const planTick = (): void => {
        const at = scheduler.nextTickAt(timeline.now());
        if (at !== undefined && at < plannedTickAt) {
            plannedTickAt = at;
            timeline.at(at, () => {
                plannedTickAt = Infinity;
                feed({ kind: SchedulerEventKind.Tick });
            });
        }
    };

    const answer = (job: Job, outcome: Outcome): void => {
        job.request.answers.push({ outcome, at: timeline.now() });
        for (const attemptId of job.waiting) {
            feed({ kind: SchedulerEventKind.Cancel, attemptId });
        }
        for (const [attemptId, flight] of job.flying) {
            flight.run.cancel();
            feed({ kind: SchedulerEventKind.Release, attemptId });
        }
        job.waiting.clear();
        job.flying.clear();
    };

    const submitAttempt = (job: Job): void => {
        job.submitted += 1;
        const { requestId, brand, arrivedAt, deadlineAt, idempotent } = job.request;
        const attemptId = `${requestId}/${job.submitted}`;
        jobs.set(attemptId, job);
        job.waiting.add(attemptId);
        const { exclude } = job;
        feed({ kind: SchedulerEventKind.Submit, attemptId, brand, arrivedAt, deadlineAt, exclude, allowExcluded: idempotent });
    };

    const apply = (action: SchedulerAction): void => {
        const { attemptId } = action;
        const job = jobs.get(attemptId)!;
        job.waiting.delete(attemptId);
        if (action.kind === SchedulerActionKind.Grant) {
            send(job, attemptId, action.serverId);
            return;
        }
        // A hedge that gets no slot changes nothing while the first attempt runs.
        if (job.flying.size + job.waiting.size === 0) {
            answer(job, job.mayHaveRun ? Outcome.Unknown : Outcome.NotRun);
        }
    };

    const send = (job: Job, attemptId: string, serverId: string): void => {
        job.started += 1;
        job.exclude = [...job.exclude, serverId];
        const { request } = job;
        const run = startRun({
            timeline,
            random,
            ran: () => {
                request.runs += 1;
            },
            ended: attemptClass => end(job, attemptId, attemptClass),
        });
        job.flying.set(attemptId, { serverId, startedAt: timeline.now(), run });
        timeline.at(request.deadlineAt, () => end(job, attemptId, AttemptClass.Timeout));
        planHedge(job);
    };

    const planHedge = (job: Job): void => {
        const { requestKind, idempotent, deadlineAt } = job.request;
        const afterMs = retries.hedgeAfterMs(requestKind);
        if (afterMs === undefined) {
            return;
        }
        timeline.after(afterMs, () => {
            const wish = { requestKind, idempotent, attempts: job.started, now: timeline.now(), deadlineAt };
            if (job.flying.size === 1 && job.waiting.size === 0 && retries.takeHedge(wish)) {
                submitAttempt(job);
            }
        });
    };

    const end = (job: Job, attemptId: string, attemptClass: AttemptClass): void => {
        const flight = job.flying.get(attemptId);
        if (flight === undefined) {
            return;
        }
        job.mayHaveRun ||= !isSafe(attemptClass);
        if (attemptClass === AttemptClass.Timeout) {
            flight.run.cancel();
        }
        if (attemptClass === AttemptClass.Shed) {
            feed({ kind: SchedulerEventKind.Shed, serverId: flight.serverId, retryAfterMs: 0, attemptId });
        }
        feed({ kind: SchedulerEventKind.Release, attemptId });
        // Only now: were it gone before, a hedge that the release refuses would answer the request in its place.
        job.flying.delete(attemptId);
        follow(job, attemptClass, timeline.now() - flight.startedAt);
    };

    const follow = (job: Job, attemptClass: AttemptClass, durationMs: number): void => {
        const { requestKind, idempotent, deadlineAt } = job.request;
        const now = timeline.now();
        if (attemptClass === AttemptClass.Success) {
            retries.onAttemptTime(requestKind, durationMs);
        }
        else if (job.flying.size + job.waiting.size > 0) {
            return;
        }
        job.request.endedAt = now;
        const attempts = job.started;
        const { mayHaveRun } = job;
        const next = retries.onAttemptEnd({ attemptClass, idempotent, attempts, mayHaveRun, now, deadlineAt, requestKind });
        const handlers: Record<NextStepKind, () => void> = {
            [NextStepKind.Deliver]: () => answer(job, Outcome.Completed),
            [NextStepKind.Retry]: () => submitAttempt(job),
            [NextStepKind.GiveUp]: () => answer(job, next.kind === NextStepKind.GiveUp ? next.outcome : Outcome.Unknown),
        };
        handlers[next.kind]();
    };

    const submit = (request: TrackedRequest): void => {
        retries.onRequest(timeline.now());
        const job = { request, submitted: 0, started: 0, mayHaveRun: false, exclude: [] };
        submitAttempt({ ...job, waiting: new Set(), flying: new Map() });
    };

    return { submit, feed };
};
