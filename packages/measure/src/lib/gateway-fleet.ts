/** Simulates entry hosts in front of failing backend servers in fake time, using the product's own selection, retry and hedging logic. */
import {
    AttemptOutcome,
    concernsOtherZones,
    createHostRetryBudget,
    createRandom,
    createRequestAttempts,
    createRetryGrants,
    createRouteLatencyTracker,
    createServerPool,
    Repeatability,
    RequestAction,
    ServerObservation,
    toReportRow,
} from "@cassiapick/core";
import type { FleetServer, HostRetryBudget, RouteLatencyTracker, SelectionWeights, ServerPool } from "@cassiapick/core";
import { createTimeline } from "@cassiapick/proofs";
import { createLimitGates, entryHostRecord } from "./gateway-limits.js";
import { createServers, drawIntervalMs, scheduleFaultEpisodes, serveRequest } from "./gateway-servers.js";
import type { ServerRun, SimulatedServer } from "./gateway-servers.js";
import type { RequestClass, SimulatedSite } from "./gateway-sites.js";

/** How entry hosts select a server. */
export interface SelectionStrategy {
    name: string;
    weights?: SelectionWeights;
    /** Whether hosts report their observations of servers to each other. */
    sharesEvidence: boolean;
    /** Whether a request that waits is no evidence until its deadline, when it counts as a failure. */
    ignoresWaits?: boolean;
    /** Whether servers are selected at random. */
    isRandom?: boolean;
    /** The limit that a server names, in requests a second; `undefined` for none. */
    limitOf?: (record: FleetServer) => number | undefined;
}

/** Outcome of one run. */
export interface SimulationResult {
    requestCount: number;
    served: number;
    /** Requests answered within the latency objective. */
    inObjective: number;
    /** Attempts sent to another availability zone of the region, and to another region. */
    inOtherZone: number;
    inOtherRegion: number;
    retryCount: number;
    /** Total utility of the answers for the users: 1 within the objective, 0.3 after it, 0 without an answer in time. */
    utility: number;
    /** Refusals at once, after which the caller returns to another host. */
    refusals: number;
    /** Served fraction of the request class that is served worst. */
    lowestServedFraction: number;
}

interface EntryHost {
    zone: string;
    pool: ServerPool;
    retryBudget: HostRetryBudget;
    latencies: RouteLatencyTracker;
    reportKey: string;
}

const reportIntervalMs = 100;
const sameZoneDelayMs = 1;
const otherZoneDelayMs = 3;
const otherRegionDelayMs = 25;
/** Requests arrive for this long; the run goes on until the last of them are answered. */
const arrivalsMs = 30_000;
const settlingMs = 8000;
const lateAnswerUtility = 0.3;

const observations: Partial<Record<AttemptOutcome, ServerObservation>> = {
    [AttemptOutcome.Answered]: ServerObservation.Success,
    [AttemptOutcome.ServerError]: ServerObservation.Failure,
    [AttemptOutcome.Broken]: ServerObservation.Failure,
    [AttemptOutcome.Declined]: ServerObservation.Declined,
};

/** `Retry-After` of a refusal, and the part of the remaining time up to which callers wait for it. */
const retryAfter = { minMs: 150, jitterMs: 250, maxFractionOfRemaining: 1 / 3 } as const;

/** Simulates a site for 30 seconds of fake time. */
export const simulateSite = (
    site: SimulatedSite,
    strategy: SelectionStrategy,
    seed: number,
    loadFactor = 1,
): SimulationResult => {
    const random = createRandom(seed);
    const timeline = createTimeline();
    const servers = createServers(site);
    const zones = Object.keys(site.regions);
    const hostCount = zones.length * site.entryHostsPerZone;
    const hostRecords = zones.flatMap(zone =>
        Array.from({ length: site.entryHostsPerZone }, (_, index) => entryHostRecord(`${zone}-${index}`, zone))
    );
    const limitGates = createLimitGates(hostRecords, servers, strategy.limitOf ?? (() => undefined));
    const hosts: EntryHost[] = zones.flatMap(zone =>
        Array.from({ length: site.entryHostsPerZone }, (_, index) => {
            const pool = createServerPool({
                limits: limitGates.get(`${zone}-${index}`),
                locality: { availabilityZone: zone, regions: site.regions },
                random: createRandom(seed * 1000 + index),
                wallClock: () => timeline.now(),
                weights: strategy.weights,
            });
            pool.update(servers.map(server => server.record));
            const budgetBound = { ratio: 0.2, reserve: site.retryReserve, windowMs: 10_000 };
            // The hosts have run for a while.
            const retryBudget = createHostRetryBudget(budgetBound, -budgetBound.windowMs, createRandom(seed * 1000 + index));
            retryBudget.setHostCount(hostCount);
            return {
                zone,
                pool,
                retryBudget,
                latencies: createRouteLatencyTracker(),
                reportKey: `${zone}-${index}`,
            };
        })
    );
    for (const server of servers) {
        scheduleFaultEpisodes(server, site, timeline, random);
    }
    const tallies = new Map(site.classes.map(requestClass => [requestClass.name, { requestCount: 0, served: 0 }]));
    const result = {
        requestCount: 0,
        served: 0,
        inObjective: 0,
        inOtherZone: 0,
        inOtherRegion: 0,
        retryCount: 0,
        utility: 0,
        refusals: 0,
    };

    const delayBetween = (from: string, to: string): number => {
        if (from === to) {
            return sameZoneDelayMs;
        }
        return site.regions[from] === site.regions[to] ? otherZoneDelayMs : otherRegionDelayMs;
    };

    const sendReports = (host: EntryHost): void => {
        const reports = host.pool.drainReports(timeline.now());
        if (!strategy.sharesEvidence || reports.length === 0) {
            return;
        }
        const failures = reports.filter(report => concernsOtherZones(toReportRow(report)));
        for (const otherHost of hosts) {
            if (otherHost === host) {
                continue;
            }
            const isSameZone = otherHost.zone === host.zone;
            const sentReports = isSameZone ? reports : failures;
            if (sentReports.length === 0) {
                continue;
            }
            const relayDelayMs = site.reportHandlingMs === undefined ? 0 : site.reportHandlingMs * (1 + random.next());
            timeline.after(2 * delayBetween(host.zone, otherHost.zone) + relayDelayMs, () => {
                for (const serverReport of sentReports) {
                    if (isSameZone) {
                        otherHost.pool.applyReport(host.reportKey, serverReport, timeline.now());
                    }
                    else {
                        otherHost.pool.applyRemoteFailures(serverReport, timeline.now());
                    }
                }
            });
        }
    };

    /** The caller was refused and sends its request to another host, unless too little time is left. */
    const returnLater = (requestClass: RequestClass, startedAt: number): void => {
        result.refusals += 1;
        const waitMs = retryAfter.minMs + retryAfter.jitterMs * random.next();
        const remainingMs = startedAt + requestClass.timeoutMs - timeline.now();
        if (waitMs < remainingMs * retryAfter.maxFractionOfRemaining) {
            timeline.after(waitMs, () => request(hosts[random.below(hosts.length)]!, requestClass, startedAt));
        }
    };

    const request = (host: EntryHost, requestClass: RequestClass, startedAt: number): void => {
        const deadlineAt = startedAt + requestClass.timeoutMs;
        const tally = tallies.get(requestClass.name)!;
        host.retryBudget.recordRequest(requestClass.service, startedAt);
        const retryGrants = createRetryGrants(host.retryBudget, requestClass.service, () => timeline.now());
        const attempts = createRequestAttempts({
            repeatability: requestClass.repeatability,
            maxServers: requestClass.maxServers,
            deadlineAt,
            tryTakeRetry: () => {
                const isAllowed = retryGrants.tryTakeRetry();
                result.retryCount += isAllowed ? 1 : 0;
                return isAllowed;
            },
            tryTakeHedge: () => {
                const isAllowed = retryGrants.tryTakeHedge();
                result.retryCount += isAllowed ? 1 : 0;
                return isAllowed;
            },
        });
        const attemptedServers = new Set<number>();
        const openAttempts: ((outcome: AttemptOutcome) => void)[] = [];
        let isFinished = false;
        const finishRequest = (isServed: boolean): void => {
            if (isFinished) {
                return;
            }
            isFinished = true;
            retryGrants.close();
            openAttempts.forEach(end => end(AttemptOutcome.Cancelled));
            const elapsed = timeline.now() - startedAt;
            if (isServed && elapsed <= requestClass.timeoutMs) {
                const isInObjective = elapsed <= requestClass.objectiveMs;
                tally.served += 1;
                result.served += 1;
                result.inObjective += isInObjective ? 1 : 0;
                result.utility += isInObjective ? 1 : lateAnswerUtility;
            }
        };
        const chooseServer = (): SimulatedServer | undefined => {
            if (strategy.isRandom === true) {
                const candidates = servers.filter(server =>
                    server.record.service === requestClass.service && !attemptedServers.has(server.record.number)
                );
                return candidates[random.below(candidates.length)];
            }
            const repeatability = attemptedServers.size === 0 ? requestClass.repeatability : Repeatability.AtMostOnce;
            const choice = host.pool.choose(requestClass.service, repeatability, attemptedServers, timeline.now());
            return choice === undefined ? undefined : servers[choice.server.number - 1];
        };
        const startAttempt = (server: SimulatedServer): void => {
            const { number, availabilityZone } = server.record;
            const delay = delayBetween(host.zone, availabilityZone);
            const sentAt = timeline.now();
            result.inOtherZone += delay === otherZoneDelayMs ? 1 : 0;
            result.inOtherRegion += delay === otherRegionDelayMs ? 1 : 0;
            attemptedServers.add(number);
            attempts.attemptStarted();
            retryGrants.attemptStarted();
            const survival = (elapsedMs: number): number =>
                host.latencies.survival(requestClass.name, requestClass.objectiveMs, elapsedMs);
            host.pool.requestStarted(number, sentAt, strategy.ignoresWaits === true ? undefined : survival);
            let isOpen = true;
            let run: ServerRun | undefined;
            const endAttempt = (outcome: AttemptOutcome): void => {
                if (!isOpen) {
                    return;
                }
                isOpen = false;
                run?.cancel();
                const now = timeline.now();
                const observation = outcome === AttemptOutcome.TimedOut && strategy.ignoresWaits === true
                    ? ServerObservation.Failure
                    : observations[outcome];
                const isFailure = observation === ServerObservation.Failure;
                host.pool.requestEnded(number, observation, now, sentAt);
                if (isFailure) {
                    sendReports(host);
                }
                if (outcome === AttemptOutcome.Answered) {
                    host.latencies.record(requestClass.name, now - sentAt);
                }
                const action = attempts.attemptEnded(outcome, now);
                if (isFinished || action === RequestAction.Wait) {
                    return;
                }
                const next = action === RequestAction.Retry ? chooseServer() : undefined;
                if (next !== undefined) {
                    startAttempt(next);
                    return;
                }
                finishRequest(outcome === AttemptOutcome.Answered);
            };
            timeline.after(delay, () => {
                const reply = (outcome: AttemptOutcome): void => timeline.after(delay, () => endAttempt(outcome));
                run = serveRequest(server, requestClass, site, timeline, random, reply);
            });
            openAttempts.push(endAttempt);
            timeline.after(deadlineAt - sentAt, () => endAttempt(AttemptOutcome.TimedOut));
            timeline.after(host.latencies.hedgeAfterMs(requestClass.name, requestClass.objectiveMs), () => {
                if (!isOpen || isFinished) {
                    return;
                }
                const hedgeServer = requestClass.repeatability === Repeatability.Repeatable ? chooseServer() : undefined;
                if (hedgeServer !== undefined && attempts.tryHedge(timeline.now())) {
                    startAttempt(hedgeServer);
                }
            });
        };
        const first = chooseServer();
        if (first === undefined) {
            returnLater(requestClass, startedAt);
            return;
        }
        startAttempt(first);
    };

    for (const requestClass of site.classes) {
        const handleArrival = (): void => {
            if (timeline.now() > arrivalsMs) {
                return;
            }
            tallies.get(requestClass.name)!.requestCount += 1;
            result.requestCount += 1;
            request(hosts[random.below(hosts.length)]!, requestClass, timeline.now());
            timeline.after(drawIntervalMs(random, 1000 / (requestClass.requestsPerSecond * loadFactor)), handleArrival);
        };
        timeline.after(drawIntervalMs(random, 1000 / (requestClass.requestsPerSecond * loadFactor)), handleArrival);
    }
    for (const host of hosts) {
        const sendPeriodicReports = (): void => {
            sendReports(host);
            timeline.after(reportIntervalMs, sendPeriodicReports);
        };
        timeline.after(random.below(reportIntervalMs), sendPeriodicReports);
    }
    timeline.run(arrivalsMs + settlingMs);
    const servedFractions = [...tallies.values()].map(({ requestCount, served }) =>
        requestCount === 0 ? 1 : served / requestCount
    );
    return { ...result, lowestServedFraction: Math.min(...servedFractions) };
};
