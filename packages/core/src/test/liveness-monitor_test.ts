import { expect } from "chai";
import {
    createFleetMachine,
    createLivenessMonitor,
    emptyFleetState,
    FactKind,
    HostPhase,
    HostRole,
    ServingState,
} from "../index.js";
import type { Fact, FleetMachine, HostAnnouncement, LivenessMonitor, ServerAnnouncement } from "../index.js";

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
const host: HostAnnouncement = {
    hostId: "h",
    role: HostRole.Entry,
    address: "10.0.0.9:80",
    availabilityZone: "z1",
    region: "r1",
    state: HostPhase.Ready,
    startedAt: 5,
};

/** The wall-clock time of all tests, in milliseconds since 1970. */
const wallTime = 150;

interface Setup {
    fleet: FleetMachine;
    monitor: LivenessMonitor;
    commit: (facts: (Fact | undefined)[]) => void;
}

const setUp = (): Setup => {
    const fleet = createFleetMachine(emptyFleetState);
    let revision = 0;
    const commit = (facts: (Fact | undefined)[]): void => {
        revision += 1;
        fleet.apply(facts.filter((fact): fact is Fact => fact !== undefined), revision);
    };
    return { fleet, monitor: createLivenessMonitor({ stateHostId: "k1", heartbeatMs: 1000, wallClock: () => wallTime }), commit };
};

describe("liveness monitor", () => {
    it("returns a fact only for changes of a server", () => {
        const { fleet, monitor, commit } = setUp();
        const first = monitor.serverAnnounced(fleet, server, 0);
        expect(first?.kind).to.equal(FactKind.Server);
        commit([first]);
        expect(monitor.serverAnnounced(fleet, server, 1000)).to.equal(undefined);
        const leaving = monitor.serverAnnounced(fleet, { ...server, state: ServingState.Draining }, 2000);
        expect(leaving?.kind).to.equal(FactKind.Server);
        commit([leaving]);
        expect(monitor.serverAnnounced(fleet, server, 2500)).to.equal(undefined);
        commit(monitor.serverLeft(fleet, "a", undefined));
        expect(monitor.serverAnnounced(fleet, server, 3000)).to.equal(undefined);
        expect(fleet.server("a")?.state).to.equal(ServingState.Departed);
    });

    // Guards against the acknowledgement of a leave that is recorded nowhere, as the state host doesn't know the server.
    const leaves: {
        name: string;
        known?: Partial<ServerAnnouncement>;
        hasLeft?: boolean;
        bornAt?: number;
        isCommitted: boolean;
    }[] = [
        { name: "of an unknown server", bornAt: 100, isCommitted: true },
        { name: "of an unknown server without a start time", isCommitted: true },
        { name: "of a known process", known: {}, bornAt: 100, isCommitted: true },
        { name: "of a later process than the known one", known: {}, bornAt: 200, isCommitted: true },
        { name: "of a later process than one that has left", known: {}, hasLeft: true, bornAt: 200, isCommitted: true },
        { name: "of an earlier process than the known one", known: {}, bornAt: 50, isCommitted: false },
        { name: "of a process that has left", known: {}, hasLeft: true, bornAt: 100, isCommitted: false },
        { name: "of a process that has left, without a start time", known: {}, hasLeft: true, isCommitted: false },
    ];
    for (const { name, known, hasLeft, bornAt, isCommitted } of leaves) {
        it(`commits the leave ${name}: ${isCommitted}`, () => {
            const { fleet, monitor, commit } = setUp();
            if (known !== undefined) {
                commit([monitor.serverAnnounced(fleet, { ...server, ...known }, 0)]);
            }
            if (hasLeft === true) {
                commit(monitor.serverLeft(fleet, "a", server.bornAt));
            }
            const facts = monitor.serverLeft(fleet, "a", bornAt);
            expect(facts.at(-1)).to.deep.equal(isCommitted ? { kind: FactKind.ServerLeft, serverId: "a", bornAt } : undefined);
        });
    }

    // Guards against a server that has left and gets requests again, as its announcement is committed after its notice.
    const lateAnnouncements: {
        name: string;
        /** Committed before the notice, which comes from a state host that knows only `known`. */
        committed?: Partial<ServerAnnouncement>;
        known?: Partial<ServerAnnouncement>;
        noticeBornAt: number | undefined;
        late: Partial<ServerAnnouncement>;
        expected: ServingState;
    }[] = [
        { name: "of an unknown process", noticeBornAt: 100, late: {}, expected: ServingState.Departed },
        {
            name: "of an unknown process that drains",
            noticeBornAt: 100,
            late: { state: ServingState.Draining },
            expected: ServingState.Departed,
        },
        {
            name: "of a process that the state host does not know yet",
            committed: {},
            noticeBornAt: 100,
            late: {},
            expected: ServingState.Departed,
        },
        {
            name: "of a process that names no start time",
            noticeBornAt: undefined,
            late: { bornAt: 0 },
            expected: ServingState.Departed,
        },
        {
            name: "of a process whose notice names no start time",
            noticeBornAt: undefined,
            late: {},
            expected: ServingState.Departed,
        },
        {
            name: "of a successor of a process whose notice names no start time",
            noticeBornAt: undefined,
            late: { bornAt: 200 },
            expected: ServingState.Ready,
        },
        {
            name: "of a process that the state host does not know yet, whose notice names no start time",
            committed: {},
            noticeBornAt: undefined,
            late: {},
            expected: ServingState.Departed,
        },
        {
            name: "of a process whose predecessor is known",
            committed: { bornAt: 50 },
            known: { bornAt: 50 },
            noticeBornAt: 100,
            late: {},
            expected: ServingState.Departed,
        },
        {
            name: "of a predecessor of an unknown process",
            noticeBornAt: 100,
            late: { bornAt: 50 },
            expected: ServingState.Departed,
        },
        {
            name: "of a successor of an unknown process",
            noticeBornAt: 100,
            late: { bornAt: 200 },
            expected: ServingState.Ready,
        },
        {
            name: "of a successor that the state host does not know yet",
            committed: { bornAt: 200 },
            noticeBornAt: 100,
            late: { bornAt: 200 },
            expected: ServingState.Ready,
        },
        {
            name: "of a successor, at an address that another server has used in the meantime",
            committed: { serverId: "b", bornAt: 150 },
            noticeBornAt: 100,
            late: { bornAt: 200 },
            expected: ServingState.Ready,
        },
    ];
    for (const { name, committed, known, noticeBornAt, late, expected } of lateAnnouncements) {
        it(`after a leave, the late announcement ${name} leaves it ${expected}`, () => {
            const { fleet, commit } = setUp();
            const { fleet: knownFleet, monitor, commit: commitKnown } = setUp();
            const announce = (change: Partial<ServerAnnouncement>): Fact => ({
                kind: FactKind.Server,
                server: { ...server, ...change },
                keeper: "k2",
                at: 0,
            });
            commit([committed === undefined ? undefined : announce(committed)]);
            commitKnown([known === undefined ? undefined : announce(known)]);
            commit(monitor.serverLeft(knownFleet, "a", noticeBornAt));
            commit([announce(late)]);
            expect(fleet.server("a")?.state).to.equal(expected);
        });
    }

    it("records no address for a server that left unannounced, so that another server may use any", () => {
        const { fleet, monitor, commit } = setUp();
        commit(monitor.serverLeft(fleet, "a", 100));
        commit(monitor.serverLeft(fleet, "b", 50));
        expect([...fleet.servers()].map(({ serverId, state }) => [serverId, state])).to.deep.equal([
            ["a", ServingState.Departed],
            ["b", ServingState.Departed],
        ]);
        expect(fleet.serverByAddress("0.0.0.0:1")).to.equal(undefined);
    });

    it("takes over a server that announced itself to another state host before", () => {
        const { fleet, monitor, commit } = setUp();
        commit([{ kind: FactKind.Server, server, keeper: "k2", at: 0 }]);
        commit([monitor.serverAnnounced(fleet, server, 0)]);
        expect(fleet.server("a")?.keeper).to.equal("k1");
    });

    it("reports a server as silent after three missed announcements, and no sooner", () => {
        const { fleet, monitor, commit } = setUp();
        commit([monitor.serverAnnounced(fleet, server, 0)]);
        expect(monitor.missingFacts(fleet, 3000)).to.deep.equal([]);
        commit(monitor.missingFacts(fleet, 3500));
        expect(fleet.server("a")?.silent).to.equal(true);
        commit([monitor.serverAnnounced(fleet, server, 4000)]);
        expect(fleet.server("a")?.silent).to.equal(false);
    });

    it("waits for announcements after its own restart before it reports a server as silent", () => {
        const { fleet, monitor, commit } = setUp();
        commit([{ kind: FactKind.Server, server, keeper: "k1", at: 0 }]);
        expect(monitor.missingFacts(fleet, 50_000)).to.deep.equal([]);
        expect(monitor.missingFacts(fleet, 53_500)).to.have.length(1);
    });

    it("reports an entry host as departed when it has been detached for a while", () => {
        const { fleet, monitor, commit } = setUp();
        monitor.hostAttached(host);
        commit(monitor.missingFacts(fleet, 0));
        expect(fleet.host("h")?.state).to.equal(HostPhase.Ready);
        monitor.hostDetached("h", 1000);
        expect(monitor.missingFacts(fleet, 1500)).to.deep.equal([]);
        commit(monitor.missingFacts(fleet, 2000));
        expect(fleet.host("h")?.state).to.equal(HostPhase.Departed);
        monitor.hostAttached(host);
        commit(monitor.missingFacts(fleet, 2100));
        expect(fleet.host("h")?.state).to.equal(HostPhase.Ready);
    });

    const starting: HostAnnouncement = { ...host, state: HostPhase.Leaving, startedAt: 6 };
    const recorded: [name: string, known: HostAnnouncement | undefined, host: HostAnnouncement, isRecorded: boolean][] = [
        ["not a host that starts for the first time", undefined, starting, false],
        ["a host that is ready", undefined, { ...host, startedAt: 6 }, true],
        ["a host that starts again, as the record says that callers may connect", host, starting, true],
        ["a host that stops", { ...host, startedAt: 6 }, starting, true],
        ["a state host, also one that stops", undefined, { ...starting, role: HostRole.State }, true],
    ];
    for (const [name, known, attached, isRecorded] of recorded) {
        it(`records ${name}`, () => {
            const { fleet, monitor, commit } = setUp();
            commit([known === undefined ? undefined : { kind: FactKind.Host, host: known, keeper: "k1" }]);
            monitor.hostAttached(attached);
            expect(monitor.missingFacts(fleet, 0).length).to.equal(isRecorded ? 1 : 0);
        });
    }
});
