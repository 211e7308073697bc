import { expect } from "chai";
import { createPathMonitor, createRandom, ServingState } from "../index.js";
import type { ConnectFailure, FleetServer, PathMonitor } from "../index.js";

const stepMs = 50;

const server = (number: number, service: string): FleetServer => ({
    number,
    serverId: `s${number}`,
    service,
    address: `s${number}`,
    availabilityZone: "z",
    slots: 3,
    state: ServingState.Ready,
    bornAt: 0,
    warmAt: 0,
    silent: false,
    keeper: "",
    revision: number,
});
const servers = [1, 2, 3, 4, 5, 6].map(number => server(number, "a")).concat(
    [7, 8, 9, 10, 11, 12].map(number => server(number, "b")),
);

interface Simulation {
    monitor: PathMonitor;
    confirmed: ConnectFailure[];
    /** Trial connections so far. */
    trials: () => number;
    run: (forMs: number) => void;
}

/** A trial connection takes one step if the server accepts it, and its whole timeout otherwise. */
const simulate = (accepts: (server: FleetServer, now: number) => boolean): Simulation => {
    let now = 0;
    let trials = 0;
    const confirmed: ConnectFailure[] = [];
    let ends: { at: number; end: () => void; }[] = [];
    const monitor = createPathMonitor({
        servers: service => servers.filter(candidate => service === undefined || candidate.service === service),
        tryConnect: (candidate, timeoutMs, onEnd) => {
            trials += 1;
            const isAccepted = accepts(candidate, now);
            ends.push({ at: now + (isAccepted ? stepMs : timeoutMs), end: () => onEnd(isAccepted) });
        },
        random: createRandom(1),
        clock: () => now,
        onFailuresConfirmed: failures => confirmed.push(...failures),
        onPathChanged: () => undefined,
    });
    return {
        monitor,
        confirmed,
        trials: () => trials,
        run: forMs => {
            for (const until = now + forMs; now < until; now += stepMs) {
                const due = ends.filter(({ at }) => at <= now);
                ends = ends.filter(({ at }) => at > now);
                due.forEach(({ end }) => end());
                monitor.tick();
            }
        },
    };
};

// Guards against reports about healthy servers from a host that can't connect to any.
describe("path monitor", () => {
    const firstServer = servers[0]!;

    it("blames a server once others accept connections", () => {
        const { monitor, confirmed, run } = simulate(({ number }) => number !== firstServer.number);
        monitor.notConnected(firstServer);
        expect(confirmed).to.deep.equal([]);
        run(500);
        expect(confirmed).to.deep.equal([{ number: firstServer.number, isShared: true }]);
        expect(monitor.isServiceLost("a")).to.equal(false);
    });

    it("blames no server while none accepts connections, and none after the path has returned", () => {
        const { monitor, confirmed, run } = simulate((_server, now) => now >= 10_000);
        monitor.notConnected(firstServer);
        run(500);
        expect(monitor.isHostLost()).to.equal(true);
        run(9500);
        run(2000);
        expect(monitor.isHostLost()).to.equal(false);
        expect(confirmed).to.deep.equal([]);
    });

    it("finds a loss within half a second of a slow connection", () => {
        const { monitor, run } = simulate(() => false);
        monitor.check("a");
        run(500);
        expect(monitor.isHostLost()).to.equal(true);
    });

    it("opens few connections during a long loss", () => {
        const { monitor, trials, run } = simulate(() => false);
        monitor.check("a");
        run(60_000);
        // Two each 1.5 s, and some more in the first seconds.
        expect(trials()).to.be.below(110);
    });

    it("loses the path to one service only, and finds the servers of it that accept connections", () => {
        const { monitor, run } = simulate(({ number, service }) => service === "b" || number === 6);
        for (const { number, service } of servers.slice(0, 3)) {
            monitor.connected(servers[7]!);
            monitor.notConnected({ number, service });
        }
        run(5000);
        expect(monitor.isServiceLost("b")).to.equal(false);
        expect(monitor.isServiceLost("a")).to.equal(true);
        expect(
            servers.filter(candidate => candidate.service === "a" && monitor.isReachable(candidate)).map(({ number }) => number),
        )
            .to.deep.equal([6]);
    });
});
