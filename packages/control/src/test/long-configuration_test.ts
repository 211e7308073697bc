import { createFleetMachine, emptyFleetState, HostPhase, LinkMessageKind, Repeatability } from "@cassiapick/core";
import type { EntryHello, GatewayConfig, GatewayRoute } from "@cassiapick/core";
import type { Link } from "@cassiapick/wire";
import { expect } from "chai";
import { createEntryLinks } from "../lib/entry-links.js";
import type { FleetSnapshot } from "../lib/entry-links.js";
import { linkOptionsIn } from "./entry-links-options.js";

const zone = "z1";
const routeCount = 1400;

const routeOf = (index: number, timeoutMs: number): GatewayRoute => ({
    name: `r${index}`,
    hostName: `h${index}.example`,
    prefix: `/p${index}/`,
    repeatability: Repeatability.Repeatable,
    timeoutMs,
    latencyObjectiveMs: 1000,
    priority: 1,
    maxServers: 2,
    destinations: [{ service: "quotes", weight: 1 }],
});

/** A configuration that differs from the one with the number before it in one route; `countRead` is called when its routes are read. */
const configOf = (number: number, countRead: () => void): GatewayConfig => {
    const routes = Array.from({ length: routeCount }, (_, index) => routeOf(index, index === 0 ? number : 2500));
    return {
        number,
        get routes() {
            countRead();
            return routes;
        },
        services: [{ name: "quotes", maxConnections: 10 }],
        limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
};

const helloOf = (hostId: string, configNumber: number): EntryHello => ({
    k: LinkMessageKind.EntryHello,
    hostId,
    address: `${hostId}:80`,
    availabilityZone: zone,
    region: "r1",
    startedAt: 5,
    phase: HostPhase.Ready,
    configNumber,
    serversRevision: 0,
});

/** What one change of a long configuration costs a state host. */
interface ChangeCost {
    /** How often routes were read, to compare or to encode them. */
    reads: number;
    /** Different encoded frames; each takes time to encode. */
    frames: number;
    /** Links that got something to encode by themselves. */
    ownMessages: number;
}

const costOfChange = (hostCount: number, heldNumber: number): ChangeCost => {
    let reads = 0;
    let ownMessages = 0;
    const frames = new Set<Uint8Array>();
    const links = createEntryLinks(linkOptionsIn(zone));
    const isConfig = (message: unknown): boolean => {
        const { k } = message as { k: LinkMessageKind; };
        return k === LinkMessageKind.Config || k === LinkMessageKind.ConfigDelta;
    };
    for (let host = 0; host < hostCount; host += 1) {
        const link: Link = {
            send: message => {
                ownMessages += isConfig(message) ? 1 : 0;
            },
            sendFrame: (frame, message) => {
                if (isConfig(message)) {
                    frames.add(frame);
                }
            },
            close: () => undefined,
        };
        links.addHost(link, helloOf(`h${host}`, heldNumber), 0);
    }
    const snapshotOf = (number: number): FleetSnapshot => ({
        fleet: createFleetMachine(emptyFleetState),
        config: configOf(number, () => {
            reads += 1;
        }),
        contacts: [{ address: "k1:80", availabilityZone: zone, region: "r1" }],
        entryHosts: hostCount,
        limitShares: { of: () => [] },
        entryPeers: { of: () => [] },
        quarantined: new Map(),
    });
    links.sendUpdates(snapshotOf(4), 0);
    reads = 0;
    ownMessages = 0;
    frames.clear();
    links.sendUpdates(snapshotOf(5), 100);
    return { reads, frames: frames.size, ownMessages };
};

describe("a change of a long configuration", () => {
    const cases: [name: string, heldNumber: number][] = [
        ["hosts that hold the configuration before it", 4],
        ["hosts that have just attached without one", 0],
    ];
    for (const [name, heldNumber] of cases) {
        // Guards against changes that come seconds late as a state host compares and encodes all routes for each of its hosts.
        it(`is compared and encoded once for all ${name}`, () => {
            const alone = costOfChange(1, heldNumber);
            expect(alone.frames, "frames for one host").to.equal(1);
            for (const hostCount of [30, 115]) {
                expect(costOfChange(hostCount, heldNumber), `${hostCount} hosts`).to.deep.equal(alone);
            }
        });
    }
});
