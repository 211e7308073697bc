import { expect } from "chai";
import { createRandom, createServerPool, Repeatability, ServingState } from "../index.js";
import type { FleetServer, ServerPool } from "../index.js";

const service = "quotes";
const server = (number: number, changes: Partial<FleetServer> = {}): FleetServer => ({
    number,
    serverId: `s${number}`,
    service,
    address: `s${number}`,
    availabilityZone: "a1",
    slots: 3,
    state: ServingState.Ready,
    bornAt: 0,
    warmAt: 0,
    silent: false,
    keeper: "",
    revision: number,
    ...changes,
});

const restsUntil = 3000;

/** Server 1 rests until 3000, and server 2 is failing or full, so that every way of choosing prefers server 1. */
const cases: { name: string; prepare?: (pool: ServerPool) => void; now: number; expected: number | undefined; }[] = [
    { name: "gets no request", now: 100, expected: 2 },
    { name: "gets requests again afterwards", now: restsUntil, expected: 1 },
    {
        name: "gets no request while the other server fails",
        prepare: pool => [0, 1, 2].forEach(() => pool.recordConnectFailure(2, false, 2000)),
        now: 2000,
        expected: 2,
    },
    {
        name: "gets no request to find out whether it has recovered",
        prepare: pool => pool.requestStarted(2, 2900),
        now: 2900,
        expected: 2,
    },
    {
        name: "gets no request after its record has changed",
        prepare: pool => pool.update([server(1, { slots: 5, revision: 9 })]),
        now: 2000,
        expected: 2,
    },
    {
        name: "gets no request after it has asked for a shorter rest",
        prepare: pool => pool.recordRest(1, 500),
        now: 2000,
        expected: 2,
    },
    {
        name: "gets requests after its restart",
        prepare: pool => pool.update([server(3, { serverId: "s1", address: "s1" })]),
        now: 100,
        expected: 3,
    },
    {
        name: "gets no request when there is no other server",
        prepare: pool => pool.update([server(2, { state: ServingState.Departed })]),
        now: 100,
        expected: undefined,
    },
];

// Guards against requests and trial connections to a server that has asked this host for none for a while.
describe("a server that rests", () => {
    for (const { name, prepare, now, expected } of cases) {
        it(name, () => {
            const pool = createServerPool({
                locality: { availabilityZone: "a1", regions: { a1: "a" } },
                random: createRandom(1),
                wallClock: () => 100_000,
            });
            // A longer way to server 2 makes server 1 the first choice.
            pool.update([server(1), server(2, { availabilityZone: "b1" })]);
            pool.recordRest(1, restsUntil);
            prepare?.(pool);
            for (const repeatability of Object.values(Repeatability)) {
                expect(pool.choose(service, repeatability, new Set(), now)?.server.number).to.equal(expected);
            }
            const isReady = pool.readyServers(service, now).some(({ number }) => number === 1);
            expect(isReady, "ready for trial connections").to.equal(expected === 1);
        });
    }
});

// Guards against requests and trial connections to a server that has stated that it is leaving.
describe("a server that leaves", () => {
    const leavingCases: { name: string; prepare: (pool: ServerPool) => void; leaving: number[]; ready: number[]; }[] = [
        { name: "as it has stated in an answer", prepare: pool => pool.recordLeaving(1), leaving: [1], ready: [2] },
        {
            name: "as its record shows",
            prepare: pool => pool.update([server(1, { state: ServingState.Draining })]),
            leaving: [1],
            ready: [2],
        },
        {
            name: "also after its record has changed otherwise",
            prepare: pool => {
                pool.recordLeaving(1);
                pool.update([server(1, { slots: 5, revision: 9 })]);
            },
            leaving: [1],
            ready: [2],
        },
        {
            name: "until it starts again",
            prepare: pool => {
                pool.recordLeaving(1);
                pool.update([server(3, { serverId: "s1", address: "s1" })]);
            },
            leaving: [],
            ready: [2, 3],
        },
    ];
    for (const { name, prepare, leaving, ready } of leavingCases) {
        it(`gets nothing ${name}`, () => {
            const pool = createServerPool({
                locality: { availabilityZone: "a1", regions: { a1: "a" } },
                random: createRandom(1),
                wallClock: () => 100_000,
            });
            pool.update([server(1), server(2)]);
            prepare(pool);
            expect(pool.leavingServers(service)).to.deep.equal(leaving);
            expect(pool.readyServers(service, 0).map(({ number }) => number)).to.deep.equal(ready);
            const chosen = pool.choose(service, Repeatability.AtMostOnce, new Set([2]), 0)?.server.number;
            expect(chosen).to.equal(ready.find(number => number !== 2));
        });
    }
});
