/** Proof: "not run" is true, a non-idempotent request runs at most once, and no final answer is delayed. */
import { createNaiveRetryPolicy, createNaiveScheduler } from "@cassiapick/baseline";
import { createRandom, createRetryPolicy, createScheduler, Outcome, SchedulerEventKind } from "@cassiapick/core";
import type { Random, RetryPolicy, Scheduler, SchedulerMember } from "@cassiapick/core";
import type { Proof } from "./proof.js";
import { createTimeline } from "./timeline.js";
import { createTrackedEntry } from "./truthful-refusal-entry.js";
import type { TrackedRequest } from "./truthful-refusal-entry.js";

const caseCount = 300;
const requestsPerCase = 60;
const arrivalWindowMs = 1500;
const minTimeoutMs = 100;
const timeoutRangeMs = 900;
const endMs = 10_000;
const maxAttempts = 3;
const queueLimit = 32;
const requestKind = "bookings";

/** The fraction of its time after which a request must no longer wait for a slot. */
const maxWaitShare = 0.5;
const roundingMs = 0.001;

interface Implementation {
    scheduler: Scheduler;
    retries: RetryPolicy;
}

const drawRequest = (random: Random, index: number): TrackedRequest => {
    const arrivedAt = random.below(arrivalWindowMs);
    return {
        requestId: `request-${index}`,
        requestKind,
        brand: `brand-${random.below(3)}`,
        idempotent: random.next() < 0.5,
        arrivedAt,
        deadlineAt: arrivedAt + minTimeoutMs + random.below(timeoutRangeMs),
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

/** Runs one case. Both implementations get the same requests and members; server behaviours are drawn for each attempt. */
const runCase = (seed: number, implementation: Implementation): TrackedRequest[] => {
    const random = createRandom(seed);
    const timeline = createTimeline();
    const requests = Array.from({ length: requestsPerCase }, (_, index) => drawRequest(random, index));
    const memberChanges = Array.from({ length: 4 }, () => ({ at: random.below(arrivalWindowMs), members: drawMembers(random) }));
    const entry = createTrackedEntry({ timeline, random, ...implementation });
    entry.feed({ kind: SchedulerEventKind.Members, members: drawMembers(random) });
    for (const { at, members } of memberChanges) {
        timeline.at(at, () => entry.feed({ kind: SchedulerEventKind.Members, members }));
    }
    for (const request of requests) {
        timeline.at(request.arrivedAt, () => entry.submit(request));
    }
    timeline.run(endMs);
    return requests;
};

/**
 * Whether an answer came later than allowed. After its last attempt has ended, or without any attempt, a request may
 * only wait for a slot, and not past half of its time.
 */
const isAnsweredTooLate = (request: TrackedRequest, answeredAt: number): boolean => {
    const maxWaitAt = request.arrivedAt + (request.deadlineAt - request.arrivedAt) * maxWaitShare;
    const latestAllowedAt = Math.max(request.endedAt, maxWaitAt) + roundingMs;
    return answeredAt > latestAllowedAt;
};

const findViolation = (request: TrackedRequest): string | undefined => {
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
    return answer.outcome !== Outcome.Completed && isAnsweredTooLate(request, answer.at)
        ? `"${requestId}" got its answer late`
        : undefined;
};

/** Creates a retry policy that has already recorded attempt times, so that the cases include hedges. */
const createTrainedRetryPolicy = (): RetryPolicy => {
    const retries = createRetryPolicy({ maxAttempts });
    for (let attempt = 0; attempt < 100; attempt += 1) {
        retries.onAttemptTime(requestKind, attempt);
    }
    return retries;
};

const createCassiapickImplementation = (): Implementation => ({
    scheduler: createScheduler({ region: "quebec", availabilityZone: "quebec-0", queueLimit }),
    retries: createTrainedRetryPolicy(),
});

const createNaiveImplementation = (): Implementation => ({
    scheduler: createNaiveScheduler({ enforcesSlots: true }),
    retries: createNaiveRetryPolicy({ maxAttempts }),
});

/** Runs the proof of truthful refusals. */
export const proveTruthfulRefusal: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let cassiapickViolated = 0;
    for (let index = 0; index < caseCount; index += 1) {
        const caseSeed = random.below(2 ** 31);
        naiveViolated += runCase(caseSeed, createNaiveImplementation()).some(request => findViolation(request) !== undefined)
            ? 1
            : 0;
        const violation = runCase(caseSeed, createCassiapickImplementation()).map(findViolation).find(candidate =>
            candidate !== undefined
        );
        if (violation !== undefined) {
            cassiapickViolated += 1;
            notes.push(`Case ${index}: ${violation}.`);
        }
    }
    return Promise.resolve({ cases: caseCount, naiveViolated, cassiapickViolated, notes: notes.slice(0, 3) });
};
