import { expect } from "chai";
import { createFaultGuard } from "../lib/fault-guard.js";

describe("a fault guard", () => {
    const cases: [name: string, step: () => void, messages: string[]][] = [
        ["passes a step that returns", () => undefined, []],
        ["logs an error", () => {
            throw new Error("no room");
        }, ["no room"]],
    ];
    for (const [name, step, messages] of cases) {
        it(`${name} and returns`, () => {
            const logged: unknown[] = [];
            createFaultGuard({ log: (event, fields) => logged.push([event, fields?.step, fields?.message]) }, { step: "test" })(
                step,
            );
            expect(logged).to.deep.equal(messages.map(message => ["internalFault", "test", message]));
        });
    }
});
