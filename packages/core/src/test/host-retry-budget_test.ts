import { expect } from "chai";
import { createHostRetryBudget, createRandom } from "../index.js";
import { createSettledRetryBudget, sendHedge, sendRetry } from "./settled-retry-budget.js";

const bound = { ratio: 0.2, reserve: 58, windowMs: 10_000 };
const service = "quotes";
/** Limits are cut to whole retries. */
const roundingDown = { ...createRandom(1), next: () => 0 };

describe("host retry budget", () => {
    for (const seed of [1, 2, 3]) {
        it(`keeps to the fleet's bound in every window while all requests fail, seed ${seed}`, () => {
            const random = createRandom(seed);
            const hostCount = 40;
            const budgets = Array.from({ length: hostCount }, () => createSettledRetryBudget(bound, hostCount, random));
            const requests: number[] = [];
            const retries: number[] = [];
            for (let now = 0; now < 60_000; now += 10) {
                // Bursts alternate with low load; later only 5 hosts receive requests.
                const count = now % 20_000 < 5000 ? 2 : random.below(2);
                for (let index = 0; index < count; index += 1) {
                    const budget = budgets[random.below(now > 40_000 ? 5 : hostCount)]!;
                    budget.recordRequest(service, now);
                    requests.push(now);
                    while (sendRetry(budget, service, now)) {
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

    /** Load: a host with a small budget, where some requests fail at once and others are slow. */
    describe("shared by retries and hedges", () => {
        const loads = [
            { name: "a service that fails 15% of its requests and is slow in 10%", failing: 0.15, slow: 0.1 },
            { name: "a service that fails 15% of its requests and is slow in 40%", failing: 0.15, slow: 0.4 },
        ];
        const play = (
            failing: number,
            slow: number,
            isHedgeLikeRetry: boolean,
        ): { denied: number; wanted: number; hedges: number; } => {
            const random = createRandom(5);
            const budget = createSettledRetryBudget({ ratio: 0.2, reserve: 160, windowMs: 10_000 }, 91, createRandom(1));
            const result = { denied: 0, wanted: 0, hedges: 0 };
            for (let now = 0; now < 600_000; now += 10) {
                if (random.next() >= 0.0125) {
                    continue;
                }
                budget.recordRequest(service, now);
                const kind = random.next();
                if (kind < failing) {
                    result.wanted += 1;
                    result.denied += sendRetry(budget, service, now) ? 0 : 1;
                }
                else if (kind < failing + slow) {
                    const isTaken = isHedgeLikeRetry ? sendRetry(budget, service, now) : sendHedge(budget, service, now);
                    result.hedges += isTaken ? 1 : 0;
                }
            }
            return result;
        };
        for (const { name, failing, slow } of loads) {
            it(`denies hedges rather than retries, at ${name}`, () => {
                const alone = play(failing, 0, false);
                const shared = play(failing, slow, false);
                const naive = play(failing, slow, true);
                expect(shared.denied / shared.wanted).to.be.below(naive.denied / naive.wanted);
                expect(shared.denied / shared.wanted).to.be.at.most(alone.denied / alone.wanted + 0.1);
            });
        }

        it("leaves the whole budget to hedges where no request fails at once", () => {
            const budget = createSettledRetryBudget(bound, 1, createRandom(1));
            let taken = 0;
            while (sendHedge(budget, service, 0)) {
                taken += 1;
            }
            expect(taken).to.equal(bound.reserve);
        });

        it("leaves a part of the budget to hedges", () => {
            const budget = createSettledRetryBudget(bound, 1, createRandom(1));
            for (let count = 0; count < 10; count += 1) {
                sendRetry(budget, service, 0);
            }
            expect(sendHedge(budget, service, 0)).to.equal(true);
        });
    });

    describe("has no part of the reserve", () => {
        const starts = [
            { name: "in the first window of its process", now: bound.windowMs - 1, hostCount: 1, hasPart: false },
            { name: "before the number of hosts is known", now: bound.windowMs, hostCount: undefined, hasPart: false },
            { name: "no longer, once both are over", now: bound.windowMs, hostCount: 1, hasPart: true },
        ];
        for (const { name, now, hostCount, hasPart } of starts) {
            it(name, () => {
                const budget = createHostRetryBudget(bound, 0, createRandom(1));
                if (hostCount !== undefined) {
                    budget.setHostCount(hostCount);
                }
                expect([budget.reserveShare(now) > 0, sendRetry(budget, service, now)]).to.deep.equal([hasPart, hasPart]);
            });
        }
    });

    it("does not grow when a lower host count is received", () => {
        const budget = createSettledRetryBudget(bound, 40, roundingDown);
        budget.setHostCount(2);
        let taken = 0;
        while (sendRetry(budget, service, 0)) {
            taken += 1;
        }
        expect(taken).to.be.at.most(bound.reserve / 40);
    });
});
