import { expect } from "chai";
import { proofHolds, proofs, renderResult } from "../index.js";

const seeds = [1, 2, 3];

describe("proofs", () => {
    for (const [name, prove] of Object.entries(proofs)) {
        for (const seed of seeds) {
            it(`${name} holds for seed ${seed}`, async () => {
                const result = await prove({ seed });
                expect(proofHolds(result), `${renderResult(name, result)}\n${result.notes.join("\n")}`).to.equal(true);
            });
        }
    }
});
