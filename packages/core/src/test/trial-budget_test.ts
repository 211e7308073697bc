import { expect } from "chai";
import { createTrialBudget } from "../lib/gateway/trial-budget.js";

/** Takes as many connections as the budget gives, one each `stepMs`, from `fromMs` for `forMs`. */
const takeAll = (budget: ReturnType<typeof createTrialBudget>, fromMs: number, forMs: number, stepMs: number): number => {
    let taken = 0;
    for (let now = fromMs; now < fromMs + forMs; now += stepMs) {
        taken += budget.tryTake(now) ? 1 : 0;
    }
    return taken;
};

const cases = [
    { name: "at once", idleMs: 0, forMs: 6, least: 5, most: 5 },
    { name: "in ten seconds", idleMs: 0, forMs: 10_000, least: 12, most: 13 },
    { name: "after a long pause, as at the start", idleMs: 3_600_000, forMs: 6, least: 5, most: 5 },
    { name: "in an hour", idleMs: 0, forMs: 3_600_000, least: 2880, most: 2885 },
];

// Guards against a host that opens connection after connection to find out which servers it reaches.
describe("budget of trial connections", () => {
    for (const { name, idleMs, forMs, least, most } of cases) {
        it(`gives ${least} to ${most} connections ${name}`, () => {
            const budget = createTrialBudget();
            takeAll(budget, 0, 100, 1);
            const used = idleMs === 0 ? createTrialBudget() : budget;
            expect(takeAll(used, 100 + idleMs, forMs, 1)).to.be.within(least, most);
        });
    }
});
