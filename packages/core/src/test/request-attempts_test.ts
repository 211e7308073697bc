import { expect } from "chai";
import { AttemptOutcome, createRequestAttempts, Repeatability, RequestAction } from "../index.js";

const { Repeatable, AtMostOnce } = Repeatability;
const { Answered, Broken, Declined, NotSent, ServerError, TimedOut, WrongServer } = AttemptOutcome;

interface Case {
    name: string;
    repeatability: Repeatability;
    maxServers?: number;
    outcomes: AttemptOutcome[];
    retries?: number;
    remainingMs?: number;
    expected: RequestAction;
}

const cases: Case[] = [
    { name: "delivers an answer", repeatability: AtMostOnce, outcomes: [Answered], expected: RequestAction.Deliver },
    {
        name: "never retries an at-most-once request that may have run",
        repeatability: AtMostOnce,
        outcomes: [Broken],
        expected: RequestAction.Fail,
    },
    {
        name: "never retries an at-most-once request after a server error",
        repeatability: AtMostOnce,
        outcomes: [ServerError],
        expected: RequestAction.Deliver,
    },
    {
        name: "retries a request that was declined",
        repeatability: AtMostOnce,
        outcomes: [Declined],
        expected: RequestAction.Retry,
    },
    {
        name: "retries a request that reached another server",
        repeatability: AtMostOnce,
        outcomes: [WrongServer],
        expected: RequestAction.Retry,
    },
    {
        name: "retries a request that was never sent, without using the retry budget",
        repeatability: AtMostOnce,
        outcomes: [NotSent],
        retries: 0,
        expected: RequestAction.Retry,
    },
    {
        name: "refuses a declined request when no retry is left",
        repeatability: AtMostOnce,
        outcomes: [Declined],
        retries: 0,
        expected: RequestAction.Refuse,
    },
    {
        name: "refuses a declined request when no time is left",
        repeatability: AtMostOnce,
        outcomes: [Declined],
        remainingMs: 10,
        expected: RequestAction.Refuse,
    },
    {
        name: "does not refuse a request that an earlier attempt may have run",
        repeatability: Repeatable,
        outcomes: [Broken, Declined],
        retries: 1,
        expected: RequestAction.Fail,
    },
    { name: "retries a repeatable request", repeatability: Repeatable, outcomes: [Broken], expected: RequestAction.Retry },
    {
        name: "runs a request on no more servers than the route allows",
        repeatability: Repeatable,
        outcomes: [Broken, TimedOut],
        expected: RequestAction.Fail,
    },
    {
        name: "does not count servers that did not run the request",
        repeatability: Repeatable,
        outcomes: [Declined, Broken],
        expected: RequestAction.Retry,
    },
    {
        name: "does not retry when the route allows one server",
        repeatability: Repeatable,
        maxServers: 1,
        outcomes: [ServerError],
        expected: RequestAction.Deliver,
    },
    {
        name: "stops when every server declines",
        repeatability: AtMostOnce,
        outcomes: [Declined, Declined, Declined, Declined],
        expected: RequestAction.Refuse,
    },
];

describe("request attempts", () => {
    for (const { name, repeatability, maxServers = 2, outcomes, retries = 10, remainingMs = 1000, expected } of cases) {
        it(name, () => {
            let retriesLeft = retries;
            const tryTakeRetry = (): boolean => {
                retriesLeft -= 1;
                return retriesLeft >= 0;
            };
            const attempts = createRequestAttempts({ repeatability, maxServers, deadlineAt: remainingMs, tryTakeRetry });
            const actions = outcomes.map(outcome => {
                attempts.attemptStarted();
                return attempts.attemptEnded(outcome, 0);
            });
            expect(actions.at(-1)).to.equal(expected);
            expect(actions.slice(0, -1).every(action => action === RequestAction.Retry)).to.equal(true);
        });
    }

    it("never reports a request as not run after an attempt that may have run it", () => {
        const outcomes = Object.values(AttemptOutcome);
        const notRunOutcomes = new Set([Declined, NotSent, WrongServer]);
        for (const first of outcomes) {
            for (const second of outcomes) {
                const attempts = createRequestAttempts({
                    repeatability: Repeatable,
                    maxServers: 3,
                    deadlineAt: 1000,
                    tryTakeRetry: () => true,
                });
                const actions = [first, second].map(outcome => {
                    attempts.attemptStarted();
                    return attempts.attemptEnded(outcome, 990);
                });
                if (actions.includes(RequestAction.Refuse)) {
                    expect(
                        actions[0] === RequestAction.Refuse
                            ? notRunOutcomes.has(first)
                            : notRunOutcomes.has(first) && notRunOutcomes.has(second),
                    ).to
                        .equal(true);
                }
            }
        }
    });

    it("waits for a hedged attempt, and hedges only repeatable requests", () => {
        const attempts = createRequestAttempts({
            repeatability: Repeatable,
            maxServers: 2,
            deadlineAt: 1000,
            tryTakeRetry: () => true,
        });
        attempts.attemptStarted();
        expect(attempts.tryHedge(0)).to.equal(true);
        attempts.attemptStarted();
        expect(attempts.tryHedge(0)).to.equal(false);
        expect(attempts.attemptEnded(Broken, 0)).to.equal(RequestAction.Wait);
        expect(attempts.attemptEnded(Answered, 0)).to.equal(RequestAction.Deliver);
        const unrepeatable = createRequestAttempts({
            repeatability: AtMostOnce,
            maxServers: 2,
            deadlineAt: 1000,
            tryTakeRetry: () => true,
        });
        unrepeatable.attemptStarted();
        expect(unrepeatable.tryHedge(0)).to.equal(false);
    });
});
