import { expect } from "chai";
import { findConfigProblems, listConfigChanges, Repeatability } from "../index.js";
import type { GatewayConfig, Workspace } from "../index.js";

const config = (workspaces: Workspace[], isPublic = false): GatewayConfig => ({
    number: 1,
    routes: [{
        name: "r1",
        hostName: "a.example",
        prefix: "/",
        repeatability: Repeatability.AtMostOnce,
        timeoutMs: 1000,
        latencyObjectiveMs: 500,
        priority: 0,
        isPublic,
        maxServers: 2,
        destinations: [{ service: "s", weight: 1 }],
    }],
    services: [{ name: "s", maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    workspaces,
});

const workspace = (change: Partial<Workspace>): Workspace => ({
    name: "w",
    keyDigests: ["d1"],
    burst: 10,
    ratePerS: 5,
    ...change,
});

describe("the check of workspaces", () => {
    const cases: [name: string, config: GatewayConfig, says: string | undefined][] = [
        ["a sound one", config([workspace({})]), undefined],
        ["one without a key", config([workspace({ keyDigests: [] })]), "no caller can use it"],
        ["one whose keys no route asks for", config([workspace({})], true), "All routes are public"],
        ["a burst without a rate", config([workspace({ ratePerS: undefined })]), "without a rate"],
        [
            "a quota that allows nothing within a second",
            config([workspace({ ratePerS: 0.5, burst: 0 })]),
            "no request within a second",
        ],
    ];
    for (const [name, checked, says] of cases) {
        it(`judges ${name}`, () => {
            const messages = findConfigProblems(checked).map(({ message }) => message);
            expect(messages.length).to.equal(says === undefined ? 0 : 1);
            expect(messages[0] ?? "").to.include(says ?? "");
        });
    }

    it("counts added and withdrawn keys without their digests", () => {
        const changes = listConfigChanges(config([workspace({})]), config([workspace({ keyDigests: ["d2", "d3"] })]));
        expect(changes).to.have.length(1);
        expect(JSON.stringify(changes)).to.include("2 keys (2 added, 1 withdrawn)").and.not.include("d2");
    });
});
