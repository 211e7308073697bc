import { expect } from "chai";
import { createRandom, createServerPool, Repeatability, ServingState } from "../index.js";
import type { FleetServer, ServerPool } from "../index.js";

const server = (number: number): FleetServer => ({
    number,
    serverId: `s${number}`,
    service: "quotes",
    address: `s${number}`,
    availabilityZone: "a1",
    slots: 3,
    state: ServingState.Ready,
    bornAt: 0,
    warmAt: 0,
    silent: false,
    keeper: "",
    revision: number,
});

const createPool = (): ServerPool => {
    const pool = createServerPool({
        locality: { availabilityZone: "a1", regions: { a1: "a" } },
        random: createRandom(1),
        wallClock: () => 10_000,
    });
    pool.update([server(1), server(2)]);
    return pool;
};

// Guards against reports that make other hosts avoid servers which only this host can't reach.
describe("failed connections in the server pool", () => {
    for (const { isShared, reports } of [{ isShared: true, reports: [[1, 1]] }, { isShared: false, reports: [] }]) {
        it(`are avoided by this host and ${isShared ? "" : "not "}reported to others`, () => {
            const pool = createPool();
            pool.recordConnectFailure(1, isShared, 0);
            expect(pool.choose("quotes", Repeatability.AtMostOnce, new Set(), 0)?.server.number).to.equal(2);
            expect(pool.drainReports(0).map(({ number, failures }) => [number, failures])).to.deep.equal(reports);
        });
    }
});
