import { expect } from "chai";
import {
    computeLimitShares,
    createFleetMachine,
    emptyFleetState,
    FactKind,
    HostPhase,
    HostRole,
    ServingState,
} from "../index.js";
import type { Fact, FleetMachine } from "../index.js";

const hostFact = (hostId: string, state: HostPhase, role = HostRole.Entry): Fact => ({
    kind: FactKind.Host,
    host: { hostId, role, address: hostId, availabilityZone: "z", region: "r", state, startedAt: 1 },
    keeper: "k",
});

const limitedServerFacts = (serverId: string, number: number, limitPerS: number): Fact[] => [
    {
        kind: FactKind.Server,
        server: {
            serverId,
            service: "svc",
            address: `${serverId}:1`,
            availabilityZone: "z",
            slots: 3,
            state: ServingState.Ready,
            bornAt: 1,
            warmupLeftMs: 0,
        },
        keeper: "k",
        at: 0,
    },
    { kind: FactKind.ServerLimit, serverId, number, limitPerS },
];

const createFleet = (facts: readonly Fact[]): FleetMachine => {
    const fleet = createFleetMachine(emptyFleetState);
    fleet.apply(facts, 1);
    return fleet;
};

const hostIds = Array.from({ length: 100 }, (_, index) => `h${index}`);
const readyHosts = hostIds.map(hostId => hostFact(hostId, HostPhase.Ready));

const ownersOf = (fleet: FleetMachine): string[] =>
    hostIds.filter(hostId => computeLimitShares(fleet).of(hostId).some(share => share.ratePerS > 0));

describe("shares of limits", () => {
    const rateCases: [limitPerS: number, owners: number, totalPerS: number][] = [
        [0, 1, 0.2],
        [0.3, 2, 0.3],
        [1, 3, 1],
        [1.7, 5, 1.7],
        [10, 21, 10],
        [1000, 100, 1000],
    ];
    for (const [limitPerS, owners, totalPerS] of rateCases) {
        it(`divide ${limitPerS} requests a second among ${owners} of 100 hosts`, () => {
            const fleet = createFleet([...readyHosts, ...limitedServerFacts("a", 1, limitPerS)]);
            const rates = hostIds.map(hostId => computeLimitShares(fleet).of(hostId)[0]!.ratePerS);
            expect(rates.filter(rate => rate > 0)).to.have.length(owners);
            expect(rates.reduce((sum, rate) => sum + rate, 0)).to.be.closeTo(totalPerS, 0.001);
        });
    }

    const excludedHosts: [name: string, fact: Fact][] = [
        ["a leaving host", hostFact("x", HostPhase.Leaving)],
        ["a departed host", hostFact("x", HostPhase.Departed)],
        ["a state host", hostFact("x", HostPhase.Ready, HostRole.State)],
    ];
    for (const [name, fact] of excludedHosts) {
        it(`give ${name} no part`, () => {
            const fleet = createFleet([hostFact("h0", HostPhase.Ready), fact, ...limitedServerFacts("a", 1, 1)]);
            expect(computeLimitShares(fleet).of("x")).to.deep.equal([{ number: 1, limitPerS: 1, ratePerS: 0 }]);
            expect(computeLimitShares(fleet).of("h0")).to.deep.equal([{ number: 1, limitPerS: 1, ratePerS: 1 }]);
        });
    }

    it("move only the parts of a host that leaves", () => {
        const fleet = createFleet([...readyHosts, ...limitedServerFacts("a", 1, 2)]);
        const before = ownersOf(fleet);
        fleet.apply([hostFact(before[0]!, HostPhase.Departed)], 2);
        const after = ownersOf(fleet);
        expect(after).to.have.length(before.length);
        expect(after).to.include.members(before.slice(1));
    });

    it("do not change when another server names a limit", () => {
        const fleet = createFleet([...readyHosts, ...limitedServerFacts("a", 1, 2)]);
        const shareOfFirst = (hostId: string): number => computeLimitShares(fleet).of(hostId)[0]!.ratePerS;
        const before = hostIds.map(shareOfFirst);
        fleet.apply(limitedServerFacts("b", 2, 2), 2);
        expect(hostIds.map(shareOfFirst)).to.deep.equal(before);
    });
});
