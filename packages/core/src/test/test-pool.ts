/** A pool of three servers of one service, for tests of the choice of servers. */
import { createRandom, createServerPool, Repeatability, ServingState } from "../index.js";
import type { FleetServer, ServerLimitGate, ServerPool } from "../index.js";

export const regions = { a1: "a", a2: "a", b1: "b" };
export const service = "quotes";
export const noExclusions: ReadonlySet<number> = new Set();

export const server = (number: number, availabilityZone: string, changes: Partial<FleetServer> = {}): FleetServer => ({
    number,
    serverId: `s${number}`,
    service,
    address: `10.0.0.${number}:80`,
    availabilityZone,
    slots: 3,
    state: ServingState.Ready,
    bornAt: 0,
    warmAt: 0,
    silent: false,
    keeper: "",
    revision: number,
    ...changes,
});

export const createPool = (servers: FleetServer[], seed = 1, limits?: ServerLimitGate): ServerPool => {
    const pool = createServerPool({
        limits,
        locality: { availabilityZone: "a1", regions },
        random: createRandom(seed),
        wallClock: () => 10_000,
    });
    pool.update(servers);
    return pool;
};

export const local = server(1, "a1");
export const region = server(2, "a2");
export const remote = server(3, "b1");

export const choose = (
    pool: ServerPool,
    now: number,
    repeatability = Repeatability.AtMostOnce,
    excluded = noExclusions,
): number | undefined => pool.choose(service, repeatability, excluded, now)?.server.number;
