/** Proof: at any load goodput holds, no brand starves, and every refusal is early and says when to ask again. */
import { createNaiveRetryPolicy, createNaiveScheduler } from "@cassiapick/baseline";
import { createRandom, createRetryPolicy, createScheduler, SchedulerEventKind } from "@cassiapick/core";
import type { Random, RetryPolicy, Scheduler } from "@cassiapick/core";
import { AnswerKind, createFakeEntry, createFakeServer } from "./overload-fakes.js";
import type { FakeAnswer, FakeRequest, FakeServer } from "./overload-fakes.js";
import type { Proof } from "./proof.js";
import { createTimeline } from "./timeline.js";

/** Multiples of what the backend servers can do. */
const loads = [0.5, 0.7, 0.9, 1.5, 2, 3];
const casesPerLoad = 2;

/** The stated target: goodput in overload, as a share of capacity, and of what is offered below it. */
const goodputTarget = 0.95;

/** A brand starves when it gets less than this part of its max-min fair share. */
const starvationShare = 0.5;

/** A request that is refused after this part of its time must not have waited for a slot any more. */
const lateRefusalShare = 0.5;
const roundingMs = 0.001;

const brands = ["loud", "second", "third", "fourth"];
const loudShare = 0.7;
const warmUpMs = 2000;
const durationMs = 30_000;
const maxAttempts = 3;
const queueLimit = 256;

interface OverloadCase {
    load: number;
    meanServiceMs: number;
    latencyMs: number;
    /** How many of the backend servers have a slot less than they announce. */
    misleading: number;
    requests: FakeRequest[];
    servers: { announced: number; real: number; }[];
}

interface Version {
    scheduler: Scheduler;
    retries: RetryPolicy;
}

const drawExponential = (random: Random): number => -Math.log(1 - random.next());

const drawBrand = (random: Random): string =>
    random.next() < loudShare ? brands[0]! : brands[1 + random.below(brands.length - 1)]!;

const drawRequests = (random: Random, perMs: number, meanServiceMs: number): FakeRequest[] => {
    const requests: FakeRequest[] = [];
    for (let at = 0; at < durationMs; at += drawExponential(random) / perMs) {
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

const drawCase = (random: Random, load: number): OverloadCase => {
    const misleading = random.below(2);
    const servers = Array.from({ length: 4 }, (_, index) => ({ announced: 3, real: index < misleading ? 2 : 3 }));
    const slots = servers.reduce((sum, server) => sum + server.real, 0);
    const meanServiceMs = 80 + random.below(120);
    const requests = drawRequests(random, load * slots / meanServiceMs, meanServiceMs);
    return { load, meanServiceMs, latencyMs: 0.5 + random.next(), misleading, requests, servers };
};

type Answers = Map<string, FakeAnswer>;

const runCase = (drawn: OverloadCase, version: Version): Answers => {
    const timeline = createTimeline();
    const answers: Answers = new Map();
    const servers = new Map(drawn.servers.map(({ announced, real }, index): [string, FakeServer] => {
        const info = { serverId: `server-${index}`, region: "quebec", availabilityZone: `quebec-${index % 2}`, slots: announced };
        return [info.serverId, createFakeServer(info, real)];
    }));
    const entry = createFakeEntry({
        timeline,
        ...version,
        servers,
        latencyMs: () => drawn.latencyMs,
        answer: (request, answer) => answers.set(request.requestId, answer),
    });
    const members = [...servers.values()].map(server => ({ ...server, cold: false, keptByFloor: false }));
    entry.feed({ kind: SchedulerEventKind.Members, members });
    for (const request of drawn.requests) {
        timeline.at(request.arrivedAt, () => entry.submit(request));
    }
    timeline.run(durationMs * 2);
    return answers;
};

/** The part of the work that lies in the measured window. */
const clip = (startedAt: number, workMs: number): number =>
    Math.max(0, Math.min(startedAt + workMs, durationMs) - Math.max(startedAt, warmUpMs));

const servedWork = (requests: readonly FakeRequest[], answers: Answers): number =>
    requests.reduce((sum, request) => {
        const answer = answers.get(request.requestId);
        return answer?.kind === AnswerKind.Served ? sum + clip(answer.startedAt, request.serviceMs) : sum;
    }, 0);

const offeredWork = (requests: readonly FakeRequest[]): number =>
    requests.reduce((sum, request) => sum + (request.arrivedAt >= warmUpMs ? request.serviceMs : 0), 0);

/** Divides the capacity so that nobody gets more than is asked, and the rest is shared evenly. */
const fairShares = (asked: readonly number[], capacity: number): number[] => {
    const shares = asked.map(() => 0);
    let left = capacity;
    const order = asked.map((_, index) => index).sort((a, b) => asked[a]! - asked[b]!);
    for (const [position, index] of order.entries()) {
        shares[index] = Math.min(asked[index]!, left / (order.length - position));
        left -= shares[index];
    }
    return shares;
};

const findViolation = (drawn: OverloadCase, answers: Answers): string | undefined => {
    const slots = drawn.servers.reduce((sum, server) => sum + server.real, 0);
    const capacity = slots * (durationMs - warmUpMs);
    const bound = Math.min(capacity, offeredWork(drawn.requests));
    const goodput = servedWork(drawn.requests, answers) / bound;
    if (goodput < goodputTarget) {
        return `goodput ${goodput.toFixed(3)}`;
    }
    const byBrand = brands.map(brand => drawn.requests.filter(request => request.brand === brand));
    const shares = fairShares(byBrand.map(offeredWork), capacity);
    const starved = brands.find((_, index) => servedWork(byBrand[index]!, answers) < shares[index]! * starvationShare);
    if (starved !== undefined) {
        return `brand "${starved}" starved`;
    }
    const late = drawn.requests.find(request => isBadRefusal(request, answers.get(request.requestId)));
    return late === undefined ? undefined : `"${late.requestId}" was refused late, or without a time, or not answered`;
};

const isBadRefusal = (request: FakeRequest, answer: FakeAnswer | undefined): boolean => {
    if (answer?.kind !== AnswerKind.Refused) {
        return answer === undefined;
    }
    const latestAt = request.arrivedAt + (request.deadlineAt - request.arrivedAt) * lateRefusalShare;
    const isLate = answer.at > latestAt + roundingMs && answer.waitedMs > 0;
    return isLate || answer.retryAfterMs <= 0;
};

const ownVersion = (): Version => ({
    scheduler: createScheduler({ region: "quebec", availabilityZone: "quebec-0", queueLimit }),
    retries: createRetryPolicy({ maxAttempts }),
});

const naiveVersion = (): Version => ({
    scheduler: createNaiveScheduler({ enforcesSlots: true }),
    retries: createNaiveRetryPolicy({ maxAttempts }),
});

/** Runs the proof of overload. */
export const proveOverload: Proof = options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let ownViolated = 0;
    const drawnLoads = loads.flatMap(load => Array.from({ length: casesPerLoad }, () => load));
    for (const load of drawnLoads) {
        const drawn = drawCase(random, load);
        naiveViolated += findViolation(drawn, runCase(drawn, naiveVersion())) === undefined ? 0 : 1;
        const violation = findViolation(drawn, runCase(drawn, ownVersion()));
        if (violation !== undefined) {
            ownViolated += 1;
            notes.push(`At ${load} times capacity: ${violation}.`);
        }
    }
    return Promise.resolve({ cases: drawnLoads.length, naiveViolated, ownViolated, notes });
};
