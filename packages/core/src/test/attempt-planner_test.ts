import { expect } from "chai";
import { planAttempt, Repeatability, ServingState } from "../index.js";
import type { EntryPeer, FleetServer, ServerChoice } from "../index.js";

const server: FleetServer = {
    number: 1,
    serverId: "s1",
    service: "quotes",
    address: "s1",
    availabilityZone: "z1",
    slots: 3,
    state: ServingState.Ready,
    bornAt: 0,
    warmAt: 0,
    silent: false,
    keeper: "",
    revision: 1,
};
const idleServer: ServerChoice = { server, failureProbability: 0.1, load: 0 };
const fullServer: ServerChoice = { ...idleServer, load: 3 };
const unhealthyServer: ServerChoice = { ...idleServer, failureProbability: 0.8 };
const peer: EntryPeer = { address: "h2", availabilityZone: "z1" };

const cases: { name: string; isLost: boolean; choice?: ServerChoice; peer?: EntryPeer; attemptCount?: number; kind: string; }[] =
    [
        { name: "the path is intact", isLost: false, choice: fullServer, peer, kind: "direct" },
        { name: "the path is lost and a server is reached", isLost: true, choice: idleServer, peer, kind: "direct" },
        { name: "the only server that is reached is full", isLost: true, choice: fullServer, peer, kind: "forward" },
        { name: "the only server that is reached is unhealthy", isLost: true, choice: unhealthyServer, peer, kind: "forward" },
        {
            name: "the server that is reached is full and no other host is left",
            isLost: true,
            choice: fullServer,
            kind: "direct",
        },
        { name: "a first attempt has failed", isLost: true, choice: idleServer, peer, attemptCount: 1, kind: "forward" },
        { name: "nothing is reached", isLost: true, peer, kind: "forward" },
        { name: "nothing is reached and no other host is left", isLost: true, kind: "none" },
    ];

// Guards against hosts with a path to a few servers that send all their requests to these.
describe("plan of an attempt", () => {
    for (const { name, isLost, choice, peer: otherHost, attemptCount = 0, kind } of cases) {
        it(`is ${kind} when ${name}`, () => {
            const plan = planAttempt(
                "quotes",
                Repeatability.AtMostOnce,
                { servers: new Set(), peers: new Set(), attemptCount },
                {
                    pool: { choose: () => choice },
                    path: { isServiceLost: () => isLost },
                    peers: { choose: () => otherHost },
                },
                0,
            );
            expect(plan.kind).to.equal(kind);
        });
    }

    const attempts = [
        { attemptCount: 0, expected: Repeatability.Repeatable },
        { attemptCount: 1, expected: Repeatability.AtMostOnce },
    ];
    for (const { attemptCount, expected } of attempts) {
        it(`chooses a server for a repeatable request after ${attemptCount} attempts as for one that is ${expected}`, () => {
            const chosenAs: Repeatability[] = [];
            planAttempt(
                "quotes",
                Repeatability.Repeatable,
                { servers: new Set(), peers: new Set(), attemptCount },
                {
                    pool: {
                        choose: (_service, repeatability) => {
                            chosenAs.push(repeatability);
                            return idleServer;
                        },
                    },
                    path: { isServiceLost: () => false },
                    peers: { choose: () => undefined },
                },
                0,
            );
            expect(chosenAs).to.deep.equal([expected]);
        });
    }
});
