import { LinkMessageKind, Repeatability } from "@cassiapick/core";
import type { GatewayConfig, GatewayRoute } from "@cassiapick/core";
import { expect } from "chai";
import { createConfigFrames } from "../lib/config-frames.js";

const route: GatewayRoute = {
    name: "r-1",
    hostName: "a.example",
    prefix: "/",
    repeatability: Repeatability.Repeatable,
    timeoutMs: 1000,
    latencyObjectiveMs: 1000,
    priority: 0,
    maxServers: 2,
    destinations: [{ service: "quotes", weight: 1 }],
};

const configOf = (number: number, routeCount: number): GatewayConfig => ({
    number,
    routes: Array<GatewayRoute>(routeCount).fill(route),
    services: [{ name: "quotes", maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

// Guards against decoded configurations that take a state host to its heap limit, and against whole ones sent for each change.
describe("the configurations that a state host retains", () => {
    const latest = 20;
    const cases: [routeCount: number, retained: number][] = [[1, 8], [1400, 8], [7500, 8], [20_000, 3], [41_000, 2]];
    for (const [routeCount, retained] of cases) {
        it(`are ${retained} of ${routeCount} routes, the latest included`, () => {
            const frames = createConfigFrames();
            for (let number = 1; number <= latest; number += 1) {
                frames.setLatest(configOf(number, routeCount));
            }
            const held = Array.from({ length: latest - 1 }, (_, index) => index + 1);
            const known = held.filter(number => frames.frameFor(number).message.k === LinkMessageKind.ConfigDelta);
            expect(known).to.deep.equal(held.slice(1 - retained));
        });
    }
});
