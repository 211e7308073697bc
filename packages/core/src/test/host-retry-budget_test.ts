import { expect } from "chai";
import { createHostRetryBudget, createRandom } from "../index.js";

const bound = { ratio: 0.2, reserve: 58, windowMs: 10_000 };
const service = "quotes";

describe("host retry budget", () => {
    for (const seed of [1, 2, 3]) {
        it(`keeps to the fleet's bound in every window while all requests fail, seed ${seed}`, () => {
            const random = createRandom(seed);
            const hostCount = 40;
            const budgets = Array.from({ length: hostCount }, () => createHostRetryBudget(bound, hostCount));
            const requests: number[] = [];
            const retries: number[] = [];
            for (let now = 0; now < 60_000; now += 10) {
                // Bursts alternate with low load; later only 5 hosts receive requests.
                const count = now % 20_000 < 5000 ? 2 : random.below(2);
                for (let index = 0; index < count; index += 1) {
                    const budget = budgets[random.below(now > 40_000 ? 5 : hostCount)]!;
                    budget.recordRequest(service, now);
                    requests.push(now);
                    while (budget.tryTake(service, now)) {
                        retries.push(now);
                    }
                }
            }
            const countIn = (times: number[], from: number): number =>
                times.filter(time => time >= from && time < from + bound.windowMs).length;
            for (let from = 0; from <= 50_000; from += 250) {
                const limit = bound.ratio * countIn(requests, from) + bound.reserve;
                expect(countIn(retries, from), `window from ${from} ms`).to.be.at.most(limit);
            }
            expect(retries.length).to.be.above(0);
        });
    }

    it("does not grow when a lower host count is received", () => {
        const budget = createHostRetryBudget(bound, 40);
        budget.setHostCount(2);
        let taken = 0;
        while (budget.tryTake(service, 0)) {
            taken += 1;
        }
        expect(taken).to.be.at.most(bound.reserve / 40);
    });
});
