import { expect } from "chai";
import { fromReportRow, ServerObservation } from "../index.js";
import type { ServerPool } from "../index.js";
import { choose, createPool, local, region } from "./test-pool.js";

// Guards against more requests to a server whose answers are late, at this host or at others, and against lasting blame for late answers.
describe("server pool with requests that wait", () => {
    /** Answers take between 400 ms and a second. */
    const survival = (elapsedMs: number): number => Math.min(1, Math.max(0, (1000 - elapsedMs) / 600));

    it("sends nothing more to a server with a late answer, until it comes", () => {
        const pool = createPool([local, region]);
        pool.requestStarted(1, 0, survival);
        expect(choose(pool, 300)).to.equal(1);
        expect(choose(pool, 950)).to.equal(2);
        pool.requestEnded(1, ServerObservation.Success, 960, 0);
        expect(choose(pool, 960)).to.equal(1);
    });

    it("takes a hang back when the answer comes after all", () => {
        const pool = createPool([local, region]);
        pool.requestStarted(1, 0, survival);
        expect(pool.drainReports(1100)[0]).to.include({ hangs: 1 });
        expect(choose(pool, 1100)).to.equal(2);
        pool.requestEnded(1, ServerObservation.Success, 1200, 0);
        expect(pool.drainReports(1200)[0]).to.include({ hangs: -1, successes: 1 });
        expect(choose(pool, 1200)).to.equal(1);
    });

    it("keeps a hang in mind when no answer comes, from when it was found", () => {
        const pool = createPool([local, region]);
        pool.requestStarted(1, 0, survival);
        pool.drainReports(1100);
        pool.requestEnded(1, undefined, 6000, 0);
        expect(choose(pool, 3000)).to.equal(2);
        expect(choose(pool, 20_000)).to.equal(1);
    });

    const reports: { name: string; apply: (pool: ServerPool) => void; expected: number; }[] = [
        {
            name: "a late answer at another host of the zone",
            apply: pool => pool.applyReport("h", { number: 1, successes: 0, failures: 0, inFlight: 1, waitLevel: 4 }, 0),
            expected: 2,
        },
        {
            name: "a late answer at another host that has come",
            apply: pool => {
                pool.applyReport("h", { number: 1, successes: 0, failures: 0, inFlight: 1, waitLevel: 4 }, 0);
                pool.applyReport("h", { number: 1, successes: 1, failures: 0, inFlight: 0, waitLevel: 0 }, 0);
            },
            expected: 1,
        },
        {
            name: "a late answer at a host that has left",
            apply: pool => {
                pool.applyReport("h", { number: 1, successes: 0, failures: 0, inFlight: 1, waitLevel: 4 }, 0);
                pool.removeHostLoad("h");
            },
            expected: 1,
        },
        {
            name: "a hang at a host of another zone",
            apply: pool => pool.applyRemoteFailures({ number: 1, successes: 0, failures: 0, inFlight: 1, hangs: 1 }, 0),
            expected: 2,
        },
        {
            name: "a report of an earlier version, which names no waits",
            apply: pool => pool.applyReport("h", fromReportRow([1, 0, 0, 1]), 0),
            expected: 1,
        },
    ];
    for (const { name, apply, expected } of reports) {
        it(`chooses server ${expected} after ${name}`, () => {
            const pool = createPool([local, region]);
            apply(pool);
            expect(choose(pool, 10)).to.equal(expected);
        });
    }
});
