import { expect } from "chai";
import fc from "fast-check";
import { applyDelta, createRouteIndex, diffConfig, Repeatability } from "../index.js";
import type { ConfigDelta, GatewayConfig, GatewayRoute } from "../index.js";

const names = ["r1", "r2", "r3"];
const hostNames = ["a.example", "b.example"];
const prefixes = ["/", "/x/", "/x/y/"];
const targets = ["/", "/x/1", "/x/y/1", "/z"];

const routes: fc.Arbitrary<GatewayRoute[]> = fc.array(
    fc.record({
        name: fc.constantFrom(...names),
        hostName: fc.constantFrom(...hostNames),
        prefix: fc.constantFrom(...prefixes),
        repeatability: fc.constantFrom(Repeatability.AtMostOnce, Repeatability.Repeatable),
        timeoutMs: fc.constantFrom(1000, 2000),
        latencyObjectiveMs: fc.constant(500),
        priority: fc.constant(0),
        maxServers: fc.constant(2),
        destinations: fc.constantFrom([{ service: "s", weight: 1 }], [{ service: "t", weight: 1 }]),
    }),
    { maxLength: 6 },
);

const configs: fc.Arbitrary<GatewayConfig[]> = fc.array(routes, { minLength: 2, maxLength: 5 }).map(lists =>
    lists.map((list, index) => ({
        number: index + 1,
        routes: list,
        services: [{ name: "s", maxConnections: 10 + index % 2 }, { name: "t", maxConnections: 10 }],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 + index % 2 },
    }))
);

/** What a host does with each request. */
const routing = (config: GatewayConfig): unknown => {
    const index = createRouteIndex(config.routes);
    return hostNames.flatMap(hostName => targets.map(target => index.find(hostName, target)));
};

/** Guards against hosts that route differently, as some received a configuration whole and others as differences. */
describe("differences of configurations", () => {
    const hosts: { name: string; receive: (held: GatewayConfig, next: GatewayConfig) => GatewayConfig | undefined; }[] = [
        { name: "one by one", receive: (held, next) => applyDelta(held, diffConfig(held, next)) },
        {
            name: "that travel as JSON",
            receive: (held, next) => applyDelta(held, JSON.parse(JSON.stringify(diffConfig(held, next))) as ConfigDelta),
        },
    ];
    for (const { name, receive } of hosts) {
        it(`lead to the routes of the whole configuration, ${name}`, () => {
            fc.assert(
                fc.property(configs, chain => {
                    let held = chain[0]!;
                    for (const next of chain.slice(1)) {
                        const received = receive(held, next);
                        expect(received?.number).to.equal(next.number);
                        held = received!;
                        expect(routing(held)).to.deep.equal(routing(next));
                        expect([held.services, held.limits]).to.deep.equal([next.services, next.limits]);
                    }
                }),
                { seed: 7, numRuns: 1000 },
            );
        });
    }

    it("of a state host of an earlier version go by the names of routes", () => {
        const route = (name: string, prefix: string): GatewayRoute => ({
            name,
            hostName: "a.example",
            prefix,
            repeatability: Repeatability.AtMostOnce,
            timeoutMs: 1000,
            latencyObjectiveMs: 500,
            priority: 0,
            maxServers: 2,
            destinations: [],
        });
        const base: GatewayConfig = {
            number: 1,
            routes: [route("r1", "/x/"), route("r2", "/y/")],
            services: [],
            limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
        };
        const delta: ConfigDelta = { baseNumber: 1, number: 2, changedRoutes: [route("r1", "/z/")], removedRoutes: ["r2"] };
        expect(applyDelta(base, delta)?.routes).to.deep.equal([route("r1", "/z/")]);
    });
});
