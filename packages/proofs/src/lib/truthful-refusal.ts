/**
 * Proof: each request gets exactly one final answer, "not run" is true, a non-idempotent request runs at most once, and no
 * final answer other than `Completed` is delayed.
 */
import { createNaiveRetryPolicy, createNaiveScheduler } from "@cassiapick/baseline";
import { createRandom, createRetryPolicy, createScheduler, Outcome, SchedulerEventKind } from "@cassiapick/core";
import type { Random, RetryPolicy, Scheduler, SchedulerMember } from "@cassiapick/core";
import type { Proof } from "./proof.js";
import { createTimeline } from "./timeline.js";
import { createTrackedEntry } from "./truthful-refusal-entry.js";
import type { TrackedRequest } from "./truthful-refusal-entry.js";

const caseCount = 300;
const requestsPerCase = 60;
/** Requests arrive, and members change, within this time from the start of a case. */
const arrivalWindowMs = 1500;
const minTimeoutMs = 100;
/** A request's timeout is drawn from `minTimeoutMs` up to less than `minTimeoutMs + timeoutRangeMs`. */
const timeoutRangeMs = 900;
/** Simulated time at which a case ends; by then every deadline has passed. */
const endMs = 10_000;
const maxAttempts = 3;
const queueLimit = 32;
const requestKind = "bookings";

/** The fraction of the time from arrival to deadline after which a request must no longer wait for a slot. */
const maxWaitShare = 0.5;
/** Tolerance for rounding errors when times are compared. */
const toleranceMs = 0.001;

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
 * Whether an answer came later than allowed: after the end of the request's last attempt and also after `maxWaitShare`
 * of the time from its arrival to its deadline, since a request with no attempt in flight may only wait for a slot.
 */
const isAnsweredTooLate = (request: TrackedRequest, answeredAt: number): boolean => {
    const maxWaitAt = request.arrivedAt + (request.deadlineAt - request.arrivedAt) * maxWaitShare;
    const latestAllowedAt = Math.max(request.endedAt, maxWaitAt) + toleranceMs;
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

/** Creates a retry policy that has already recorded attempt times: without enough of them it sends no hedges. */
const createRetryPolicyWithHistory = (): RetryPolicy => {
    const retries = createRetryPolicy({ maxAttempts });
    for (let attempt = 0; attempt < 100; attempt += 1) {
        retries.onAttemptTime(requestKind, attempt);
    }
    return retries;
};

const createCassiapickImplementation = (): Implementation => ({
    scheduler: createScheduler({ region: "quebec", availabilityZone: "quebec-0", queueLimit }),
    retries: createRetryPolicyWithHistory(),
});

const createNaiveImplementation = (): Implementation => ({
    scheduler: createNaiveScheduler({ enforcesSlots: true }),
    retries: createNaiveRetryPolicy({ maxAttempts }),
});

/** Runs every case against both implementations and counts the cases in which a request breaks the guarantee. */
export const proveTruthfulRefusal: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolations = 0;
    let cassiapickViolations = 0;
    for (let index = 0; index < caseCount; index += 1) {
        const caseSeed = random.below(2 ** 31);
        naiveViolations += runCase(caseSeed, createNaiveImplementation()).some(request => findViolation(request) !== undefined)
            ? 1
            : 0;
        const violation = runCase(caseSeed, createCassiapickImplementation()).map(findViolation).find(candidate =>
            candidate !== undefined
        );
        if (violation !== undefined) {
            cassiapickViolations += 1;
            notes.push(`Case ${index}: ${violation}.`);
        }
    }
    return Promise.resolve({ cases: caseCount, naiveViolations, cassiapickViolations, notes: notes.slice(0, 3) });
};
