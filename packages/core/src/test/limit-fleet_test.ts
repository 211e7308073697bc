import { expect } from "chai";
import {
    computeLimitShares,
    createFleetMachine,
    createRandom,
    createServerLimits,
    emptyFleetState,
    FactKind,
    HostPhase,
    HostRole,
    ServingState,
} from "../index.js";
import type { Fact, FleetMachine, LimitReport, LimitShare, Random, ServerLimits } from "../index.js";

const stepMs = 20;
const serverId = "s1";
const serverNumber = 1;
/** The rule of the users' pages: in any window, one and a half times what the limit allows, and a few requests. */
const windowMs = 4000;
const allowed = (limitPerS: number): number => Math.floor(1.5 * limitPerS * windowMs / 1000) + 5;
/** From this time after a server first named its limit, the rule holds. */
const contactMs = 3000;

/** One entry host: its limits, its view of the replicated state, and what is on its way to it. */
interface SimulatedHost {
    hostId: string;
    limits: ServerLimits;
    startedAt: number;
    /** Whether messages between this host and the state hosts are lost. */
    isCut: boolean;
    viewConfirmedAt: number;
    /** Whether the host has received its first update, before which it knows no server to send requests to. */
    knowsServers: boolean;
    sentShares: string;
    /** Updates on their way to the host, with their time of arrival. */
    updates: { at: number; shares?: LimitShare[]; viewAgeMs: number; }[];
}

interface Scenario {
    name: string;
    /** Number of entry hosts. */
    hosts: number;
    /** Requests a second of all callers, for which the limited server is the first choice of each host. */
    requestsPerS: number;
    /** The limit that the server names in its answers, by time; `undefined` for none. */
    limitAt: (now: number) => number | undefined;
    /** Part of the messages between entry hosts and state hosts that are lost. */
    lossShare: number;
    /** Faults at one step. */
    inject: (fleet: SimulatedFleet, now: number, random: Random) => void;
}

interface SimulatedFleet {
    hosts: SimulatedHost[];
    /** Replaces the process of a host; the state hosts see it leave and return. */
    restart(host: SimulatedHost, now: number): void;
    /** Whether the state hosts can commit. */
    hasMajority: boolean;
}

interface Outcome {
    /** Times at which requests arrived at the server. */
    arrivals: number[];
    /** Requests that no share was left for. */
    refused: number;
}

const requestMs = 200;
const commitDelayMs = 60;
const viewIntervalMs = 400;
const reportIntervalMs = 100;
const detachedHostMs = 900;

const hostFact = (hostId: string, startedAt: number, state: HostPhase): Fact => ({
    kind: FactKind.Host,
    host: { hostId, role: HostRole.Entry, address: hostId, availabilityZone: "z", region: "r", state, startedAt },
    keeper: "state",
});

const play = (scenario: Scenario, seed: number, durationMs: number): Outcome => {
    const random = createRandom(seed);
    const machine: FleetMachine = createFleetMachine(emptyFleetState);
    let revision = 0;
    const apply = (facts: Fact[]): void => {
        revision += 1;
        machine.apply(facts, revision);
    };
    apply([{
        kind: FactKind.Server,
        server: {
            serverId,
            service: "svc",
            address: "a:1",
            availabilityZone: "z",
            slots: 3,
            state: ServingState.Ready,
            bornAt: 1,
            warmupLeftMs: 0,
        },
        keeper: "state",
        at: 0,
    }]);
    /** Facts that are being committed, with the time of their commit. */
    let commits: { at: number; fact: Fact; }[] = [];
    const submit = (fact: Fact, at: number): void => {
        commits.push({ at, fact });
    };

    const createHost = (hostId: string, startedAt: number): SimulatedHost => ({
        hostId,
        limits: createServerLimits(),
        startedAt,
        isCut: false,
        viewConfirmedAt: -Infinity,
        knowsServers: false,
        sentShares: "",
        updates: [],
    });
    const fleet: SimulatedFleet = {
        hosts: Array.from({ length: scenario.hosts }, (_, index) => createHost(`h${index}`, 0)),
        hasMajority: true,
        restart: (host, now) => {
            const index = fleet.hosts.indexOf(host);
            fleet.hosts[index] = createHost(host.hostId, now);
            submit(hostFact(host.hostId, now, HostPhase.Ready), now + commitDelayMs + 300 * random.next());
        },
    };
    fleet.hosts.forEach(host => apply([hostFact(host.hostId, 0, HostPhase.Ready)]));
    const cutSince = new Map<string, number>();
    const arrivals: number[] = [];
    let answers: { at: number; host: SimulatedHost; startedAt: number; limitPerS: number | undefined; }[] = [];
    let refused = 0;

    const isLost = (host: SimulatedHost): boolean => host.isCut || random.next() < scenario.lossShare;

    const commitDue = (now: number): void => {
        if (!fleet.hasMajority) {
            return;
        }
        const due = commits.filter(({ at }) => at <= now);
        commits = commits.filter(({ at }) => at > now);
        due.forEach(({ fact }) => apply([fact]));
    };

    /** The state hosts see a host that is cut off depart, and return later. */
    const watchHosts = (now: number): void => {
        for (const host of fleet.hosts) {
            if (!host.isCut) {
                if (cutSince.delete(host.hostId)) {
                    submit(hostFact(host.hostId, host.startedAt, HostPhase.Ready), now + commitDelayMs);
                }
                continue;
            }
            const since = cutSince.get(host.hostId) ?? now;
            cutSince.set(host.hostId, since);
            if (now - since >= detachedHostMs && now - since < detachedHostMs + stepMs) {
                submit(hostFact(host.hostId, host.startedAt, HostPhase.Departed), now + commitDelayMs);
            }
        }
    };

    const sendUpdates = (now: number): void => {
        const shares = computeLimitShares(machine);
        for (const host of fleet.hosts) {
            if (isLost(host)) {
                // A link delivers in order, so a lost message ends it; the next link begins with the complete shares.
                host.sentShares = "";
                continue;
            }
            const rows = shares.of(host.hostId);
            const text = JSON.stringify(rows);
            const at = now + 5 + 50 * random.next();
            host.updates.push({ at, shares: text === host.sentShares ? undefined : rows, viewAgeMs: 200 * random.next() });
            host.sentShares = text;
        }
    };

    const receiveUpdates = (host: SimulatedHost, now: number): void => {
        for (const { at, shares, viewAgeMs } of host.updates.filter(update => update.at <= now)) {
            if (shares !== undefined) {
                host.limits.setShares(shares, now - host.viewConfirmedAt, now);
                host.knowsServers = true;
            }
            host.viewConfirmedAt = Math.max(host.viewConfirmedAt, at - 55 - viewAgeMs);
        }
        host.updates = host.updates.filter(update => update.at > now);
    };

    const recordReport = ({ serverId: id, number, limitPerS }: LimitReport, now: number): void => {
        if (machine.server(id)?.limitPerS !== limitPerS) {
            submit({ kind: FactKind.ServerLimit, serverId: id, number, limitPerS }, now + commitDelayMs);
        }
    };

    const sendReports = (host: SimulatedHost, now: number): void => {
        const reports = host.limits.drainReports(now - host.viewConfirmedAt, now);
        if (!isLost(host)) {
            reports.forEach(report => recordReport(report, now));
        }
    };

    const sendRequest = (now: number): void => {
        const host = fleet.hosts[random.below(fleet.hosts.length)]!;
        if (!host.knowsServers || !host.limits.maySend(serverNumber, now - host.viewConfirmedAt, now)) {
            refused += 1;
            return;
        }
        host.limits.requestStarted(serverNumber, now);
        arrivals.push(now);
        answers.push({ at: now + requestMs * (0.5 + random.next()), host, startedAt: now, limitPerS: scenario.limitAt(now) });
    };

    const receiveAnswers = (now: number): void => {
        const due = answers.filter(({ at }) => at <= now);
        answers = answers.filter(({ at }) => at > now);
        for (const { host, startedAt, limitPerS } of due) {
            host.limits.recordAnswer({ serverId, number: serverNumber, limitPerS, isSuccess: true, startedAt }, now);
        }
    };

    let credit = 0;
    for (let now = 0; now < durationMs; now += stepMs) {
        scenario.inject(fleet, now, random);
        commitDue(now);
        watchHosts(now);
        if (now % viewIntervalMs === 0 && fleet.hasMajority) {
            sendUpdates(now);
        }
        fleet.hosts.forEach(host => receiveUpdates(host, now));
        receiveAnswers(now);
        if (now % reportIntervalMs === 0) {
            fleet.hosts.forEach(host => sendReports(host, now));
        }
        for (credit += scenario.requestsPerS * stepMs / 1000; credit >= 1; credit -= 1) {
            sendRequest(now);
        }
    }
    return { arrivals, refused };
};

/** The most arrivals in any window that ends after `from`. */
const mostInWindow = (arrivals: readonly number[], from: number): number => {
    let most = 0;
    let first = 0;
    arrivals.forEach((time, last) => {
        while (time - arrivals[first]! > windowMs) {
            first += 1;
        }
        if (arrivals[first]! >= from) {
            most = Math.max(most, last - first + 1);
        }
    });
    return most;
};

const namedAtMs = 2000;
const constantLimit = (limitPerS: number) => (now: number): number | undefined => now >= namedAtMs ? limitPerS : undefined;
const noFault = (): void => undefined;

/** Restarts of single hosts, in series. */
const restartHosts = (fleet: SimulatedFleet, now: number, random: Random): void => {
    if (now % 300 === 0) {
        fleet.restart(fleet.hosts[random.below(fleet.hosts.length)]!, now);
    }
};
/** Cuts a quarter of the hosts off from the state hosts, each time another quarter. */
const cutHosts = (fleet: SimulatedFleet, now: number): void => {
    const quarter = Math.floor(now / 3000) % 4;
    fleet.hosts.forEach((host, index) => {
        host.isCut = index % 4 === quarter;
    });
};
/** The state hosts have no majority for seconds, from the moment at which the limit is named. */
const loseMajority = (fleet: SimulatedFleet, now: number): void => {
    fleet.hasMajority = now < namedAtMs || now % 9000 > 6000;
};
const restartAll = (fleet: SimulatedFleet, now: number): void => {
    if (now % 2500 === 0) {
        [...fleet.hosts].forEach(host => fleet.restart(host, now));
    }
};

const faults: [name: string, lossShare: number, inject: Scenario["inject"]][] = [
    ["without a fault", 0, noFault],
    ["when messages are lost", 0.1, noFault],
    ["when hosts restart one after the other", 0, restartHosts],
    ["when all hosts restart again and again", 0, restartAll],
    ["when hosts are cut off from the state hosts", 0, cutHosts],
    ["when the state hosts lose their majority", 0, loseMajority],
    ["when hosts restart, are cut off, and messages are lost", 0.05, (fleet, now, random) => {
        restartHosts(fleet, now, random);
        cutHosts(fleet, now);
    }],
];

// Guards against a fleet whose hosts each keep to a server's limit, and that together send it many times as much.
describe("limits of servers in a fleet", () => {
    const seeds = [1, 2, 3, 4, 5];
    for (const hosts of [36, 110]) {
        for (const limitPerS of [0.5, 1, 1.7, 2.5, 10]) {
            for (const [name, lossShare, inject] of faults) {
                it(`are kept by ${hosts} hosts at ${limitPerS} requests a second ${name}`, () => {
                    const scenario = { name, hosts, requestsPerS: 100, limitAt: constantLimit(limitPerS), lossShare, inject };
                    const worst = seeds.map(seed => mostInWindow(play(scenario, seed, 30_000).arrivals, namedAtMs + contactMs));
                    expect(Math.max(...worst), `most in each of the seeds ${seeds.join(", ")}: ${worst.join(", ")}`)
                        .to.be.at.most(allowed(limitPerS));
                });
            }
        }
    }

    it("are used: the server gets most of what it takes", () => {
        const from = 10_000;
        const until = 40_000;
        for (const limitPerS of [1, 1.7, 2.5]) {
            const scenario = {
                name: "",
                hosts: 36,
                requestsPerS: 47,
                limitAt: constantLimit(limitPerS),
                lossShare: 0,
                inject: noFault,
            };
            const { arrivals } = play(scenario, 1, until);
            const perS = arrivals.filter(time => time >= from).length / ((until - from) / 1000);
            expect(perS, `limit ${limitPerS}`).to.be.within(0.5 * limitPerS, limitPerS);
        }
    });

    it("end when the server names none any more", () => {
        const scenario = {
            name: "",
            hosts: 100,
            requestsPerS: 100,
            limitAt: (now: number) => now >= namedAtMs && now < 15_000 ? 1 : undefined,
            lossShare: 0.05,
            inject: noFault,
        };
        const { arrivals } = play(scenario, 1, 30_000);
        expect(arrivals.filter(time => time >= 25_000).length).to.be.at.least(450);
    });

    it("of 0 leave a few requests, which show that the limit has ended", () => {
        const limitAt = (now: number): number | undefined => now >= namedAtMs && now < 30_000 ? 0 : undefined;
        const scenario = { name: "", hosts: 100, requestsPerS: 100, limitAt, lossShare: 0, inject: noFault };
        const { arrivals } = play(scenario, 1, 50_000);
        expect(mostInWindow(arrivals.filter(time => time < 30_000), namedAtMs + contactMs)).to.be.within(1, allowed(0));
        expect(arrivals.filter(time => time >= 45_000).length).to.be.at.least(450);
    });
});
