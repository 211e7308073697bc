/** Proof: at any load goodput stays high, no brand starves, and every refusal comes early and with a time to retry after. */
import { createNaiveRetryPolicy, createNaiveScheduler } from "@cassiapick/baseline";
import { createRandom, createRetryPolicy, createScheduler, SchedulerEventKind } from "@cassiapick/core";
import type { Random, RetryPolicy, Scheduler } from "@cassiapick/core";
import { AnswerKind, createFakeEntry, createFakeServer } from "./overload-fakes.js";
import type { FakeAnswer, FakeRequest, FakeServer } from "./overload-fakes.js";
import type { Proof } from "./proof.js";
import { createTimeline } from "./timeline.js";

/** Offered load as multiples of the capacity of the backend servers. */
const loadFactors = [0.5, 0.7, 0.9, 1.5, 2, 3];
const casesPerLoad = 2;

/** Target for goodput, as a fraction of the capacity in overload and of the offered load below it. */
const goodputTarget = 0.95;

/** A brand starves when it gets less than this fraction of its max-min fair share. */
const starvationShare = 0.5;

/** After this fraction of its time a request must no longer wait for a slot. */
const maxWaitShare = 0.5;
const roundingMs = 0.001;

const brands = ["heavy", "second", "third", "fourth"];
const heavyBrandShare = 0.7;
const warmUpMs = 2000;
const durationMs = 30_000;
const maxAttempts = 3;
const queueLimit = 256;

interface OverloadCase {
    loadFactor: number;
    meanServiceMs: number;
    latencyMs: number;
    /** The number of backend servers that really have one slot less than they announce. */
    overstatingServers: number;
    requests: FakeRequest[];
    servers: { announcedSlots: number; realSlots: number; }[];
}

interface Implementation {
    scheduler: Scheduler;
    retries: RetryPolicy;
}

const drawExponential = (random: Random): number => -Math.log(1 - random.next());

const drawBrand = (random: Random): string =>
    random.next() < heavyBrandShare ? brands[0]! : brands[1 + random.below(brands.length - 1)]!;

const drawRequests = (random: Random, requestsPerMs: number, meanServiceMs: number): FakeRequest[] => {
    const requests: FakeRequest[] = [];
    for (let at = 0; at < durationMs; at += drawExponential(random) / requestsPerMs) {
        requests.push({
            requestId: `request-${requests.length}`,
            brand: drawBrand(random),
            idempotent: random.next() < 0.7,
            serviceMs: meanServiceMs * (0.5 + 0.5 * drawExponential(random)),
            arrivedAt: at,
            deadlineAt: at + 1500 + random.below(2000),
        });
    }
    return requests;
};

const drawCase = (random: Random, loadFactor: number): OverloadCase => {
    const overstatingServers = random.below(2);
    const servers = Array.from(
        { length: 4 },
        (_, index) => ({ announcedSlots: 3, realSlots: index < overstatingServers ? 2 : 3 }),
    );
    const totalSlots = servers.reduce((sum, server) => sum + server.realSlots, 0);
    const meanServiceMs = 80 + random.below(120);
    const requests = drawRequests(random, loadFactor * totalSlots / meanServiceMs, meanServiceMs);
    return { loadFactor, meanServiceMs, latencyMs: 0.5 + random.next(), overstatingServers, requests, servers };
};

type Answers = Map<string, FakeAnswer>;

const runCase = (testCase: OverloadCase, implementation: Implementation): Answers => {
    const timeline = createTimeline();
    const answers: Answers = new Map();
    const servers = new Map(testCase.servers.map(({ announcedSlots, realSlots }, index): [string, FakeServer] => {
        const info = {
            serverId: `server-${index}`,
            region: "quebec",
            availabilityZone: `quebec-${index % 2}`,
            slots: announcedSlots,
        };
        return [info.serverId, createFakeServer(info, realSlots)];
    }));
    const entry = createFakeEntry({
        timeline,
        ...implementation,
        servers,
        latencyMs: () => testCase.latencyMs,
        onAnswer: (request, answer) => answers.set(request.requestId, answer),
    });
    const members = [...servers.values()].map(server => ({ ...server, cold: false, keptByFloor: false }));
    entry.feed({ kind: SchedulerEventKind.Members, members });
    for (const request of testCase.requests) {
        timeline.at(request.arrivedAt, () => entry.submit(request));
    }
    timeline.run(durationMs * 2);
    return answers;
};

/** Returns how much of the work lies in the measured window, in milliseconds. */
const workMsInWindow = (startedAt: number, workMs: number): number =>
    Math.max(0, Math.min(startedAt + workMs, durationMs) - Math.max(startedAt, warmUpMs));

const servedWorkMs = (requests: readonly FakeRequest[], answers: Answers): number =>
    requests.reduce((sum, request) => {
        const answer = answers.get(request.requestId);
        return answer?.kind === AnswerKind.Served ? sum + workMsInWindow(answer.startedAt, request.serviceMs) : sum;
    }, 0);

const offeredWorkMs = (requests: readonly FakeRequest[]): number =>
    requests.reduce((sum, request) => sum + (request.arrivedAt >= warmUpMs ? request.serviceMs : 0), 0);

/** Divides the capacity by max-min fairness: nobody gets more than its demand, and the rest is shared evenly. */
const maxMinFairShares = (demands: readonly number[], capacity: number): number[] => {
    const shares = demands.map(() => 0);
    let remaining = capacity;
    const byDemand = demands.map((_, index) => index).sort((a, b) => demands[a]! - demands[b]!);
    for (const [position, index] of byDemand.entries()) {
        shares[index] = Math.min(demands[index]!, remaining / (byDemand.length - position));
        remaining -= shares[index];
    }
    return shares;
};

const findViolation = (testCase: OverloadCase, answers: Answers): string | undefined => {
    const totalSlots = testCase.servers.reduce((sum, server) => sum + server.realSlots, 0);
    const capacityMs = totalSlots * (durationMs - warmUpMs);
    const possibleWorkMs = Math.min(capacityMs, offeredWorkMs(testCase.requests));
    const goodput = servedWorkMs(testCase.requests, answers) / possibleWorkMs;
    if (goodput < goodputTarget) {
        return `goodput ${goodput.toFixed(3)}`;
    }
    const byBrand = brands.map(brand => testCase.requests.filter(request => request.brand === brand));
    const shares = maxMinFairShares(byBrand.map(offeredWorkMs), capacityMs);
    const starved = brands.find((_, index) => servedWorkMs(byBrand[index]!, answers) < shares[index]! * starvationShare);
    if (starved !== undefined) {
        return `brand "${starved}" starved`;
    }
    const invalidRefusal = testCase.requests.find(request => isInvalidRefusal(request, answers.get(request.requestId)));
    return invalidRefusal === undefined
        ? undefined
        : `"${invalidRefusal.requestId}" was refused late, or without a time to retry after, or not answered`;
};

const isInvalidRefusal = (request: FakeRequest, answer: FakeAnswer | undefined): boolean => {
    if (answer?.kind !== AnswerKind.Refused) {
        return answer === undefined;
    }
    const maxWaitAt = request.arrivedAt + (request.deadlineAt - request.arrivedAt) * maxWaitShare;
    const isLate = answer.at > maxWaitAt + roundingMs && answer.waitedMs > 0;
    return isLate || answer.retryAfterMs <= 0;
};

const createCassiapickImplementation = (): Implementation => ({
    scheduler: createScheduler({ region: "quebec", availabilityZone: "quebec-0", queueLimit }),
    retries: createRetryPolicy({ maxAttempts }),
});

const createNaiveImplementation = (): Implementation => ({
    scheduler: createNaiveScheduler({ enforcesSlots: true }),
    retries: createNaiveRetryPolicy({ maxAttempts }),
});

/** Runs the proof of overload. */
export const proveOverload: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolations = 0;
    let cassiapickViolations = 0;
    const caseLoadFactors = loadFactors.flatMap(loadFactor => Array.from({ length: casesPerLoad }, () => loadFactor));
    for (const loadFactor of caseLoadFactors) {
        const testCase = drawCase(random, loadFactor);
        naiveViolations += findViolation(testCase, runCase(testCase, createNaiveImplementation())) === undefined ? 0 : 1;
        const violation = findViolation(testCase, runCase(testCase, createCassiapickImplementation()));
        if (violation !== undefined) {
            cassiapickViolations += 1;
            notes.push(`At ${loadFactor} times capacity: ${violation}.`);
        }
    }
    return Promise.resolve({ cases: caseLoadFactors.length, naiveViolations, cassiapickViolations, notes });
};
