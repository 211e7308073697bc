import { expect } from "chai";
import { createFleetMachine, emptyFleetState, FactKind, HostPhase, HostRole, ServingState } from "../index.js";
import type { Fact, HostAnnouncement, ServerAnnouncement } from "../index.js";

const announcement = (overrides: Partial<ServerAnnouncement> = {}): ServerAnnouncement => ({
    serverId: "a",
    service: "quotes",
    address: "10.0.0.1:80",
    availabilityZone: "z1",
    slots: 3,
    state: ServingState.Ready,
    bornAt: 100,
    warmupLeftMs: 0,
    ...overrides,
});

const serverFact = (overrides: Partial<ServerAnnouncement> = {}, keeper = "k1"): Fact => ({
    kind: FactKind.Server,
    server: announcement(overrides),
    keeper,
    at: 1000,
});

const serverLeftFact = (bornAt?: number): Fact => ({ kind: FactKind.ServerLeft, serverId: "a", bornAt });
const serverSilenceFact = (silent: boolean, keeper = "k1"): Fact => ({
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
        { name: "adds a server that announces itself", facts: [serverFact()], expected: "a ready" },
        {
            name: "keeps a draining server draining when an earlier announcement arrives late",
            facts: [serverFact(), serverFact({ state: ServingState.Draining }), serverFact()],
            expected: "a draining",
        },
        {
            name: "keeps a departed server departed when its announcement arrives late",
            facts: [serverFact(), serverLeftFact(), serverFact()],
            expected: "a gone",
        },
        {
            name: "replaces a departed server by a later process with the same id",
            facts: [serverFact(), serverLeftFact(), serverFact({ bornAt: 200 })],
            expected: "a ready",
        },
        {
            name: "ignores an earlier process that was replaced under the same id",
            facts: [serverFact({ bornAt: 200, state: ServingState.Draining }), serverFact()],
            expected: "a draining",
        },
        {
            name: "assigns an address to the process that started last",
            facts: [serverFact(), serverFact({ serverId: "b", bornAt: 300 })],
            expected: "a gone, b ready",
        },
        {
            name: "ignores a late announcement of a process whose address a later process uses",
            facts: [serverFact({ serverId: "b", bornAt: 300 }), serverFact()],
            expected: "b ready",
        },
        { name: "ignores the departure of an earlier process", facts: [serverFact(), serverLeftFact(50)], expected: "a ready" },
        {
            name: "ignores a silence report from a host that is not the keeper",
            facts: [serverFact({}, "k2"), serverSilenceFact(true, "k1")],
            expected: "a ready",
        },
        { name: "marks a silent server as silent", facts: [serverFact(), serverSilenceFact(true)], expected: "a ready silent" },
        {
            name: "clears the silent mark when a server announces itself again",
            facts: [serverFact(), serverSilenceFact(true), serverFact()],
            expected: "a ready",
        },
    ];
    for (const { name, facts, expected } of serverCases) {
        it(name, () => {
            const machine = createFleetMachine(emptyFleetState);
            facts.forEach((fact, index) => machine.apply([fact], index + 1));
            const actual = [...machine.servers()].map(({ serverId, state, silent }) =>
                `${serverId} ${state}${silent ? " silent" : ""}`
            );
            expect(actual.sort().join(", ")).to.equal(expected);
            const copy = createFleetMachine(structuredClone(machine.toState()));
            expect(copy.toState()).to.deep.equal(machine.toState());
        });
    }

    const hostCases: { name: string; facts: Fact[]; expected: HostPhase; }[] = [
        {
            name: "marks an entry host as departed when its keeper reports it",
            facts: [hostFact(HostPhase.Ready, "k1"), hostFact(HostPhase.Departed, "k1")],
            expected: HostPhase.Departed,
        },
        {
            name: "ignores a departure reported by a former keeper",
            facts: [hostFact(HostPhase.Ready, "k1"), hostFact(HostPhase.Ready, "k2"), hostFact(HostPhase.Departed, "k1")],
            expected: HostPhase.Ready,
        },
        {
            name: "ignores facts about an earlier process of a host",
            facts: [hostFact(HostPhase.Ready, "k1", { startedAt: 9 }), hostFact(HostPhase.Departed, "k1")],
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

    it("lists the servers that changed after a revision, oldest first", () => {
        const machine = createFleetMachine(emptyFleetState);
        machine.apply([serverFact()], 4);
        machine.apply([serverFact({ serverId: "b", address: "10.0.0.2:80" })], 7);
        machine.apply([serverFact({ state: ServingState.Draining })], 9);
        expect(machine.serversChangedSince(4).map(record => record.serverId)).to.deep.equal(["b", "a"]);
        expect(machine.serversRevision()).to.equal(9);
    });

    const limitFact = (limitPerS: number | undefined, number = 1): Fact => ({
        kind: FactKind.ServerLimit,
        serverId: "a",
        number,
        limitPerS,
    });
    const limitCases: { name: string; facts: Fact[]; expected: (number | undefined)[]; }[] = [
        { name: "holds the limit of a server", facts: [serverFact(), limitFact(2)], expected: [2] },
        { name: "takes a later limit", facts: [serverFact(), limitFact(2), limitFact(0)], expected: [0] },
        { name: "ends a limit", facts: [serverFact(), limitFact(2), limitFact(undefined)], expected: [] },
        { name: "ignores the limit of an earlier process", facts: [serverFact(), limitFact(2, 7)], expected: [] },
        {
            name: "ends the limit of a process that another one has replaced",
            facts: [serverFact(), limitFact(2), serverFact({ bornAt: 200 })],
            expected: [],
        },
        {
            name: "ends the limit of a server that has left",
            facts: [serverFact(), limitFact(2), { kind: FactKind.ServerLeft, serverId: "a" }],
            expected: [],
        },
        {
            name: "keeps the limit of a server that is draining",
            facts: [serverFact(), limitFact(2), serverFact({ state: ServingState.Draining })],
            expected: [2],
        },
    ];
    for (const { name, facts, expected } of limitCases) {
        it(name, () => {
            const machine = createFleetMachine(emptyFleetState);
            facts.forEach((fact, index) => machine.apply([fact], index + 1));
            const restored = createFleetMachine(structuredClone(machine.toState()));
            for (const view of [machine, restored]) {
                expect(view.limitedServers().map(record => record.limitPerS)).to.deep.equal(expected);
            }
        });
    }

    const publications: { name: string; numbers: [number, string][]; expected: string; }[] = [
        { name: "puts the highest number in force", numbers: [[3, "x"], [9, "y"], [5, "z"]], expected: "9 y" },
        { name: "keeps the first document of a number", numbers: [[3, "x"], [3, "y"]], expected: "3 x" },
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
