import { Repeatability } from "@cassiapick/core";
import type { GatewayConfig, GatewayRoute, Workspace } from "@cassiapick/core";
import { expect } from "chai";
import { createConfigInForce, tickMs } from "../lib/config-in-force.js";
import type { ConfigInForce, RoutingQuery, RoutingResult } from "../lib/config-in-force.js";

const applyWithinMs = 2500;
const revokeWithinMs = 5000;
/** Requests wait this long at most for a view that proves their key to be missing. */
const maxKeyWaitMs = 1000;

const route = (name: string, change: Partial<GatewayRoute> = {}): GatewayRoute => ({
    name,
    hostName: "a.example",
    prefix: `/${name}/`,
    repeatability: Repeatability.AtMostOnce,
    timeoutMs: 1000,
    latencyObjectiveMs: 500,
    priority: 0,
    maxServers: 2,
    destinations: [{ service: "s", weight: 1 }],
    ...change,
});

const workspace = (name: string, ...keyDigests: string[]): Workspace => ({ name, keyDigests, burst: 0 });

const config = (
    number: number,
    workspaces?: Workspace[],
    routes = [route("x"), route("open", { isPublic: true })],
): GatewayConfig => ({
    number,
    routes,
    services: [{ name: "s", maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    ...(workspaces === undefined ? {} : { workspaces }),
});

/** A host in fake time, whose view was confirmed at `confirmedAt`. */
const createHost = (refusesOldViews = false) => {
    let now = 0;
    let confirmedAt = -Infinity;
    const held: ConfigInForce = createConfigInForce({
        applyWithinMs,
        revokeWithinMs,
        refusesOldViews,
        viewAgeMs: () => now - confirmedAt,
        clock: () => now,
    });
    const pass = (ms: number): void => {
        for (let left = ms; left > 0; left -= tickMs) {
            now += Math.min(left, tickMs);
            held.tick();
        }
    };
    return {
        held,
        confirm: (ageMs = 0): void => {
            confirmedAt = now - ageMs;
        },
        pass,
        /** Time passes while the process gets no turn. */
        pause: (ms: number): void => {
            now += ms;
        },
        query: (keyDigest?: string, target = "/x/1"): RoutingQuery => ({
            hostHeader: "a.example",
            target,
            keyDigest,
            arrivedAt: now,
        }),
    };
};

const summary = (result: RoutingResult | undefined): string => {
    if (result?.kind === "routed") {
        return `routed for ${result.workspace?.name ?? "nobody"}`;
    }
    return result?.kind ?? "none";
};

describe("the configuration in force", () => {
    const cases: { name: string; keyDigest?: string; target?: string; viewAgeMs: number; strict?: boolean; expected: string; }[] =
        [
            { name: "a known key", keyDigest: "k1", viewAgeMs: 300, expected: "routed for one" },
            { name: "a known key under a view of a minute", keyDigest: "k1", viewAgeMs: 60_000, expected: "routed for one" },
            {
                name: "a known key under a view of a minute",
                keyDigest: "k1",
                viewAgeMs: 60_000,
                strict: true,
                expected: "unsure",
            },
            {
                name: "a known key under a view that was never confirmed",
                keyDigest: "k1",
                viewAgeMs: Infinity,
                expected: "unsure",
            },
            { name: "an unknown key", keyDigest: "k9", viewAgeMs: 300, expected: "unsure" },
            {
                name: "an unknown key under a view that is just confirmed",
                keyDigest: "k9",
                viewAgeMs: 0,
                expected: "unauthorized",
            },
            { name: "no key under a view that is just confirmed", viewAgeMs: 0, expected: "unauthorized" },
            { name: "no key on a public route", target: "/open/", viewAgeMs: 300, expected: "routed for nobody" },
            { name: "a missing route", keyDigest: "k1", target: "/y/", viewAgeMs: 300, expected: "unrouted" },
        ];
    for (const { name, keyDigest, target, viewAgeMs, strict = false, expected } of cases) {
        it(`finds that ${name} is ${expected}${strict ? " on a host that refuses old views" : ""}`, () => {
            const host = createHost(strict);
            host.held.apply(config(1, [workspace("one", "k1")]));
            host.pass(60_000);
            if (Number.isFinite(viewAgeMs)) {
                host.confirm(viewAgeMs);
            }
            expect(summary(host.held.route(host.query(keyDigest, target)))).to.equal(expected);
        });
    }

    // Guards against a withdrawn key that returns, with a configuration that was delayed or is sent by another state host.
    it("never goes back to a lower number", () => {
        const host = createHost();
        host.confirm();
        expect(host.held.apply(config(5, []))).to.equal(true);
        expect(host.held.apply(config(4, [workspace("one", "k1")]))).to.equal(false);
        expect(host.held.apply(config(5, [workspace("one", "k1")]))).to.equal(false);
        expect(summary(host.held.route(host.query("k1")))).to.equal("unauthorized");
    });

    type Host = ReturnType<typeof createHost>;
    const waits: { name: string; happens: (host: Host) => void; waitMs?: number; expected: string; }[] = [
        {
            name: "is refused once the view is confirmed",
            happens: host => {
                host.pass(400);
                host.confirm(100);
            },
            expected: "unauthorized",
        },
        {
            name: "is served once a configuration has its key",
            happens: host => host.held.apply(config(2, [workspace("one", "k1"), workspace("two", "k9")])),
            expected: "routed for two",
        },
        {
            name: "is served once no keys are needed",
            happens: host => host.held.apply(config(2)),
            expected: "routed for nobody",
        },
        {
            name: "is refused when its time is over and the view is recent",
            happens: host => host.pass(maxKeyWaitMs),
            expected: "unauthorized",
        },
        {
            name: "may come back when its time is over and the view proves nothing",
            happens: host => {
                host.pass(maxKeyWaitMs);
                host.confirm(applyWithinMs + 1);
            },
            expected: "unsure",
        },
    ];
    for (const { name, happens, expected } of waits) {
        it(`holds a request with an unknown key that ${name}`, async () => {
            const host = createHost();
            host.held.apply(config(1, [workspace("one", "k1")]));
            host.confirm(300);
            const query = host.query("k9");
            const first = host.held.route(query);
            expect(first.kind === "unsure" && first.waitMs).to.equal(maxKeyWaitMs);
            const waiting = host.held.waitForRoute(query, maxKeyWaitMs);
            happens(host);
            expect(summary(await waiting)).to.equal(expected);
        });
    }

    it("bounds the number of requests that wait", async () => {
        const host = createHost();
        host.held.apply(config(1, [workspace("one", "k1")]));
        host.confirm(300);
        const waiting = Array.from({ length: 500 }, () => host.held.waitForRoute(host.query("k9"), maxKeyWaitMs));
        expect(summary(await host.held.waitForRoute(host.query("k9"), maxKeyWaitMs))).to.equal("unauthorized");
        host.pass(400);
        host.confirm();
        expect(new Set((await Promise.all(waiting)).map(summary))).to.deep.equal(new Set(["unauthorized"]));
    });

    // Guards against requests that arrived during a pause and are read before the configuration that withdraws their key.
    it("serves no key after a pause until the view is confirmed, for two seconds at most", () => {
        const host = createHost();
        host.held.apply(config(1, [workspace("one", "k1")]));
        host.confirm();
        host.pause(6000);
        const first = host.held.route(host.query("k1"));
        expect(first.kind === "unsure" && first.waitMs).to.equal(2000);
        host.pass(1600);
        expect(summary(host.held.route(host.query("k1")))).to.equal("unsure");
        host.confirm(200);
        expect(summary(host.held.route(host.query("k1")))).to.equal("routed for one");
        host.pause(6000);
        host.held.tick();
        host.pass(2000);
        expect(summary(host.held.route(host.query("k1")))).to.equal("routed for one");
    });

    const losses: [name: string, next: GatewayConfig | undefined, expected: string | undefined][] = [
        ["an unchanged configuration", undefined, undefined],
        ["a configuration that keeps the key", config(2, [workspace("one", "k1", "k2")]), undefined],
        ["a configuration that withdraws the key", config(2, [workspace("one", "k2")]), "unauthorized"],
        ["a configuration without the workspace", config(2, []), "unauthorized"],
        ["a configuration that moves the key", config(2, [workspace("two", "k1")]), "unsure"],
        ["a configuration that needs no keys", config(2), "unsure"],
        ["a configuration without the route, with the key", config(2, [workspace("one", "k1")], []), undefined],
    ];
    for (const [name, next, expected] of losses) {
        it(`finds ${expected ?? "no loss"} for a request that waits under ${name}`, () => {
            const host = createHost();
            host.held.apply(config(1, [workspace("one", "k1")]));
            host.confirm();
            const query = host.query("k1");
            host.pass(500);
            host.confirm(100);
            if (next !== undefined) {
                host.held.apply(next);
            }
            expect(host.held.accessLoss(query, route("x"), "one")?.kind).to.equal(expected);
        });
    }
});
