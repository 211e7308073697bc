import { expect } from "chai";
import { createFleetMachine, emptyFleetState, FactKind, HostPhase, HostRole, ServingState } from "../index.js";
import type { Fact, HostAnnouncement, ServerAnnouncement } from "../index.js";

const announcement = (change: Partial<ServerAnnouncement> = {}): ServerAnnouncement => ({
    serverId: "a",
    service: "quotes",
    address: "10.0.0.1:80",
    availabilityZone: "z1",
    slots: 3,
    state: ServingState.Ready,
    bornAt: 100,
    warmupLeftMs: 0,
    ...change,
});

const serverFact = (change: Partial<ServerAnnouncement> = {}, keeper = "k1"): Fact => ({
    kind: FactKind.Server,
    server: announcement(change),
    keeper,
    at: 1000,
});

const left = (bornAt?: number): Fact => ({ kind: FactKind.ServerLeft, serverId: "a", bornAt });
const silence = (silent: boolean, keeper = "k1"): Fact => ({
    kind: FactKind.ServerSilence,
    serverId: "a",
    bornAt: 100,
    silent,
    keeper,
});

const hostFact = (state: HostPhase, keeper: string, change: Partial<HostAnnouncement> = {}): Fact => ({
    kind: FactKind.Host,
    keeper,
    host: {
        hostId: "h",
        role: HostRole.Entry,
        address: "10.0.0.9:80",
        availabilityZone: "z1",
        region: "r1",
        startedAt: 5,
        state,
        ...change,
    },
});

describe("fleet machine", () => {
    const serverCases: { name: string; facts: Fact[]; expected: string; }[] = [
        { name: "keeps a server that announces itself", facts: [serverFact()], expected: "a ready" },
        {
            name: "keeps a leaving server leaving when an earlier announcement arrives late",
            facts: [serverFact(), serverFact({ state: ServingState.Draining }), serverFact()],
            expected: "a draining",
        },
        { name: "keeps a server that left away", facts: [serverFact(), left(), serverFact()], expected: "a gone" },
        {
            name: "takes the next process under the same name",
            facts: [serverFact(), left(), serverFact({ bornAt: 200 })],
            expected: "a ready",
        },
        {
            name: "ignores a process that was replaced under the same name",
            facts: [serverFact({ bornAt: 200, state: ServingState.Draining }), serverFact()],
            expected: "a draining",
        },
        {
            name: "gives an address to the process that started last",
            facts: [serverFact(), serverFact({ serverId: "b", bornAt: 300 })],
            expected: "a gone, b ready",
        },
        {
            name: "ignores a late announcement of a process whose address has another one",
            facts: [serverFact({ serverId: "b", bornAt: 300 }), serverFact()],
            expected: "b ready",
        },
        { name: "ignores that an earlier process left", facts: [serverFact(), left(50)], expected: "a ready" },
        {
            name: "marks a silent server only for the host that watches it",
            facts: [serverFact({}, "k2"), silence(true, "k1")],
            expected: "a ready",
        },
        { name: "marks a silent server", facts: [serverFact(), silence(true)], expected: "a ready silent" },
        {
            name: "trusts a silent server that is heard again",
            facts: [serverFact(), silence(true), serverFact()],
            expected: "a ready",
        },
    ];
    for (const { name, facts, expected } of serverCases) {
        it(name, () => {
            const machine = createFleetMachine(emptyFleetState);
            facts.forEach((fact, index) => machine.apply([fact], index + 1));
            const seen = [...machine.servers()].map(({ serverId, state, silent }) =>
                `${serverId} ${state}${silent ? " silent" : ""}`
            );
            expect(seen.sort().join(", ")).to.equal(expected);
            const copy = createFleetMachine(structuredClone(machine.toState()));
            expect(copy.toState()).to.deep.equal(machine.toState());
        });
    }

    const hostCases: { name: string; facts: Fact[]; expected: HostPhase; }[] = [
        {
            name: "lets the watching state host say that an entry host is gone",
            facts: [hostFact(HostPhase.Ready, "k1"), hostFact(HostPhase.Gone, "k1")],
            expected: HostPhase.Gone,
        },
        {
            name: "keeps an entry host that listens to another state host by now",
            facts: [hostFact(HostPhase.Ready, "k1"), hostFact(HostPhase.Ready, "k2"), hostFact(HostPhase.Gone, "k1")],
            expected: HostPhase.Ready,
        },
        {
            name: "ignores facts about an earlier process",
            facts: [hostFact(HostPhase.Ready, "k1", { startedAt: 9 }), hostFact(HostPhase.Gone, "k1")],
            expected: HostPhase.Ready,
        },
    ];
    for (const { name, facts, expected } of hostCases) {
        it(name, () => {
            const machine = createFleetMachine(emptyFleetState);
            facts.forEach((fact, index) => machine.apply([fact], index + 1));
            expect(machine.host("h")?.state).to.equal(expected);
        });
    }

    it("tells what changed after a revision, oldest first", () => {
        const machine = createFleetMachine(emptyFleetState);
        machine.apply([serverFact()], 4);
        machine.apply([serverFact({ serverId: "b", address: "10.0.0.2:80" })], 7);
        machine.apply([serverFact({ state: ServingState.Draining })], 9);
        expect(machine.serversSince(4).map(record => record.serverId)).to.deep.equal(["b", "a"]);
        expect(machine.serversRevision()).to.equal(9);
    });

    const publications: { name: string; numbers: [number, string][]; expected: string; }[] = [
        { name: "puts the highest number in force", numbers: [[3, "x"], [9, "y"], [5, "z"]], expected: "9 y" },
        { name: "keeps the first content of a number", numbers: [[3, "x"], [3, "y"]], expected: "3 x" },
    ];
    for (const { name, numbers, expected } of publications) {
        it(name, () => {
            const machine = createFleetMachine(emptyFleetState);
            for (const [number, document] of numbers) {
                machine.publish({ number, document });
            }
            expect(`${machine.published()!.number} ${machine.published()!.document}`).to.equal(expected);
        });
    }
});
