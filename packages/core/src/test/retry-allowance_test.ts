import { expect } from "chai";
import { createRandom, createRetryAllowance } from "../index.js";

const bound = { ratio: 0.2, reserve: 58, windowMs: 10_000 };
const service = "quotes";

describe("retry allowance", () => {
    for (const seed of [1, 2, 3]) {
        it(`keeps the fleet's bound in every window while all requests fail, seed ${seed}`, () => {
            const random = createRandom(seed);
            const hosts = 40;
            const allowances = Array.from({ length: hosts }, () => createRetryAllowance(bound, hosts));
            const requests: number[] = [];
            const repeats: number[] = [];
            for (let now = 0; now < 60_000; now += 10) {
                // A quiet time, a burst, and a time in which only some hosts get requests.
                const count = now % 20_000 < 5000 ? 2 : random.below(2);
                for (let index = 0; index < count; index += 1) {
                    const allowance = allowances[random.below(now > 40_000 ? 5 : hosts)]!;
                    allowance.noteRequest(service, now);
                    requests.push(now);
                    while (allowance.take(service, now)) {
                        repeats.push(now);
                    }
                }
            }
            const countIn = (times: number[], from: number): number =>
                times.filter(time => time >= from && time < from + bound.windowMs).length;
            for (let from = 0; from <= 50_000; from += 250) {
                const most = bound.ratio * countIn(requests, from) + bound.reserve;
                expect(countIn(repeats, from), `window from ${from} ms`).to.be.at.most(most);
            }
            expect(repeats.length).to.be.above(0);
        });
    }

    it("does not grow when fewer hosts are heard of", () => {
        const allowance = createRetryAllowance(bound, 40);
        allowance.setHosts(2);
        let taken = 0;
        while (allowance.take(service, 0)) {
            taken += 1;
        }
        expect(taken).to.be.at.most(bound.reserve / 40);
    });
});
