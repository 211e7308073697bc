import { Encoder } from "cbor-x";
import { expect } from "chai";
import fc from "fast-check";
import { applyPatch, createPatch } from "../lib/value-patch.js";

const seed = 20_261_206;
const encoder = new Encoder({ useRecords: false });
const limitBytes = 1 << 20;

const rowsOf = (count: number): unknown[] =>
    Array.from({ length: count }, (_, index) => [`r${index}`, `/p${index * 7919}/`, 2.5]);
const documentOf = (rows: unknown[]): Buffer => Buffer.from(JSON.stringify({ version: "r1", rows }));

describe("patch of a value", () => {
    const rows = rowsOf(1400);
    const cases: [name: string, next: Buffer, maxBytes: number][] = [
        ["an equal value", documentOf(rows), 16],
        ["a changed row", documentOf(rows.with(700, ["r700", "/other/", 3])), 64],
        ["an added row", documentOf([...rows, ["r1400", "/new/", 1]]), 64],
        ["a removed row", documentOf(rows.toSpliced(20, 1)), 64],
        ["rows that have changed places", documentOf([...rows.slice(700), ...rows.slice(0, 700)]), 128],
        ["nothing in common", Buffer.alloc(5000, 0x20), 5100],
        ["an empty value", Buffer.alloc(0), 16],
    ];
    for (const [name, next, maxBytes] of cases) {
        it(`restores, and is short for, ${name}`, () => {
            const base = documentOf(rows);
            const patch = createPatch(base, next);
            expect(applyPatch(base, patch, limitBytes).equals(next)).to.equal(true);
            expect(patch.length).to.be.at.most(maxBytes);
        });
    }

    it("restores arbitrary values", () => {
        const value = fc.array(fc.constantFrom("[", "{", "a", "bc", "[1]", "x".repeat(600)), { maxLength: 30 })
            .map(parts => Buffer.from(parts.join("")));
        fc.assert(
            fc.property(value, value, (base, next) => applyPatch(base, createPatch(base, next), limitBytes).equals(next)),
            { seed, numRuns: 3000 },
        );
    });

    const malformed: [name: string, parts: unknown][] = [
        ["no list", 7],
        ["a start beyond the base", [11, 1]],
        ["a length beyond the base", [5, 6]],
        ["a negative start", [-1, 1]],
        ["a fraction", [0.5, 1]],
        ["a start without a length", [0]],
        ["a text", ["abc", 1]],
        ["a result beyond the limit", Array.from({ length: 8 }, () => [0, 10]).flat()],
    ];
    for (const [name, parts] of malformed) {
        it(`refuses ${name}`, () => {
            expect(() => applyPatch(Buffer.alloc(10), encoder.encode(parts), 64)).to.throw();
        });
    }
});
