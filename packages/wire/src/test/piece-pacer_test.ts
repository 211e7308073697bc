import type { PieceBudget } from "@cassiapick/core";
import { expect } from "chai";
import { createPiecePacer } from "../lib/piece-pacer.js";
import { createGate, GateReason } from "../lib/read-gate.js";

const nextTurn = (): Promise<void> => new Promise(resolve => setImmediate(resolve));
const longWaitMs = 60_000;

/** A gate that records its changes, and a budget that asks for `waitMs` each time and records what it is asked. */
const createBody = (waitMs: number, now = (): number => 0) => {
    const changes: string[] = [];
    const asked: [number, number][] = [];
    const gate = createGate(() => changes.push("closed"), () => changes.push("open"));
    const budget: PieceBudget = {
        take: (pieces, bytes) => {
            asked.push([pieces, bytes]);
            return waitMs;
        },
    };
    return { changes, asked, gate, pacer: createPiecePacer(gate, budget, now) };
};

describe("the pacer of a body", () => {
    it("asks for nothing while pieces are long or few", async () => {
        const { pacer, asked } = createBody(0);
        for (let piece = 0; piece < 255; piece += 1) {
            pacer.count(1);
        }
        for (let piece = 0; piece < 10_000; piece += 1) {
            pacer.count(64);
        }
        await nextTurn();
        expect(asked).to.deep.equal([]);
    });

    it("asks once for all short pieces of one read, and closes the gate for as long as it is told", async () => {
        const { pacer, asked, changes } = createBody(longWaitMs);
        for (let piece = 0; piece < 10_000; piece += 1) {
            pacer.count(1);
        }
        await nextTurn();
        expect(asked).to.deep.equal([[10_000, 10_000]]);
        expect(changes).to.deep.equal(["closed"]);
        pacer.stop();
        expect(changes).to.deep.equal(["closed", "open"]);
    });

    it("opens the gate again after the time that it is told", async () => {
        let time = 0;
        const { pacer, changes } = createBody(1, () => time);
        for (let piece = 0; piece < 1000; piece += 1) {
            pacer.count(1);
        }
        await nextTurn();
        expect(changes).to.deep.equal(["closed"]);
        time = 1;
        while (changes.length < 2) {
            await nextTurn();
        }
        expect(changes).to.deep.equal(["closed", "open"]);
    });

    it("asks for nothing once it has been stopped", async () => {
        const { pacer, asked } = createBody(longWaitMs);
        for (let piece = 0; piece < 1000; piece += 1) {
            pacer.count(1);
        }
        pacer.stop();
        await nextTurn();
        expect(asked).to.deep.equal([]);
    });

    it("leaves a gate closed that another reason closes", async () => {
        const { pacer, gate, changes } = createBody(longWaitMs);
        gate.close(GateReason.Unread);
        for (let piece = 0; piece < 1000; piece += 1) {
            pacer.count(1);
        }
        await nextTurn();
        pacer.stop();
        expect(changes).to.deep.equal(["closed"]);
        gate.open(GateReason.Unread);
        expect(changes).to.deep.equal(["closed", "open"]);
    });
});
