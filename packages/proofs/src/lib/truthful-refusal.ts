/** Proof: "not run" is true, a non-idempotent request runs at most once, and no final answer is withheld. */
import { createNaiveRetryPolicy, createNaiveScheduler } from "@cassiapick/baseline";
import { createRandom, createRetryPolicy, createScheduler, Outcome, SchedulerEventKind } from "@cassiapick/core";
import type { Random, RetryPolicy, Scheduler, SchedulerMember } from "@cassiapick/core";
import type { Proof } from "./proof.js";
import { createTimeline } from "./timeline.js";
import { createTrackedEntry } from "./truthful-refusal-entry.js";
import type { TrackedRequest } from "./truthful-refusal-entry.js";

const cases = 300;
const requestsPerCase = 60;
const arrivalsMs = 1500;
const shortestTimeoutMs = 100;
const timeoutRangeMs = 900;
const endMs = 10_000;
const maxAttempts = 3;
const queueLimit = 32;
const requestKind = "bookings";

/** The share of its time after which a request no longer waits for a slot. */
const waitShare = 0.5;
const roundingMs = 0.001;

interface Version {
    scheduler: Scheduler;
    retries: RetryPolicy;
}

const drawRequest = (random: Random, index: number): TrackedRequest => {
    const arrivedAt = random.below(arrivalsMs);
    return {
        requestId: `request-${index}`,
        requestKind,
        brand: `brand-${random.below(3)}`,
        idempotent: random.next() < 0.5,
        arrivedAt,
        deadlineAt: arrivedAt + shortestTimeoutMs + random.below(timeoutRangeMs),
        runs: 0,
        answers: [],
        endedAt: 0,
    };
};

const drawMembers = (random: Random): SchedulerMember[] =>
    Array.from({ length: 1 + random.below(4) }, (_, index) => ({
        serverId: `server-${index}`,
        region: "quebec",
        availabilityZone: `quebec-${index % 2}`,
        slots: 3,
        cold: random.next() < 0.2,
        keptByFloor: random.next() < 0.2,
    }));

/** Both versions get the same requests and members; what the backend servers do is drawn as the attempts come. */
const runCase = (seed: number, version: Version): TrackedRequest[] => {
    const random = createRandom(seed);
    const timeline = createTimeline();
    const requests = Array.from({ length: requestsPerCase }, (_, index) => drawRequest(random, index));
    const changes = Array.from({ length: 4 }, () => ({ at: random.below(arrivalsMs), members: drawMembers(random) }));
    const entry = createTrackedEntry({ timeline, random, ...version });
    entry.feed({ kind: SchedulerEventKind.Members, members: drawMembers(random) });
    for (const { at, members } of changes) {
        timeline.at(at, () => entry.feed({ kind: SchedulerEventKind.Members, members }));
    }
    for (const request of requests) {
        timeline.at(request.arrivedAt, () => entry.submit(request));
    }
    timeline.run(endMs);
    return requests;
};

/** After an attempt ended, and before any, a request may only wait for a slot, and not past half of its time. */
const isWithheld = (request: TrackedRequest, answeredAt: number): boolean => {
    const latestWait = request.arrivedAt + (request.deadlineAt - request.arrivedAt) * waitShare;
    const latest = Math.max(request.endedAt, latestWait) + roundingMs;
    return answeredAt > latest;
};

const findLie = (request: TrackedRequest): string | undefined => {
    const { requestId, answers, runs, idempotent } = request;
    const [answer] = answers;
    if (answer === undefined || answers.length > 1) {
        return `"${requestId}" has ${answers.length} final answers`;
    }
    if (answer.outcome === Outcome.NotRun && runs > 0) {
        return `"${requestId}" ran and was answered "not run"`;
    }
    if (!idempotent && runs > 1) {
        return `"${requestId}" is not idempotent and ran ${runs} times`;
    }
    return answer.outcome !== Outcome.Completed && isWithheld(request, answer.at)
        ? `"${requestId}" got its answer late`
        : undefined;
};

/** A policy that already knows the usual times, so that hedges are part of the cases. */
const ownRetries = (): RetryPolicy => {
    const retries = createRetryPolicy({ maxAttempts });
    for (let count = 0; count < 100; count += 1) {
        retries.onAttemptTime(requestKind, count);
    }
    return retries;
};

const ownVersion = (): Version => ({
    scheduler: createScheduler({ region: "quebec", availabilityZone: "quebec-0", queueLimit }),
    retries: ownRetries(),
});

const naiveVersion = (): Version => ({
    scheduler: createNaiveScheduler({ enforcesSlots: true }),
    retries: createNaiveRetryPolicy({ maxAttempts }),
});

/** Runs the proof of truthful refusals. */
export const proveTruthfulRefusal: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let ownViolated = 0;
    for (let index = 0; index < cases; index += 1) {
        const caseSeed = random.below(2 ** 31);
        naiveViolated += runCase(caseSeed, naiveVersion()).some(request => findLie(request) !== undefined) ? 1 : 0;
        const lie = runCase(caseSeed, ownVersion()).map(findLie).find(found => found !== undefined);
        if (lie !== undefined) {
            ownViolated += 1;
            notes.push(`Case ${index}: ${lie}.`);
        }
    }
    return Promise.resolve({ cases, naiveViolated, ownViolated, notes: notes.slice(0, 3) });
};
