import { expect } from "chai";
import { createPieceBudget } from "../lib/transfer/piece-budget.js";

interface Taking {
    at: number;
    pieces: number;
    bytes: number;
    waitMs: number;
}

const cases: { name: string; takings: Taking[]; }[] = [
    { name: "pieces of one byte within the burst", takings: [{ at: 0, pieces: 1000, bytes: 1000, waitMs: 0 }] },
    {
        name: "pieces beyond the burst, until they have been paid for",
        takings: [
            { at: 0, pieces: 1000, bytes: 0, waitMs: 0 },
            { at: 0, pieces: 500, bytes: 0, waitMs: 50 },
            { at: 50, pieces: 0, bytes: 0, waitMs: 0 },
            { at: 60, pieces: 200, bytes: 0, waitMs: 10 },
        ],
    },
    {
        name: "no more than the burst after a long time",
        takings: [{ at: 0, pieces: 1000, bytes: 0, waitMs: 0 }, { at: 60_000, pieces: 1100, bytes: 0, waitMs: 10 }],
    },
    { name: "long pieces for nothing", takings: Array(100).fill({ at: 0, pieces: 1000, bytes: 64_000, waitMs: 0 }) as Taking[] },
    {
        name: "the debt of all bodies together",
        takings: [
            { at: 0, pieces: 2000, bytes: 0, waitMs: 100 },
            { at: 0, pieces: 2000, bytes: 0, waitMs: 300 },
            { at: 100, pieces: 0, bytes: 0, waitMs: 200 },
        ],
    },
    {
        name: "a clock that goes back as one that stands still",
        takings: [{ at: 100, pieces: 1500, bytes: 0, waitMs: 50 }, { at: 90, pieces: 0, bytes: 0, waitMs: 50 }],
    },
];

describe("the budget for pieces of bodies", () => {
    for (const { name, takings } of cases) {
        it(`takes ${name}`, () => {
            const budget = createPieceBudget({ piecesPerMs: 10, burst: 1000 });
            const waits = takings.map(({ at, pieces, bytes }) => budget.take(pieces, bytes, at));
            expect(waits).to.deep.equal(takings.map(({ waitMs }) => waitMs));
        });
    }
});
