import { createGate } from "@cassiapick/wire";
import { expect } from "chai";
import { createBodyRest } from "../lib/body-rest.js";
import type { BodyRest } from "../lib/body-rest.js";

const pieces = 100_000;
const maxPendingBytes = 64 * 1024;

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

describe("the rest of a body", () => {
    let rest: BodyRest;
    let changes: string[];
    let isDestroyed: boolean;
    let parts: Buffer[];
    beforeEach(() => {
        changes = [];
        parts = [];
        isDestroyed = false;
        const gate = createGate(() => changes.push("closed"), () => changes.push("open"));
        rest = createBodyRest(gate, () => {
            isDestroyed = true;
        });
        rest.stream.on("error", () => undefined);
    });

    const push = (count: number): void => {
        for (let piece = 0; piece < count; piece += 1) {
            rest.push(Buffer.of(piece % 251));
        }
    };
    const expected = Buffer.from(Array.from({ length: pieces }, (_, index) => index % 251));

    // Guards against pieces that pile up behind a reader that takes nothing.
    it("stops its connection once it holds a part that nobody reads", async () => {
        push(maxPendingBytes - 1);
        await nextTurn();
        expect(changes).to.deep.equal([]);
        push(1);
        expect(changes).to.deep.equal(["closed"]);
        await nextTurn();
        expect(changes).to.deep.equal(["closed"]);
    });

    it("arrives as one part for each turn in which its reader takes something, and lets its connection go on", async () => {
        push(pieces);
        rest.stream.on("data", (part: Buffer) => parts.push(part));
        await nextTurn();
        expect(parts.map(({ length }) => length)).to.deep.equal([pieces]);
        expect(Buffer.concat(parts).equals(expected)).to.equal(true);
        expect(changes).to.deep.equal(["closed", "open"]);
    });

    it("ends after its last piece", async () => {
        let hasEnded = false;
        rest.stream.on("end", () => {
            hasEnded = true;
        });
        push(3);
        rest.end();
        await nextTurn();
        expect(hasEnded).to.equal(false);
        rest.stream.on("data", (part: Buffer) => parts.push(part));
        await nextTurn();
        await nextTurn();
        expect([hasEnded, Buffer.concat(parts).length]).to.deep.equal([true, 3]);
    });

    it("keeps a second part back until its reader goes on", async () => {
        rest.stream.on("data", (part: Buffer) => {
            parts.push(part);
            rest.stream.pause();
        });
        push(2);
        await nextTurn();
        push(3);
        await nextTurn();
        push(4);
        await nextTurn();
        expect(parts.map(({ length }) => length)).to.deep.equal([2]);
        rest.stream.resume();
        await nextTurn();
        rest.stream.resume();
        await nextTurn();
        expect(Buffer.concat(parts).length).to.equal(9);
    });

    it("fails if the body breaks off, and takes nothing more", async () => {
        push(3);
        rest.stream.destroy(new Error("broken"));
        push(3);
        await nextTurn();
        expect([isDestroyed, rest.stream.readableEnded]).to.deep.equal([true, false]);
    });
});
