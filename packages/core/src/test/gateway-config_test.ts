import { expect } from "chai";
import { applyDelta, createRandom, createRouteIndex, diffConfig, pickDestination, Repeatability } from "../index.js";
import type { GatewayConfig, GatewayRoute } from "../index.js";

const route = (name: string, hostName: string, prefix: string): GatewayRoute => ({
    name,
    hostName,
    prefix,
    repeatability: Repeatability.AtMostOnce,
    timeoutMs: 1000,
    latencyObjectiveMs: 500,
    priority: 0,
    maxServers: 2,
    destinations: [{ service: "s", weight: 1 }],
});

const config = (number: number, routes: GatewayRoute[]): GatewayConfig => ({
    number,
    routes,
    services: [{ name: "s", maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

describe("route index", () => {
    const index = createRouteIndex([
        route("root", "a.example", "/"),
        route("one", "a.example", "/x/"),
        route("two", "a.example", "/x/y/"),
        route("other", "b.example", "/x/"),
    ]);
    const cases: [host: string, target: string, expected: string | undefined][] = [
        ["a.example", "/x/y/z", "two"],
        ["a.example", "/x/y", "one"],
        ["a.example", "/x/?q=/x/y/", "one"],
        ["A.Example:8080", "/x/", "one"],
        ["a.example", "/", "root"],
        ["a.example", "/xy", "root"],
        ["b.example", "/", undefined],
        ["c.example", "/x/", undefined],
        ["", "*", undefined],
    ];
    for (const [host, target, expected] of cases) {
        it(`finds ${expected ?? "no route"} for ${host}${target}`, () => {
            expect(index.find(host, target)?.name).to.equal(expected);
        });
    }

    it("distributes requests by weight", () => {
        const random = createRandom(1);
        const destinations = [{ service: "a", weight: 90 }, { service: "b", weight: 10 }, { service: "c", weight: 0 }];
        const counts = new Map<string | undefined, number>();
        for (let count = 0; count < 10_000; count += 1) {
            const service = pickDestination(destinations, random)?.service;
            counts.set(service, (counts.get(service) ?? 0) + 1);
        }
        expect(counts.get("a")).to.be.within(8800, 9200);
        expect(counts.get("b")).to.be.within(800, 1200);
        expect(counts.size).to.equal(2);
    });
});

describe("configuration differences", () => {
    const base = config(3, [route("a", "a.example", "/"), route("b", "b.example", "/")]);
    const next = config(7, [{ ...route("b", "b.example", "/"), timeoutMs: 5 }, route("c", "c.example", "/")]);

    it("turn the base configuration into the next one", () => {
        const delta = diffConfig(base, next);
        expect(delta.changedRoutes.map(changed => changed.name)).to.deep.equal(["b", "c"]);
        expect(delta.removedRoutes).to.deep.equal(["a"]);
        expect(delta.services).to.equal(undefined);
        const applied = applyDelta(base, delta)!;
        expect(applied.number).to.equal(7);
        expect(new Set(applied.routes)).to.deep.equal(new Set(next.routes));
    });

    it("are not applied to a configuration with another number", () => {
        expect(applyDelta({ ...base, number: 4 }, diffConfig(base, next))).to.equal(undefined);
        expect(applyDelta(undefined, diffConfig(base, next))).to.equal(undefined);
    });
});
