/** A fleet of entry hosts before failing backend servers, in fake time, driven by the decisions of the product. */
import {
    AttemptOutcome,
    createHostRetryBudget,
    createRandom,
    createRequestAttempts,
    createRouteLatencyTracker,
    createServerPool,
    Repeatability,
    RequestAction,
    ServerObservation,
} from "@cassiapick/core";
import type { HostRetryBudget, RouteLatencyTracker, SelectionWeights, ServerPool } from "@cassiapick/core";
import { createTimeline } from "@cassiapick/proofs";
import { createServers, drawPause, keepFailing, serve } from "./gateway-servers.js";
import type { ModelServer } from "./gateway-servers.js";
import type { ModelClass, ModelSite } from "./gateway-sites.js";

/** How entry hosts choose. */
export interface ModelWay {
    name: string;
    weights?: SelectionWeights;
    /** Whether hosts of an availability zone tell each other what they see. */
    shares: boolean;
    /** Whether the choice is random. */
    random?: boolean;
}

/** Outcome of one run. */
export interface ModelResult {
    asked: number;
    served: number;
    inObjective: number;
    /** Requests that ran in another availability zone of the region, and in another region. */
    inRegion: number;
    elsewhere: number;
    repeats: number;
    /** Mean of the worth of answers, in the terms of the users: 1 in time, 0.3 late, 0 otherwise. */
    credit: number;
    /** The share served of the class that is served worst. */
    worstClass: number;
}

interface Host {
    zone: string;
    pool: ServerPool;
    allowance: HostRetryBudget;
    latencies: RouteLatencyTracker;
    key: string;
}

const reportMs = 100;
const zoneDelayMs = 1;
const regionDelayMs = 3;
const farDelayMs = 25;
const runMs = 30_000;
const lateCredit = 0.3;

/** Runs a site for half a minute of fake time. */
export const runModelFleet = (site: ModelSite, way: ModelWay, seed: number, load = 1): ModelResult => {
    const random = createRandom(seed);
    const timeline = createTimeline();
    const servers = createServers(site);
    const zones = Object.keys(site.regions);
    const hostCount = zones.length * site.entryHostsPerZone;
    const hosts: Host[] = zones.flatMap(zone =>
        Array.from({ length: site.entryHostsPerZone }, (_, index) => {
            const pool = createServerPool({
                locality: { availabilityZone: zone, regions: site.regions },
                random: createRandom(seed * 1000 + index),
                wallClock: () => timeline.now(),
                weights: way.weights,
            });
            pool.update(servers.map(server => server.record));
            const bound = { ratio: 0.2, reserve: site.retryReserve, windowMs: 10_000 };
            return {
                zone,
                pool,
                allowance: createHostRetryBudget(bound, hostCount),
                latencies: createRouteLatencyTracker(),
                key: `${zone}-${index}`,
            };
        })
    );
    for (const server of servers) {
        keepFailing(server, site, timeline, random);
    }
    const tallies = new Map(site.classes.map(cls => [cls.name, { asked: 0, served: 0 }]));
    const result = { asked: 0, served: 0, inObjective: 0, inRegion: 0, elsewhere: 0, repeats: 0, credit: 0 };

    const delayBetween = (from: string, to: string): number => {
        if (from === to) {
            return zoneDelayMs;
        }
        return site.regions[from] === site.regions[to] ? regionDelayMs : farDelayMs;
    };

    const report = (host: Host): void => {
        const reports = host.pool.drainReports();
        if (!way.shares || reports.length === 0) {
            return;
        }
        const failures = reports.filter(({ failures: count }) => count > 0);
        for (const other of hosts) {
            if (other === host) {
                continue;
            }
            const isNear = other.zone === host.zone;
            const told = isNear ? reports : failures;
            if (told.length === 0) {
                continue;
            }
            timeline.after(2 * delayBetween(host.zone, other.zone), () => {
                for (const entry of told) {
                    if (isNear) {
                        other.pool.applyReport(host.key, entry, timeline.now());
                    }
                    else {
                        other.pool.applyRemoteFailures(entry, timeline.now());
                    }
                }
            });
        }
    };

    const request = (host: Host, cls: ModelClass): void => {
        const startedAt = timeline.now();
        const deadlineAt = startedAt + cls.timeoutMs;
        const tally = tallies.get(cls.name)!;
        tally.asked += 1;
        result.asked += 1;
        host.allowance.recordRequest(cls.service, startedAt);
        const plan = createRequestAttempts({
            repeatability: cls.repeatability,
            maxServers: cls.maxServers,
            deadlineAt,
            tryTakeRetry: () => {
                const taken = host.allowance.tryTake(cls.service, timeline.now());
                result.repeats += taken ? 1 : 0;
                return taken;
            },
        });
        const used = new Set<number>();
        let isDone = false;
        const conclude = (isServed: boolean): void => {
            if (isDone) {
                return;
            }
            isDone = true;
            const elapsed = timeline.now() - startedAt;
            if (isServed && elapsed <= cls.timeoutMs) {
                const inTime = elapsed <= cls.objectiveMs;
                tally.served += 1;
                result.served += 1;
                result.inObjective += inTime ? 1 : 0;
                result.credit += inTime ? 1 : lateCredit;
            }
        };
        const choose = (): ModelServer | undefined => {
            if (way.random === true) {
                const fitting = servers.filter(server =>
                    server.record.service === cls.service && !used.has(server.record.number)
                );
                return fitting[random.below(fitting.length)];
            }
            const choice = host.pool.choose(cls.service, cls.repeatability, used, timeline.now());
            return choice === undefined ? undefined : servers[choice.server.number - 1];
        };
        const send = (server: ModelServer): void => {
            const { number, availabilityZone } = server.record;
            const delay = delayBetween(host.zone, availabilityZone);
            const sentAt = timeline.now();
            result.inRegion += delay === regionDelayMs ? 1 : 0;
            result.elsewhere += delay === farDelayMs ? 1 : 0;
            used.add(number);
            plan.attemptStarted();
            host.pool.requestStarted(number, sentAt);
            let isOpen = true;
            const end = (outcome: AttemptOutcome): void => {
                isOpen = false;
                const now = timeline.now();
                const isFailure = outcome === AttemptOutcome.Broken || outcome === AttemptOutcome.ServerError;
                const sign = outcome === AttemptOutcome.Answered
                    ? ServerObservation.Success
                    : isFailure
                    ? ServerObservation.Failure
                    : ServerObservation.Stuck;
                host.pool.requestEnded(number, sign, now);
                if (isFailure) {
                    report(host);
                }
                if (outcome === AttemptOutcome.Answered) {
                    host.latencies.record(cls.name, now - sentAt);
                }
                const step = plan.attemptEnded(outcome, now);
                if (isDone || step === RequestAction.Wait) {
                    return;
                }
                const next = step === RequestAction.Retry ? choose() : undefined;
                if (next !== undefined) {
                    send(next);
                    return;
                }
                conclude(outcome === AttemptOutcome.Answered);
            };
            timeline.after(
                delay,
                () => serve(server, cls, site, timeline, random, outcome => timeline.after(delay, () => end(outcome))),
            );
            timeline.after(host.latencies.stuckAfterMs(cls.name, cls.objectiveMs), () => {
                if (!isOpen || isDone) {
                    return;
                }
                host.pool.recordStuck(number, timeline.now());
                const other = cls.repeatability === Repeatability.Repeatable ? choose() : undefined;
                if (other !== undefined && plan.tryHedge(timeline.now())) {
                    send(other);
                }
            });
        };
        const first = choose();
        if (first !== undefined) {
            send(first);
        }
    };

    for (const cls of site.classes) {
        const arrive = (): void => {
            request(hosts[random.below(hosts.length)]!, cls);
            timeline.after(drawPause(random, 1000 / (cls.perSecond * load)), arrive);
        };
        timeline.after(drawPause(random, 1000 / (cls.perSecond * load)), arrive);
    }
    for (const host of hosts) {
        const tick = (): void => {
            report(host);
            timeline.after(reportMs, tick);
        };
        timeline.after(random.below(reportMs), tick);
    }
    timeline.run(runMs);
    const shares = [...tallies.values()].map(({ asked, served }) => asked === 0 ? 1 : served / asked);
    return { ...result, worstClass: Math.min(...shares) };
};
