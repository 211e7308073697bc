import { createFleetMachine, emptyFleetState, FactKind, HostPhase, LinkMessageKind, ServingState } from "@cassiapick/core";
import type { EntryHello, FleetMachine, GatewayConfig, LinkMessage, StateHostContact } from "@cassiapick/core";
import { createFrameReader, encodeCompactFrame } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";
import { expect } from "chai";
import { createEntryLinks } from "../lib/entry-links.js";
import type { EntryLinks, FleetSnapshot } from "../lib/entry-links.js";
import { linkOptionsIn } from "./entry-links-options.js";

const zone = "z2";
const config: GatewayConfig = {
    number: 4,
    routes: [],
    services: [{ name: "quotes", maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const helloOf = (availabilityZone: string, configNumber: number): EntryHello => ({
    k: LinkMessageKind.EntryHello,
    hostId: "h",
    address: "10.0.0.9:80",
    availabilityZone,
    region: "r1",
    startedAt: 5,
    phase: HostPhase.Leaving,
    configNumber,
    serversRevision: 0,
});

const contactIn = (availabilityZone: string): StateHostContact => ({
    address: `${availabilityZone}:7`,
    availabilityZone,
    region: "r1",
});

const announce = (fleet: FleetMachine, index: number): void => {
    const server = {
        serverId: `i-${index}`,
        service: "quotes",
        address: `10.0.0.1:${index + 1}`,
        availabilityZone: "z1",
        slots: 3,
        state: ServingState.Ready as const,
        bornAt: 100,
        warmupLeftMs: 0,
    };
    fleet.apply([{ kind: FactKind.Server, server, keeper: "k1", at: 0 }], index + 1);
};

interface Recording {
    links: EntryLinks;
    snapshot: FleetSnapshot;
    link: Link;
    /** The messages since the last call, and their bytes. */
    take: () => LinkMessage[];
    bytes: () => number;
}

/** A state host in zone z2 with one attached entry host. */
const record = (hello: EntryHello): Recording => {
    let sent: LinkMessage[] = [];
    let bytes = 0;
    const receive = (frame: Uint8Array): void => {
        bytes += frame.length;
        const decoded = createFrameReader().push(frame);
        sent.push(...decoded.ok ? decoded.values as LinkMessage[] : []);
    };
    const link: Link = {
        send: message => receive(encodeCompactFrame(message)),
        sendFrame: receive,
        close: () => undefined,
    };
    const links = createEntryLinks(linkOptionsIn(zone));
    links.addHost(link, hello, 0);
    const fleet = createFleetMachine(emptyFleetState);
    announce(fleet, 0);
    const snapshot: FleetSnapshot = {
        fleet,
        config,
        contacts: [contactIn(zone)],
        entryHosts: 1,
        limitShares: { of: () => [] },
        entryPeers: { of: () => [] },
        quarantined: new Map(),
    };
    const take = (): LinkMessage[] => {
        const taken = sent;
        sent = [];
        return taken;
    };
    return { links, snapshot, link, take, bytes: () => bytes };
};

const kindsOf = (messages: readonly LinkMessage[]): LinkMessageKind[] => messages.map(message => message.k);

describe("what a state host sends to entry hosts", () => {
    const { Contacts, Servers, Config, Heartbeat, HostLeft, RelayedReports, ViewAge } = LinkMessageKind;

    /** A second update at `at`, after one more server and entry host; `contacts` are those of both updates. */
    const second: [
        name: string,
        hello: EntryHello,
        before: Partial<FleetSnapshot>,
        after: Partial<FleetSnapshot>,
        at: number,
        isPeriodic: boolean,
        expected: LinkMessageKind[],
    ][] = [
        ["at once to a host of its zone", helloOf(zone, 4), {}, {}, 10, false, [Contacts, Servers]],
        ["not at once to a host of another zone", helloOf("z1", 4), {}, {}, 10, false, []],
        ["periodically to a host of another zone", helloOf("z1", 4), {}, {}, 10, true, [Servers]],
        ["not soon the number of entry hosts alone", helloOf("z1", 4), {}, {}, 1990, true, [Servers]],
        ["in the end the number of entry hosts", helloOf("z1", 4), {}, {}, 2000, true, [Contacts, Servers]],
        ["at once the first configuration", helloOf("z1", 0), { config: undefined }, {}, 10, false, [Servers, Config]],
        [
            "at once the first state host of the host's zone, and then nothing else",
            helloOf("z1", 0),
            { config: undefined },
            {
                contacts: [contactIn(zone), contactIn("z1")],
            },
            10,
            false,
            [Contacts],
        ],
    ];
    for (const [name, hello, before, after, at, isPeriodic, expected] of second) {
        it(`is a change, ${name}`, () => {
            const { links, snapshot, take } = record(hello);
            links.sendUpdates({ ...snapshot, ...before }, 0);
            take();
            announce(snapshot.fleet, 1);
            links.sendUpdates({ ...snapshot, ...after, entryHosts: 2 }, at, isPeriodic);
            expect(kindsOf(take())).to.deep.equal(expected);
        });
    }

    // An age of the view would prove that the host has all routes.
    it("is no age of the view before an update that waits", () => {
        const { links, snapshot, take } = record(helloOf("z1", 4));
        links.sendUpdates(snapshot, 0);
        announce(snapshot.fleet, 1);
        links.sendUpdates(snapshot, 10);
        take();
        links.sendViewAge(50);
        links.sendUpdates(snapshot, 400, true);
        links.sendViewAge(50);
        expect(kindsOf(take())).to.deep.equal([Heartbeat, Servers, ViewAge]);
    });

    it("is an age of the view for a new host only, when one attaches", () => {
        const first = record(helloOf(zone, 4));
        const other = record(helloOf(zone, 4));
        first.links.addHost(other.link, { ...helloOf(zone, 4), hostId: "i" }, 0);
        first.links.sendViewAge(50, other.link);
        expect(kindsOf(first.take())).to.deep.equal([]);
        expect(kindsOf(other.take())).to.deep.equal([Heartbeat]);
    });

    for (const hasReported of [false, true]) {
        it(`is ${hasReported ? "a" : "no"} notice of a host that left and had sent ${hasReported ? "" : "no "}reports`, () => {
            const { links, take } = record(helloOf(zone, 4));
            const other = record(helloOf(zone, 4));
            links.addHost(other.link, { ...helloOf(zone, 4), hostId: "i" }, 0);
            links.addReports(other.link, hasReported ? [[1, 1, 0, 0]] : []);
            links.relayReports();
            links.removeHost(other.link);
            expect(kindsOf(take())).to.deep.equal(hasReported ? [RelayedReports, HostLeft] : []);
        });
    }

    // The goal for what hosts tell each other is a quarter of the bytes before (issue 37).
    it("is at most a quarter of the bytes of updates at once, while servers announce themselves to another zone's host", () => {
        const bytesWith = (hello: EntryHello): number => {
            const { links, snapshot, bytes } = record(hello);
            for (let index = 1; index <= 160; index += 1) {
                announce(snapshot.fleet, index);
                const now = index * 10;
                links.sendUpdates({ ...snapshot, entryHosts: index }, now, now % 400 === 0);
            }
            return bytes();
        };
        // A host of the same zone is sent each change at once, as all hosts were before.
        expect(bytesWith(helloOf("z1", 4))).to.be.at.most(bytesWith(helloOf(zone, 4)) / 4);
    });
});
