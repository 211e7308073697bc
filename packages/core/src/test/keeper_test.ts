import { expect } from "chai";
import { createFleetMachine, createKeeper, emptyFleetState, FactKind, HostPhase, HostRole, ServingState } from "../index.js";
import type { Fact, FleetMachine, HostAnnouncement, Keeper, ServerAnnouncement } from "../index.js";

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

interface Setup {
    fleet: FleetMachine;
    keeper: Keeper;
    agree: (facts: (Fact | undefined)[]) => void;
}

const setUp = (): Setup => {
    const fleet = createFleetMachine(emptyFleetState);
    let revision = 0;
    const agree = (facts: (Fact | undefined)[]): void => {
        revision += 1;
        fleet.apply(facts.filter((fact): fact is Fact => fact !== undefined), revision);
    };
    return { fleet, keeper: createKeeper({ stateHostId: "k1", heartbeatMs: 1000, wallClock: () => 0 }), agree };
};

describe("keeper", () => {
    it("has only news agreed on", () => {
        const { fleet, keeper, agree } = setUp();
        const first = keeper.announced(fleet, server, 0);
        expect(first?.kind).to.equal(FactKind.Server);
        agree([first]);
        expect(keeper.announced(fleet, server, 1000)).to.equal(undefined);
        const leaving = keeper.announced(fleet, { ...server, state: ServingState.Draining }, 2000);
        expect(leaving?.kind).to.equal(FactKind.Server);
        agree([leaving]);
        expect(keeper.announced(fleet, server, 2500)).to.equal(undefined);
        agree([keeper.left(fleet, "a", undefined)]);
        expect(keeper.announced(fleet, server, 3000)).to.equal(undefined);
        expect(fleet.server("a")?.state).to.equal(ServingState.Departed);
    });

    it("takes over a server that announces itself here now", () => {
        const { fleet, keeper, agree } = setUp();
        agree([{ kind: FactKind.Server, server, keeper: "k2", at: 0 }]);
        agree([keeper.announced(fleet, server, 0)]);
        expect(fleet.server("a")?.keeper).to.equal("k1");
    });

    it("says that a server is silent after three missed announcements, and no sooner", () => {
        const { fleet, keeper, agree } = setUp();
        agree([keeper.announced(fleet, server, 0)]);
        expect(keeper.missing(fleet, 3000)).to.deep.equal([]);
        agree(keeper.missing(fleet, 3500));
        expect(fleet.server("a")?.silent).to.equal(true);
        agree([keeper.announced(fleet, server, 4000)]);
        expect(fleet.server("a")?.silent).to.equal(false);
    });

    it("waits before it calls a server silent that it took over by a restart", () => {
        const { fleet, keeper, agree } = setUp();
        agree([{ kind: FactKind.Server, server, keeper: "k1", at: 0 }]);
        expect(keeper.missing(fleet, 50_000)).to.deep.equal([]);
        expect(keeper.missing(fleet, 53_500)).to.have.length(1);
    });

    it("says that an entry host is gone when it has listened nowhere for a while", () => {
        const { fleet, keeper, agree } = setUp();
        keeper.attached(host);
        agree(keeper.missing(fleet, 0));
        expect(fleet.host("h")?.state).to.equal(HostPhase.Ready);
        keeper.detached("h", 1000);
        expect(keeper.missing(fleet, 1500)).to.deep.equal([]);
        agree(keeper.missing(fleet, 2000));
        expect(fleet.host("h")?.state).to.equal(HostPhase.Departed);
        keeper.attached(host);
        agree(keeper.missing(fleet, 2100));
        expect(fleet.host("h")?.state).to.equal(HostPhase.Ready);
    });
});
