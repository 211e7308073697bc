/** Small fakes around the real scheduler and retry policy: backend servers with slots, and an entry host. */
import { AttemptClass, NextStepKind, SchedulerActionKind, SchedulerEventKind } from "@cassiapick/core";
import type { AttemptEnd, RetryPolicy, Scheduler, SchedulerAction, SchedulerEvent } from "@cassiapick/core";
import type { Timeline } from "./timeline.js";

/** A backend server that runs at most `slots` requests and sheds the rest. */
export interface FakeServer {
    serverId: string;
    region: string;
    availabilityZone: string;
    /** The slots that it announces; it may really have fewer. */
    slots: number;
    /** Takes a slot, or sheds. */
    start(): boolean;
    finish(): void;
}

/** Creates a backend server. */
export const createFakeServer = (info: Omit<FakeServer, "start" | "finish">, realSlots: number): FakeServer => {
    let busy = 0;
    return {
        ...info,
        start: () => {
            if (busy >= realSlots) {
                return false;
            }
            busy += 1;
            return true;
        },
        finish: () => {
            busy -= 1;
        },
    };
};

/** A request of a caller. Times are in milliseconds. */
export interface FakeRequest {
    requestId: string;
    brand: string;
    idempotent: boolean;
    /** How long a backend server works on it. */
    serviceMs: number;
    arrivedAt: number;
    deadlineAt: number;
}

export enum AnswerKind {
    Served = "served",
    Refused = "refused",
    Failed = "failed",
}

/** What the entry host answered. */
export type FakeAnswer =
    /** `startedAt` is when the backend server began. */
    | { kind: AnswerKind.Served; at: number; startedAt: number; }
    /** `waitedMs` is how long it had waited for a slot. */
    | { kind: AnswerKind.Refused; at: number; waitedMs: number; retryAfterMs: number; }
    | { kind: AnswerKind.Failed; at: number; };

/** Counts of what an entry host sent. */
export interface FakeEntryCounts {
    attempts: number;
    sheds: number;
}

/** An entry host that drives a scheduler and a retry policy. */
export interface FakeEntry {
    submit(request: FakeRequest): void;
    feed(event: SchedulerEvent): void;
    /** The host stops: its timers do nothing any more, and its callers get no answer. */
    crash(): void;
    counts(): FakeEntryCounts;
}

/** Options of {@link createFakeEntry}. */
export interface FakeEntryCfg {
    timeline: Timeline;
    scheduler: Scheduler;
    retries: RetryPolicy;
    servers: ReadonlyMap<string, FakeServer>;
    /** One-way latency to a backend server, in milliseconds. */
    latencyMs(server: FakeServer): number;
    answer(request: FakeRequest, answer: FakeAnswer): void;
    /** Called at the backend server when it begins to work, in time or not. */
    ran?(request: FakeRequest): void;
}

interface Job {
    request: FakeRequest;
    attempts: number;
    submittedAt: number;
    mayHaveRun: boolean;
    exclude: string[];
}

interface Attempt {
    attemptId: string;
    job: Job;
    server: FakeServer;
    ended: boolean;
    running: boolean;
    startedAt: number;
}

const shedPauseMs = 0;

/** Creates an entry host. */
export const createFakeEntry = (cfg: FakeEntryCfg): FakeEntry => {
    const { timeline, scheduler, retries, servers } = cfg;
    const jobs = new Map<string, Job>();
    const counts: FakeEntryCounts = { attempts: 0, sheds: 0 };
    let crashed = false;
    let tickAt = Infinity;

    const feed = (event: SchedulerEvent): void => {
        if (!crashed) {
            scheduler.step(event, timeline.now()).forEach(apply);
            planTick();
        }
    };

    const planTick = (): void => {
        const at = scheduler.nextTickAt(timeline.now());
        if (at !== undefined && at < tickAt) {
            tickAt = at;
            timeline.at(at, () => {
                tickAt = Infinity;
                feed({ kind: SchedulerEventKind.Tick });
            });
        }
    };

    const submitJob = (job: Job): void => {
        job.attempts += 1;
        job.submittedAt = timeline.now();
        const attemptId = `${job.request.requestId}/${job.attempts}`;
        jobs.set(attemptId, job);
        const { brand, arrivedAt, deadlineAt, idempotent } = job.request;
        const { exclude } = job;
        const allowExcluded = idempotent;
        feed({ kind: SchedulerEventKind.Submit, attemptId, brand, arrivedAt, deadlineAt, exclude, allowExcluded });
    };

    const apply = (action: SchedulerAction): void => {
        const job = jobs.get(action.attemptId)!;
        jobs.delete(action.attemptId);
        if (action.kind === SchedulerActionKind.Refuse) {
            const at = timeline.now();
            const { retryAfterMs } = action;
            cfg.answer(job.request, { kind: AnswerKind.Refused, at, waitedMs: at - job.submittedAt, retryAfterMs });
            return;
        }
        send({
            attemptId: action.attemptId,
            job,
            server: servers.get(action.serverId)!,
            ended: false,
            running: false,
            startedAt: 0,
        });
    };

    const send = (attempt: Attempt): void => {
        counts.attempts += 1;
        timeline.after(cfg.latencyMs(attempt.server), () => reach(attempt));
        timeline.at(attempt.job.request.deadlineAt, () => timeOut(attempt));
    };

    const reach = (attempt: Attempt): void => {
        if (attempt.ended) {
            return;
        }
        if (!attempt.server.start()) {
            counts.sheds += 1;
            timeline.after(cfg.latencyMs(attempt.server), () => end(attempt, AttemptClass.Shed));
            return;
        }
        attempt.running = true;
        attempt.startedAt = timeline.now();
        cfg.ran?.(attempt.job.request);
        timeline.after(attempt.job.request.serviceMs, () => finish(attempt));
    };

    const finish = (attempt: Attempt): void => {
        if (attempt.running) {
            attempt.running = false;
            attempt.server.finish();
            timeline.after(cfg.latencyMs(attempt.server), () => end(attempt, AttemptClass.Success));
        }
    };

    // The backend server takes the cancellation and frees its slot.
    const timeOut = (attempt: Attempt): void => {
        if (!attempt.ended) {
            timeline.after(cfg.latencyMs(attempt.server), () => {
                if (attempt.running) {
                    attempt.running = false;
                    attempt.server.finish();
                }
            });
            end(attempt, AttemptClass.Timeout);
        }
    };

    const end = (attempt: Attempt, attemptClass: AttemptClass): void => {
        if (attempt.ended || crashed) {
            return;
        }
        attempt.ended = true;
        const { attemptId, job, server } = attempt;
        if (attemptClass === AttemptClass.Shed) {
            feed({ kind: SchedulerEventKind.Shed, serverId: server.serverId, retryAfterMs: shedPauseMs, attemptId });
        }
        feed({ kind: SchedulerEventKind.Release, attemptId });
        job.mayHaveRun ||= attemptClass !== AttemptClass.Shed;
        follow(attempt, attemptClass);
    };

    const follow = (attempt: Attempt, attemptClass: AttemptClass): void => {
        const { job } = attempt;
        const { request, attempts, mayHaveRun } = job;
        const at = timeline.now();
        const { idempotent, deadlineAt } = request;
        const attemptEnd: AttemptEnd = { attemptClass, idempotent, attempts, mayHaveRun, now: at, deadlineAt };
        const next = retries.onAttemptEnd(attemptEnd);
        if (next.kind === NextStepKind.Retry) {
            job.exclude = [...job.exclude, attempt.server.serverId];
            submitJob(job);
            return;
        }
        const isServed = next.kind === NextStepKind.Deliver && at <= deadlineAt;
        cfg.answer(
            request,
            isServed ? { kind: AnswerKind.Served, at, startedAt: attempt.startedAt } : { kind: AnswerKind.Failed, at },
        );
    };

    const submit = (request: FakeRequest): void => {
        retries.onRequest(timeline.now());
        submitJob({ request, attempts: 0, submittedAt: 0, mayHaveRun: false, exclude: [] });
    };

    return {
        submit,
        feed,
        crash: () => {
            crashed = true;
        },
        counts: () => counts,
    };
};
