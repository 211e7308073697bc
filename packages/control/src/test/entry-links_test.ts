import { createFleetMachine, emptyFleetState, FactKind, HostPhase, LinkMessageKind, ServingState } from "@cassiapick/core";
import type {
    EntryHello,
    FleetMachine,
    GatewayConfig,
    LinkMessage,
    ServerAnnouncement,
    StateHostContact,
} from "@cassiapick/core";
import type { Link } from "@cassiapick/wire";
import { expect } from "chai";
import { createEntryLinks } from "../lib/entry-links.js";
import type { Briefing } from "../lib/entry-links.js";

const fleetWithServer = (): FleetMachine => {
    const fleet = createFleetMachine(emptyFleetState);
    const server: ServerAnnouncement = {
        serverId: "a",
        service: "quotes",
        address: "10.0.0.1:80",
        availabilityZone: "z1",
        slots: 3,
        state: ServingState.Ready,
        bornAt: 100,
        warmupLeftMs: 0,
    };
    fleet.apply([{ kind: FactKind.Server, server, keeper: "k1", at: 0 }], 1);
    return fleet;
};

const config: GatewayConfig = {
    number: 4,
    routes: [],
    services: [{ name: "quotes", maxConnections: 10 }],
    limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const hello: EntryHello = {
    k: LinkMessageKind.EntryHello,
    hostId: "h",
    address: "10.0.0.9:80",
    availabilityZone: "z1",
    region: "r1",
    startedAt: 5,
    phase: HostPhase.Leaving,
    configNumber: 0,
    serversRevision: 0,
};

const near: StateHostContact = { address: "10.0.0.2:80", availabilityZone: "z1", region: "r1" };
const far: StateHostContact = { address: "10.0.0.3:80", availabilityZone: "z2", region: "r1" };

/** The kinds of message that a host in zone z1 has got from a state host in z2, by the times of the briefings. */
const kindsAfter = (contacts: StateHostContact[], times: readonly number[]): LinkMessageKind[] => {
    const sent: LinkMessage[] = [];
    const link: Link = {
        send: message => {
            sent.push(message as LinkMessage);
        },
        sendFrame: () => undefined,
        close: () => undefined,
    };
    const links = createEntryLinks("z2");
    const briefing: Briefing = { fleet: fleetWithServer(), config, contacts, entryHosts: 1 };
    links.open(link, hello, 0);
    for (const now of times) {
        links.brief(briefing, now);
    }
    return sent.map(message => message.k);
};

describe("entry links", () => {
    const { Contacts, Servers, Config } = LinkMessageKind;
    const cases: [name: string, contacts: StateHostContact[], times: number[], expected: LinkMessageKind[]][] = [
        // An entry host serves what waits as soon as it has a configuration.
        ["tells of servers before the configuration that leads to them", [far], [0], [Contacts, Servers, Config]],
        ["keeps the briefing back while the host may move to its own zone", [near, far], [0, 200], [Contacts]],
        // The agreed list still names a state host that is down after a power cut.
        ["briefs a host that has not moved within 400 ms", [near, far], [0, 400], [Contacts, Servers, Config]],
        ["tells nothing twice", [far], [0, 100], [Contacts, Servers, Config]],
    ];
    for (const [name, contacts, times, expected] of cases) {
        it(name, () => {
            expect(kindsAfter(contacts, times)).to.deep.equal(expected);
        });
    }
});
