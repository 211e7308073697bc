import { createFleetMachine, emptyFleetState, FactKind, HostPhase, LinkMessageKind, ServingState } from "@cassiapick/core";
import type {
    EntryHello,
    FleetMachine,
    GatewayConfig,
    LimitShares,
    LinkMessage,
    ServerAnnouncement,
    StateHostContact,
} from "@cassiapick/core";
import { createFrameReader } from "@cassiapick/wire";
import type { Link } from "@cassiapick/wire";
import { expect } from "chai";
import { createEntryLinks } from "../lib/entry-links.js";
import type { EntryLinks, FleetSnapshot } from "../lib/entry-links.js";
import { linkOptionsIn } from "./entry-links-options.js";

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

const limitShares: LimitShares = { of: () => [{ number: 1, limitPerS: 2, ratePerS: 0.4 }] };

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

const localContact: StateHostContact = { address: "10.0.0.2:80", availabilityZone: "z1", region: "r1" };
const remoteContact: StateHostContact = { address: "10.0.0.3:80", availabilityZone: "z2", region: "r1" };

const peer = { address: "10.0.0.8:81", availabilityZone: "z1" };
const entryPeers = { of: () => [peer] };

/** Returns the kinds of the messages that a state host in zone z2 sends to a host in z1 while `run` is called. */
const sentKinds = (
    contacts: StateHostContact[],
    run: (links: EntryLinks, snapshot: FleetSnapshot) => void,
    entryHello = hello,
): LinkMessageKind[] => {
    const sent: LinkMessage[] = [];
    const link: Link = {
        send: message => {
            sent.push(message as LinkMessage);
        },
        sendFrame: frame => {
            const decoded = createFrameReader().push(frame);
            sent.push(...(decoded.ok ? decoded.values as LinkMessage[] : []));
        },
        close: () => undefined,
    };
    const links = createEntryLinks(linkOptionsIn("z2"));
    links.addHost(link, entryHello, 0);
    run(links, { fleet: fleetWithServer(), config, contacts, entryHosts: 1, limitShares, entryPeers, quarantined: new Map() });
    return sent.map(message => message.k);
};

const updateAt = (times: readonly number[]) => (links: EntryLinks, snapshot: FleetSnapshot): void =>
    times.forEach(now => links.sendUpdates(snapshot, now));

describe("entry links", () => {
    const { Contacts, Servers, Config, Heartbeat, ViewAge } = LinkMessageKind;
    const cases: [name: string, contacts: StateHostContact[], times: number[], expected: LinkMessageKind[]][] = [
        // An entry host runs waiting requests as soon as it has a configuration.
        ["sends servers before the configuration that routes to them", [remoteContact], [0], [Contacts, Servers, Config]],
        ["sends only contacts while the host may move to its own zone", [localContact, remoteContact], [0, 200], [Contacts]],
        // The replicated list of state hosts may still contain one that is down after a power cut.
        ["sends updates to a host that has not moved within 400 ms", [localContact, remoteContact], [0, 400], [
            Contacts,
            Servers,
            Config,
        ]],
        ["sends nothing twice", [remoteContact], [0, 100], [Contacts, Servers, Config]],
    ];
    // A host that knows servers without their limits would send them too much.
    it("sends limits with the servers, before the configuration, to hosts that understand them", () => {
        const kinds = sentKinds([remoteContact], updateAt([0, 100]), { ...hello, takesLimits: true });
        expect(kinds).to.deep.equal([Contacts, Servers, LinkMessageKind.LimitShares, Config]);
    });
    it("sends peers once, to hosts that name an address for their requests", () => {
        const kinds = sentKinds([remoteContact], updateAt([0, 100]), { ...hello, forwardAddress: "10.0.0.9:81" });
        expect(kinds).to.deep.equal([Contacts, Servers, LinkMessageKind.Peers, Config]);
    });
    for (const [name, contacts, times, expected] of cases) {
        it(name, () => {
            expect(sentKinds(contacts, updateAt(times))).to.deep.equal(expected);
        });
    }

    // An entry host with a recent view answers 404 for a route that it does not know, so it must hold what the view covers.
    const ageCases: [name: string, contacts: StateHostContact[], updatedAt: number[], expected: LinkMessageKind[]][] = [
        ["reports no age of the view before the first update", [remoteContact], [], [Heartbeat]],
        ["reports no age of the view while updates are withheld", [localContact, remoteContact], [0], [Contacts, Heartbeat]],
        ["reports the age of the view after the updates that it covers", [remoteContact], [0], [
            Contacts,
            Servers,
            Config,
            ViewAge,
        ]],
    ];
    for (const [name, contacts, updatedAt, expected] of ageCases) {
        it(name, () => {
            const kinds = sentKinds(contacts, (links, snapshot) => {
                updateAt(updatedAt)(links, snapshot);
                links.sendViewAge(50);
            });
            expect(kinds).to.deep.equal(expected);
        });
    }
});
