/** Load: many hosts of an availability zone share servers with two slots, and know each other's requests only late. */
import { expect } from "chai";
import { createRandom } from "../index.js";
import { chooseNearEqual } from "../lib/gateway/near-equal-choice.js";
import type { Candidate } from "../lib/gateway/near-equal-choice.js";

const candidate = (value: number, cost: number, group = "a1"): Candidate<number> => ({ value, group, cost });

/** Returns how often each of the candidates is chosen, as a fraction. */
const sharesOf = (candidates: readonly Candidate<number>[], margin: number): Map<number, number> => {
    const random = createRandom(1);
    const draws = 20_000;
    const shares = new Map<number, number>();
    for (let draw = 0; draw < draws; draw += 1) {
        const value = chooseNearEqual(candidates, margin, random)!;
        shares.set(value, (shares.get(value) ?? 0) + 1 / draws);
    }
    return shares;
};

/** Chances in a finite number of draws. */
const tolerance = 0.01;

describe("choice among near-equal servers", () => {
    const cases: { name: string; candidates: Candidate<number>[]; chosen: number[]; }[] = [
        { name: "the only server", candidates: [candidate(1, 3)], chosen: [1] },
        {
            name: "no server that costs more than the margin above the best",
            candidates: [candidate(1, 0), candidate(2, 0.3)],
            chosen: [1],
        },
        { name: "the better one of two", candidates: [candidate(1, 0.1), candidate(2, 0)], chosen: [2] },
        {
            name: "no server of another zone than the best one's",
            candidates: [candidate(1, 0), candidate(2, 0.01, "a2"), candidate(3, 0.02, "b1")],
            chosen: [1],
        },
        {
            name: "all near-equal ones but the worst",
            candidates: [candidate(1, 0), candidate(2, 0.05), candidate(3, 0.1)],
            chosen: [1, 2],
        },
    ];
    for (const { name, candidates, chosen } of cases) {
        it(`takes ${name}`, () => {
            expect([...sharesOf(candidates, 0.2).keys()].sort()).to.deep.equal(chosen);
        });
    }

    it("takes none if there is none", () => {
        expect(chooseNearEqual([], 0.2, createRandom(1))).to.equal(undefined);
    });

    for (const count of [4, 16, 40]) {
        it(`sends a server that has just become free at most two parts in ${count} of the requests`, () => {
            const candidates = Array.from({ length: count }, (_, index) => candidate(index, index === 0 ? 0 : 0.1));
            expect(sharesOf(candidates, 0.2).get(0)).to.be.at.most(2 / count + tolerance);
            expect(sharesOf(candidates, 0).get(0)).to.be.at.least(1 - tolerance);
        });
    }

    it("lets fewer requests queue than the least loaded server by late reports, and than one random server", () => {
        const slots = 2;
        const serverCount = 16;
        const runMs = 150;
        // Two intervals of 100 ms, at the host and at the state host, half of each on average.
        const reportMs = 100;
        /** Fraction of the requests that find all slots of their server in use, at 0.4 of the room. */
        const queuedFraction = (choose: (loads: readonly number[], draw: () => number) => number): number => {
            const random = createRandom(7);
            const perMs = 0.4 * serverCount * slots / runMs;
            const running = Array<number>(serverCount).fill(0);
            const reported = Array<number>(serverCount).fill(0);
            const changes: { at: number; server: number; by: number; target: number[]; }[] = [];
            let requests = 0;
            let queued = 0;
            for (let now = 0; now < 60_000; now += 1) {
                while (changes.length > 0 && changes[0]!.at <= now) {
                    const { server, by, target } = changes.shift()!;
                    target[server]! += by;
                }
                if (random.next() < perMs) {
                    const server = choose(reported, () => random.next());
                    requests += 1;
                    queued += running[server]! >= slots ? 1 : 0;
                    running[server]! += 1;
                    changes.push(
                        { at: now + runMs, server, by: -1, target: running },
                        { at: now + reportMs, server, by: 1, target: reported },
                        { at: now + runMs + reportMs, server, by: -1, target: reported },
                    );
                    changes.sort((a, b) => a.at - b.at);
                }
            }
            return queued / requests;
        };
        const costsOf = (loads: readonly number[], draw: () => number): Candidate<number>[] =>
            loads.map((load, server) => candidate(server, 0.05 * load + 0.02 * draw()));
        const random = createRandom(11);
        const twoChoices = queuedFraction((loads, draw) => chooseNearEqual(costsOf(loads, draw), 0.2, random)!);
        const leastLoaded = queuedFraction((loads, draw) => chooseNearEqual(costsOf(loads, draw), 0, random)!);
        const anyServer = queuedFraction((_loads, draw) => Math.floor(draw() * serverCount));
        expect(twoChoices).to.be.below(leastLoaded);
        expect(twoChoices).to.be.at.most(anyServer);
    });
});
