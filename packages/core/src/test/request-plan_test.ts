import { expect } from "chai";
import { createRequestPlan, Repeatability, SendOutcome, Step } from "../index.js";

const { Repeatable, AtMostOnce } = Repeatability;
const { Answered, Broken, Declined, NotSent, ServerError, TimedOut, WrongServer } = SendOutcome;

interface Case {
    name: string;
    repeatability: Repeatability;
    maxServers?: number;
    outcomes: SendOutcome[];
    repeats?: number;
    leftMs?: number;
    expected: Step;
}

const cases: Case[] = [
    { name: "delivers an answer", repeatability: AtMostOnce, outcomes: [Answered], expected: Step.Deliver },
    { name: "never repeats what may have run", repeatability: AtMostOnce, outcomes: [Broken], expected: Step.Fail },
    { name: "never repeats what a server failed", repeatability: AtMostOnce, outcomes: [ServerError], expected: Step.Deliver },
    { name: "sends on what was declined", repeatability: AtMostOnce, outcomes: [Declined], expected: Step.SendAgain },
    { name: "sends on what met another server", repeatability: AtMostOnce, outcomes: [WrongServer], expected: Step.SendAgain },
    {
        name: "sends on without a repeat what never left",
        repeatability: AtMostOnce,
        outcomes: [NotSent],
        repeats: 0,
        expected: Step.SendAgain,
    },
    {
        name: "refuses what was declined when no repeat is left",
        repeatability: AtMostOnce,
        outcomes: [Declined],
        repeats: 0,
        expected: Step.Refuse,
    },
    {
        name: "refuses what was declined when no time is left",
        repeatability: AtMostOnce,
        outcomes: [Declined],
        leftMs: 10,
        expected: Step.Refuse,
    },
    {
        name: "does not refuse what may have run before",
        repeatability: Repeatable,
        outcomes: [Broken, Declined],
        repeats: 1,
        expected: Step.Fail,
    },
    { name: "repeats what is repeatable", repeatability: Repeatable, outcomes: [Broken], expected: Step.SendAgain },
    {
        name: "repeats on no more servers than the route allows",
        repeatability: Repeatable,
        outcomes: [Broken, TimedOut],
        expected: Step.Fail,
    },
    {
        name: "counts no server that did not run it",
        repeatability: Repeatable,
        outcomes: [Declined, Broken],
        expected: Step.SendAgain,
    },
    {
        name: "repeats nothing on one server",
        repeatability: Repeatable,
        maxServers: 1,
        outcomes: [ServerError],
        expected: Step.Deliver,
    },
    {
        name: "stops when nothing finds room",
        repeatability: AtMostOnce,
        outcomes: [Declined, Declined, Declined, Declined],
        expected: Step.Refuse,
    },
];

describe("request plan", () => {
    for (const { name, repeatability, maxServers = 2, outcomes, repeats = 10, leftMs = 1000, expected } of cases) {
        it(name, () => {
            let left = repeats;
            const takeRepeat = (): boolean => {
                left -= 1;
                return left >= 0;
            };
            const plan = createRequestPlan({ repeatability, maxServers, giveUpAt: leftMs, takeRepeat });
            const steps = outcomes.map(outcome => {
                plan.began();
                return plan.ended(outcome, 0);
            });
            expect(steps.at(-1)).to.equal(expected);
            expect(steps.slice(0, -1).every(step => step === Step.SendAgain)).to.equal(true);
        });
    }

    it("never tells that a request has not run after a send that may have run it", () => {
        const outcomes = Object.values(SendOutcome);
        const notRun = new Set([Declined, NotSent, WrongServer]);
        for (const first of outcomes) {
            for (const second of outcomes) {
                const plan = createRequestPlan({
                    repeatability: Repeatable,
                    maxServers: 3,
                    giveUpAt: 1000,
                    takeRepeat: () => true,
                });
                const steps = [first, second].map(outcome => {
                    plan.began();
                    return plan.ended(outcome, 990);
                });
                if (steps.includes(Step.Refuse)) {
                    expect(steps[0] === Step.Refuse ? notRun.has(first) : notRun.has(first) && notRun.has(second)).to.equal(true);
                }
            }
        }
    });

    it("waits for a hedge, and hedges only what is repeatable", () => {
        const plan = createRequestPlan({ repeatability: Repeatable, maxServers: 2, giveUpAt: 1000, takeRepeat: () => true });
        plan.began();
        expect(plan.mayHedge(0)).to.equal(true);
        plan.began();
        expect(plan.mayHedge(0)).to.equal(false);
        expect(plan.ended(Broken, 0)).to.equal(Step.Wait);
        expect(plan.ended(Answered, 0)).to.equal(Step.Deliver);
        const once = createRequestPlan({ repeatability: AtMostOnce, maxServers: 2, giveUpAt: 1000, takeRepeat: () => true });
        once.began();
        expect(once.mayHedge(0)).to.equal(false);
    });
});
