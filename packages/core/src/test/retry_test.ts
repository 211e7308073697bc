import { expect } from "chai";
import { AttemptClass, createRandom, createRetryPolicy, NextStepKind, Outcome } from "../index.js";
import type { AttemptEnd, NextStep, RetryPolicy } from "../index.js";

const end = (options: Partial<AttemptEnd>): AttemptEnd => ({
    attemptClass: AttemptClass.Cut,
    idempotent: false,
    attempts: 1,
    mayHaveRun: false,
    now: 0,
    deadlineAt: 1000,
    ...options,
});

const describeStep = (step: NextStep): string => step.kind === NextStepKind.GiveUp ? step.outcome : step.kind;

const { Retry, Deliver } = NextStepKind;
const { NotRun, Unknown } = Outcome;

describe("retry policy", () => {
    const attemptClasses = Object.values(AttemptClass);
    const cases: { name: string; options: Partial<AttemptEnd>; steps: string[]; }[] = [
        {
            name: "non-idempotent, first attempt",
            options: {},
            steps: [Deliver, Deliver, Retry, Retry, Unknown, Unknown, Unknown, Unknown],
        },
        {
            name: "non-idempotent that may have run",
            options: { mayHaveRun: true },
            steps: [Deliver, Deliver, Unknown, Unknown, Unknown, Unknown, Unknown, Unknown],
        },
        {
            name: "non-idempotent, last attempt",
            options: { attempts: 3 },
            steps: [Deliver, Deliver, NotRun, NotRun, Unknown, Unknown, Unknown, Unknown],
        },
        {
            name: "idempotent, first attempt",
            options: { idempotent: true },
            steps: [Deliver, Retry, Retry, Retry, Retry, Retry, Retry, Unknown],
        },
        {
            name: "idempotent past its deadline",
            options: { idempotent: true, now: 1000 },
            steps: [Deliver, Deliver, NotRun, NotRun, Unknown, Unknown, Unknown, Unknown],
        },
    ];
    for (const { name, options, steps } of cases) {
        it(name, () => {
            const policy = createRetryPolicy({ maxAttempts: 3 });
            const found = attemptClasses.map(attemptClass =>
                describeStep(policy.onAttemptEnd(end({ ...options, attemptClass })))
            );
            expect(found).to.deep.equal(steps);
        });
    }

    const retriesOf = (policy: RetryPolicy, attemptClass: AttemptClass, requests: number): number => {
        let retries = 0;
        for (let request = 0; request < requests; request += 1) {
            policy.onRequest(0);
            retries += policy.onAttemptEnd(end({ attemptClass, idempotent: true })).kind === Retry ? 1 : 0;
        }
        return retries;
    };

    const budgets = [
        { attemptClass: AttemptClass.Cut, retries: 120 },
        { attemptClass: AttemptClass.Shed, retries: 600 },
    ];
    for (const { attemptClass, retries } of budgets) {
        it(`keeps retries after "${attemptClass}" within the budget`, () => {
            // The budget holds 20 tokens initially and gains 0.1 token for each of 1,000 requests.
            expect(retriesOf(createRetryPolicy({ maxAttempts: 3 }), attemptClass, 1000)).to.be.closeTo(retries, 2);
        });
    }

    it("starts no retry that is unlikely to end before the deadline", () => {
        const policy = createRetryPolicy({ maxAttempts: 3 });
        for (let count = 0; count < 60; count += 1) {
            policy.onAttemptTime("seat-maps", 100);
        }
        const late = end({ idempotent: true, requestKind: "seat-maps", now: 920 });
        expect(describeStep(policy.onAttemptEnd(late))).to.equal(Unknown);
    });
});

describe("hedges", () => {
    it("wait for a high quantile of the kind's durations", () => {
        const random = createRandom(5);
        const policy = createRetryPolicy({ maxAttempts: 3 });
        expect(policy.hedgeAfterMs("seat-maps")).to.equal(undefined);
        for (let count = 0; count < 5000; count += 1) {
            policy.onAttemptTime("seat-maps", random.next() * 100);
        }
        expect(policy.hedgeAfterMs("seat-maps")).to.be.within(90, 106);
    });

    it("share the retry budget and are never sent for a non-idempotent request", () => {
        const policy = createRetryPolicy({ maxAttempts: 3 });
        const hedgeRequest = { requestKind: "seat-maps", idempotent: true, attempts: 1, now: 0, deadlineAt: 1000 };
        expect(policy.takeHedge({ ...hedgeRequest, idempotent: false })).to.equal(false);
        const taken = Array.from({ length: 30 }, () => policy.takeHedge(hedgeRequest));
        expect(taken.filter(Boolean).length).to.equal(20);
    });
});
