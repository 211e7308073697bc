/** Simulates a fleet in fake time some of whose entry hosts lose their path to backend servers. */
import {
    AttemptOutcome,
    computeEntryPeers,
    createFleetMachine,
    createPathMonitor,
    createPeerSelector,
    createRandom,
    createRequestAttempts,
    createRetryGrants,
    createServerPool,
    emptyFleetState,
    entryAddressesForCaller,
    FactKind,
    HostPhase,
    HostRole,
    planAttempt,
    Repeatability,
    RequestAction,
    ServerObservation,
} from "../index.js";
import type { FleetServer, PathMonitor, ServerPool } from "../index.js";
import { createFakeTimeline } from "./fake-timeline.js";
import {
    connectionTallyAt,
    countRequest,
    countTrial,
    cutFromMs,
    cutUntilMs,
    emptyOutcome,
    isEstablished,
    mostPathChanges,
    slowAcceptMs,
    trialResult,
} from "./lost-path-counts.js";
import { exchangeReports } from "./lost-path-reports.js";
import { Connection } from "./lost-path-scenario.js";
import type { ConnectionTally, Outcome, Scenario, SimulatedHost } from "./lost-path-scenario.js";
import { createSettledRetryBudget, testRetryBound } from "./settled-retry-budget.js";
import { createSimulatedServers, regions, services, zoneDelay, zones } from "./simulated-site.js";

/** From this long after a cut began, the rule of the users' pages holds. */
export const contactMs = 3000;
const endMs = 18_000;
/** A host uses its restored path after this time. */
const returnMs = 2500;

const connectTimeoutMs = 450;
const slowConnectMs = 150;
const commitMs = 60;
const reportIntervalMs = 100;
const deadlineMs = 2500;

/** Plays a cut of some hosts from backend servers. */
export const play = (scenario: Scenario, hostCount: number, requestsPerS: number, seed: number): Outcome => {
    const timeline = createFakeTimeline();
    const random = createRandom(seed);
    const servers = createSimulatedServers(hostCount);
    const machine = createFleetMachine(emptyFleetState);
    const runs = new Map<number, number>();
    const outcome = emptyOutcome();
    const tally = (): ConnectionTally | undefined => connectionTallyAt(outcome, timeline.now());

    const connection = (host: SimulatedHost, server: FleetServer): Connection =>
        timeline.now() >= cutFromMs && timeline.now() < cutUntilMs
            ? scenario.connection(host, server, timeline.now())
            : Connection.Established;
    const isCutOff = (host: SimulatedHost): boolean => servers.every(server => !isEstablished(connection(host, server)));

    const recordPhase = (host: SimulatedHost): void => {
        const { hostId, zone, phase: state } = host;
        const place = { availabilityZone: zone, region: regions[zone] };
        const record = { hostId, role: HostRole.Entry, address: hostId, forwardAddress: hostId, ...place, startedAt: 0, state };
        timeline.after(commitMs, () => {
            machine.apply([{ kind: FactKind.Host, host: record, keeper: "state" }], timeline.now());
            const peers = computeEntryPeers(machine.hosts());
            for (const other of hosts) {
                const list = peers.of({ hostId: other.hostId, availabilityZone: other.zone, region: regions[other.zone] });
                timeline.after(5, () => other.peers.setPeers(list));
            }
        });
    };

    const sendReports = (host: SimulatedHost): void => exchangeReports(host, hosts, timeline);

    const createHost = (index: number): SimulatedHost => {
        const zone = zones[index % zones.length]!;
        const locality = { availabilityZone: zone, regions };
        const pool: ServerPool = createServerPool({
            locality,
            random,
            wallClock: () => timeline.now(),
            isReachable: server => path.isReachable(server),
        });
        pool.update(servers);
        const path: PathMonitor = createPathMonitor({
            servers: service => pool.readyServers(service, timeline.now()),
            tryConnect: (server, timeoutMs, onEnd) => {
                countTrial(tally());
                const found = connection(host, server);
                const { delayMs, isConnected } = trialResult(found, 2 * zoneDelay(zone, server.availabilityZone), timeoutMs);
                timeline.after(delayMs, () => onEnd(isConnected));
            },
            random,
            clock: () => timeline.now(),
            onFailuresConfirmed: failures => {
                failures.forEach(({ number, isShared }) => pool.recordConnectFailure(number, isShared, timeline.now()));
                sendReports(host);
            },
            onPathChanged: ({ service }) => {
                host.pathChanges.set(service, [...host.pathChanges.get(service) ?? [], timeline.now()]);
                const phase = path.isHostLost() ? HostPhase.NoServerPath : HostPhase.Ready;
                if (phase !== host.phase) {
                    host.phase = phase;
                    recordPhase(host);
                }
            },
        });
        const host: SimulatedHost = {
            index,
            hostId: `h${index}`,
            zone,
            pool,
            path,
            peers: createPeerSelector(locality, random),
            phase: HostPhase.Ready,
            downUntil: 0,
            pathChanges: new Map(),
        };
        return host;
    };
    const hosts = Array.from({ length: hostCount }, (_, index) => createHost(index));
    const hostById = new Map(hosts.map(host => [host.hostId, host]));
    hosts.forEach(recordPhase);
    const budgets = hosts.map(({ index }) => createSettledRetryBudget(testRetryBound, hostCount, createRandom(index)));

    /** One attempt of `host` at a server. */
    const sendToServer = (
        host: SimulatedHost,
        server: FleetServer,
        requestId: number,
        onEnd: (attemptOutcome: AttemptOutcome) => void,
    ): void => {
        const found = connection(host, server);
        const roundTripMs = 2 * zoneDelay(host.zone, server.availabilityZone);
        const startedAt = timeline.now();
        host.pool.requestStarted(server.number, timeline.now());
        const end = (attemptOutcome: AttemptOutcome, observation?: ServerObservation): void => {
            host.pool.requestEnded(server.number, observation, timeline.now());
            onEnd(attemptOutcome);
        };
        if (found === Connection.Slow) {
            const check = (): void => host.path.check(server.service, startedAt);
            timeline.after(slowConnectMs, check);
        }
        if (found === Connection.Established || found === Connection.Slow) {
            timeline.after(found === Connection.Slow ? slowAcceptMs : roundTripMs, () => {
                host.path.connected(server);
                runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
                timeline.after(100 + 200 * random.next(), () => end(AttemptOutcome.Answered, ServerObservation.Success));
            });
            return;
        }
        if (found === Connection.Hanging) {
            timeline.after(slowConnectMs, () => host.path.check(server.service, startedAt));
        }
        timeline.after(found === Connection.Hanging ? connectTimeoutMs : roundTripMs, () => {
            host.path.notConnected(server);
            end(AttemptOutcome.NotSent);
        });
    };

    /** One attempt through another host; the callback also receives the server that was tried. */
    const sendToPeer = (
        from: SimulatedHost,
        peer: SimulatedHost,
        service: string,
        excluded: ReadonlySet<number>,
        requestId: number,
        onEnd: (attemptOutcome: AttemptOutcome, serverNumber?: number) => void,
        onTurnedAway: () => void,
    ): void => {
        const delayMs = zoneDelay(from.zone, peer.zone);
        if (peer.downUntil > timeline.now()) {
            timeline.after(connectTimeoutMs, () => {
                from.peers.failed(peer.hostId, undefined, timeline.now());
                onEnd(AttemptOutcome.NotSent);
            });
            return;
        }
        timeline.after(3 * delayMs, () => {
            const choice = peer.pool.choose(service, Repeatability.AtMostOnce, excluded, timeline.now());
            if (choice === undefined) {
                timeline.after(delayMs, () => {
                    from.peers.failed(peer.hostId, service, timeline.now());
                    onTurnedAway();
                });
                return;
            }
            sendToServer(
                peer,
                choice.server,
                requestId,
                attemptOutcome => timeline.after(delayMs, () => onEnd(attemptOutcome, choice.server.number)),
            );
        });
    };

    const request = (host: SimulatedHost, service: string, requestId: number): void => {
        const startedAt = timeline.now();
        countRequest(tally());
        const isReturned = startedAt > cutUntilMs + returnMs && startedAt < endMs - deadlineMs;
        const isCounted = isReturned || (startedAt >= cutFromMs + contactMs && startedAt < cutUntilMs);
        const tallyAtCut = isCutOff(host) ? outcome.atCut : outcome.atOthers;
        const served = isReturned ? outcome.afterReturn : tallyAtCut;
        served.sent += isCounted ? 1 : 0;
        const budget = budgets[host.index]!;
        const retryGrants = createRetryGrants(budget, service, () => timeline.now());
        budget.recordRequest(service, startedAt);
        const attempts = createRequestAttempts({
            repeatability: Repeatability.AtMostOnce,
            maxServers: 2,
            deadlineAt: startedAt + deadlineMs,
            tryTakeRetry: retryGrants.tryTakeRetry,
        });
        const history = { servers: new Set<number>(), peers: new Set<string>() };
        const finish = (isServed: boolean): void => {
            retryGrants.close();
            served.served += isServed && isCounted ? 1 : 0;
            if (!isServed) {
                outcome.longestRefusalMs = Math.max(outcome.longestRefusalMs, timeline.now() - startedAt);
            }
        };
        const attemptEnded = (attemptOutcome: AttemptOutcome): void => {
            const action = attempts.attemptEnded(attemptOutcome, timeline.now());
            if (action === RequestAction.Retry) {
                startNext();
                return;
            }
            finish(action === RequestAction.Deliver);
        };
        const startNext = (): void => {
            const plan = planAttempt(
                service,
                Repeatability.AtMostOnce,
                { ...history, attemptCount: attempts.attemptCount() },
                host,
                timeline.now(),
            );
            if (plan.kind === "none") {
                finish(false);
                return;
            }
            attempts.attemptStarted();
            retryGrants.attemptStarted();
            if (plan.kind === "direct") {
                const { server } = plan.choice;
                history.servers.add(server.number);
                sendToServer(host, server, requestId, attemptEnded);
                return;
            }
            outcome.forwardedAfterReturn += isReturned ? 1 : 0;
            history.peers.add(plan.peer.address);
            const peer = hostById.get(plan.peer.address)!;
            const ended = (attemptOutcome: AttemptOutcome, serverNumber?: number): void => {
                if (serverNumber !== undefined) {
                    history.servers.add(serverNumber);
                }
                attemptEnded(attemptOutcome);
            };
            sendToPeer(host, peer, service, history.servers, requestId, ended, () => {
                attempts.attemptWithdrawn();
                startNext();
            });
        };
        startNext();
    };

    /** A caller keeps the directory's answer for 5 s, and one in three for 15 s, and connects to one of its hosts at random. */
    const startCaller = (zone: keyof typeof regions, index: number, intervalMs: number): void => {
        const keepMs = index % 3 === 0 ? 15_000 : 5000;
        let addresses: string[] = [];
        let fetchedAt = -Infinity;
        const next = (): void => {
            if (timeline.now() - fetchedAt > keepMs) {
                addresses = entryAddressesForCaller(machine.hosts(), zone, regions[zone]);
                fetchedAt = timeline.now();
            }
            const host = hostById.get(addresses[random.below(addresses.length)] ?? "");
            if (host !== undefined && host.downUntil <= timeline.now()) {
                nextRequestId += 1;
                request(host, services[random.below(services.length)]!, nextRequestId);
            }
            timeline.after(intervalMs * 2 * random.next(), next);
        };
        timeline.after(500 + intervalMs * random.next(), next);
    };
    let nextRequestId = 0;
    const callers = 10 * zones.length;
    for (let index = 0; index < callers; index += 1) {
        startCaller(zones[index % zones.length]!, index, 1000 * callers / requestsPerS);
    }
    const tick = (): void => {
        for (const host of hosts) {
            host.path.tick();
            sendReports(host);
        }
        timeline.after(reportIntervalMs, tick);
    };
    tick();
    timeline.after(cutUntilMs - 1000, () => {
        const named = new Set(zones.flatMap(zone => entryAddressesForCaller(machine.hosts(), zone, regions[zone])));
        outcome.namedCutHosts = hosts.filter(host => named.has(host.hostId) && isCutOff(host)).length;
    });
    timeline.run(endMs);
    outcome.mostPathChanges = mostPathChanges(hosts);
    return { ...outcome, mostRuns: Math.max(...runs.values()) };
};
