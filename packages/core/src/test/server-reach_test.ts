import { expect } from "chai";
import { createServerReach } from "../index.js";
import type { ServerReach } from "../index.js";

/** Servers 1 to 4 are of service "a", 5 to 8 of service "b", and 9 is the only one of service "c". */
const serviceOf = (number: number): string => {
    if (number === 9) {
        return "c";
    }
    return number <= 4 ? "a" : "b";
};
const target = (number: number): { number: number; service: string; } => ({ number, service: serviceOf(number) });
const sizes: Record<string, number> = { a: 4, b: 4, c: 1 };

/** A positive number is a connection to that server, and a negative one a failed connection. */
type Step = number;

const play = (reach: ServerReach, steps: readonly Step[], stepMs = 10): { number: number; isShared: boolean; }[] =>
    steps.flatMap((step, index) => {
        const now = index * stepMs;
        if (step > 0) {
            return reach.connected(target(step), now);
        }
        reach.notConnected(target(-step), now);
        return [];
    });

const create = (): ServerReach =>
    createServerReach({
        serverCount: service => service === undefined ? 9 : sizes[service] ?? 0,
        serviceCount: () => Object.keys(sizes).length,
    });

interface Case {
    name: string;
    steps: Step[];
    stepMs?: number;
    /** Services whose path is lost; "*" stands for all. */
    lost: string[];
    /** Servers whose failure is evidence, and whether other hosts learn of it. */
    confirmed?: [number: number, isShared: boolean][];
    reachable?: number[];
}

const cases: Case[] = [
    { name: "a single failure", steps: [-1], lost: [] },
    { name: "failures of two servers, one of them repeatedly", steps: [-1, -2, -1, -1], lost: [] },
    { name: "failures of three servers of two services of three", steps: [-1, -2, -5], lost: [] },
    { name: "failures of servers of all services", steps: [-1, -5, -9], lost: ["*", "c"] },
    {
        name: "failures of all services one by one, while no server accepts",
        steps: [-1, -2, -3, -5, -6, -7, -9],
        lost: ["*", "a", "b", "c"],
    },
    {
        name: "failures of two services while the third accepts",
        steps: [-1, -2, 9, -3, -5, -6, 9, -7],
        lost: ["a", "b"],
        reachable: [9],
    },
    { name: "failures of three servers of one service while another accepts", steps: [-1, -2, 5, -3], lost: ["a"] },
    { name: "the failure of the only server of a service while others accept", steps: [1, -9], lost: ["c"] },
    { name: "failures of three servers within a long time", steps: [-1, -2, -3], stepMs: 4000, lost: [] },
    { name: "a success between failures", steps: [-1, -2, 3, -4, -5], lost: [] },
    { name: "one success after the loss", steps: [-1, -2, -3, 4], lost: ["a"], reachable: [1, 2, 3, 4, 5, 6, 7, 8, 9] },
    { name: "a failure after a success after the loss", steps: [-1, -2, -3, 4, -2], lost: ["a"], reachable: [4, 5, 6, 7, 8, 9] },
    {
        name: "successes of the server that was reached all along",
        steps: [-1, -2, -3, 4, -2, 4, 4, 4],
        lost: ["a"],
        reachable: [4, 5, 6, 7, 8, 9],
    },
    { name: "successes of all servers after the loss", steps: [-1, -2, -3, 4, 1, 2, 3], lost: [] },
    { name: "three successes soon after the loss", steps: [-1, -2, -3, 4, 1, 2], lost: ["a"] },
    { name: "three successes long after the loss", steps: [-1, -2, -3, 5, 5, 5, 5, 4, 1, 2], stepMs: 2100, lost: [] },
    {
        name: "one success after the loss of all services",
        steps: [-1, -5, -9, 4],
        lost: ["*", "c"],
        reachable: [1, 2, 3, 4, 5, 6, 7, 8, 9],
    },
    {
        name: "three successes after the loss of all services",
        steps: [-1, -5, -9, 1, 2, 6],
        lost: ["c"],
        reachable: [1, 2, 3, 4, 5, 6, 7, 8, 9],
    },
    { name: "successes of all services after their loss", steps: [-1, -5, -9, 1, 6, 9], lost: [] },
    {
        name: "three successes with a failure between them",
        steps: [-1, -5, -9, 1, 2, -9, 6],
        lost: ["c"],
        reachable: [1, 2, 3, 4, 5, 6, 7, 8],
    },
    {
        name: "a failure of a server that had accepted since the loss",
        steps: [-1, -2, -3, -5, -6, -7, -9, 1, 2, -1],
        lost: ["*", "a", "b", "c"],
        reachable: [2, 5, 6, 7, 8, 9],
    },
    { name: "a failure and a success of another server", steps: [-1, 2], lost: [], confirmed: [[1, true]] },
    { name: "a failure and a success of the same server", steps: [-1, 1], lost: [], confirmed: [] },
    { name: "a loss and the return of the path", steps: [-1, -5, -9, 6, 7, 9], lost: [], confirmed: [] },
    {
        name: "failures of many servers of which others can be reached",
        steps: [-1, 2, -5, 6, -3, 2],
        lost: [],
        confirmed: [[1, true], [5, true], [3, false]],
    },
];

// Guards against hosts that take the loss of their own network path for failures of healthy servers.
describe("reach of an entry host", () => {
    for (const { name, steps, stepMs, lost, confirmed, reachable } of cases) {
        it(`${lost.length === 0 ? "is not lost" : "is lost"} after ${name}`, () => {
            const reach = create();
            const failures = play(reach, steps, stepMs);
            expect(reach.lostServices().map(service => service ?? "*")).to.deep.equal(lost);
            if (confirmed !== undefined) {
                expect(failures.map(({ number, isShared }) => [number, isShared])).to.deep.equal(confirmed);
            }
            if (reachable !== undefined) {
                const found = [1, 2, 3, 4, 5, 6, 7, 8, 9].filter(number => reach.isReachable(target(number)));
                expect(found).to.deep.equal(reachable);
            }
        });
    }

    it("is not lost after the failure of the last server, which has left meanwhile", () => {
        const reach = createServerReach({ serverCount: () => 0, serviceCount: () => 0 });
        reach.notConnected(target(9), 0);
        expect(reach.isHostLost()).to.equal(false);
    });
});
