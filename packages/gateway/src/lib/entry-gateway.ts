/** A running entry host that serves published configurations. */
import {
    applyDelta,
    createHostRetryBudget,
    createRouteIndex,
    createRouteLatencyTracker,
    createServerPool,
    fromReportRow,
    fromServerRow,
    HostPhase,
    LinkMessageKind,
} from "@cassiapick/core";
import type { GatewayConfig, LinkMessage, PoolLocality, Random, RetryBound, RouteIndex, ServerRow } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { createCallerServer } from "./caller-server.js";
import type { Routing } from "./caller-server.js";
import { createGatewayMetrics } from "./gateway-metrics.js";
import type { ExchangeHeaders } from "./headers.js";
import { runRequest } from "./request-runner.js";
import { createStateLink } from "./state-link.js";

/** Options of {@link startEntryGateway}. */
export interface EntryGatewayOptions {
    hostId: string;
    /** Where callers connect. */
    listenHost: string;
    /** 0 lets the system choose. */
    listenPort: number;
    place: PoolLocality;
    /** State hosts to try first, as "host:port". */
    seeds: readonly string[];
    names: ExchangeHeaders;
    retryBound: RetryBound;
    /** Within this time a change is in force, in milliseconds; an older view can't say that a route is missing. */
    applyWithinMs: number;
    /** How long a stop may take, in milliseconds. */
    stopWithinMs: number;
    random: Random;
    clock: () => number;
    wallClock: () => number;
    log: EventLog;
}

/** A running entry host. */
export interface EntryGateway {
    port: number;
    /** Whether callers should connect here. */
    isReady(): boolean;
    setSeeds(seeds: readonly string[]): void;
    renderMetrics(): string;
    /** Finishes what it has read, and resolves when the process may end. */
    stop(): Promise<void>;
}

/** A start without a majority of the state hosts makes do with an unconfirmed configuration after this time, in milliseconds. */
const makeDoMs = 3000;
/** Callers keep addresses for a while, so a stopping host takes new connections for this share of its time. */
const listenShare = 0.6;
/** The last part of a stop is kept for answers to leave, in milliseconds. */
const reserveMs = 500;
const stopCheckMs = 50;
/** When callers should come back while the newest configuration is not known, in milliseconds. */
const unsureRetryMs = 400;
/** After a start the first configuration is waited for this long, in milliseconds. */
const firstConfigMs = 1500;
/** Entry hosts that share the retry reserve until the state hosts tell their number. */
const firstHostCount = 50;

/** Starts an entry host that listens once the promise resolves. */
export const startEntryGateway = async (options: EntryGatewayOptions): Promise<EntryGateway> => {
    const { clock, wallClock, log, place } = options;
    const startedAt = wallClock();
    const startedClock = clock();
    const pool = createServerPool({ locality: place, random: options.random, wallClock });
    const allowance = createHostRetryBudget(options.retryBound, firstHostCount);
    const latencies = createRouteLatencyTracker();
    const metrics = createGatewayMetrics();
    let config: GatewayConfig | undefined;
    let routes: RouteIndex = createRouteIndex([]);
    let serversRevision = 0;
    let phase = HostPhase.Leaving;
    let isStopping = false;

    const isSure = (): boolean => link.ageMs() <= options.applyWithinMs;

    const route = (hostHeader: string, target: string): Routing => {
        if (config === undefined) {
            // State hosts that were killed with this one serve again within a second.
            const waitMs = Math.max(0, startedClock + firstConfigMs - clock());
            return { kind: "unsure", retryAfterMs: unsureRetryMs, waitMs };
        }
        const found = routes.find(hostHeader, target);
        if (found !== undefined) {
            return { kind: "routed", route: found, configNumber: config.number };
        }
        return isSure()
            ? { kind: "unrouted", configNumber: config.number }
            : { kind: "unsure", retryAfterMs: unsureRetryMs, waitMs: 0 };
    };

    let waitingForConfig: (() => void)[] = [];
    const nextConfig = (waitMs: number): Promise<void> =>
        new Promise(resolve => {
            waitingForConfig.push(resolve);
            setTimeout(resolve, waitMs);
        });

    const callers = createCallerServer({
        names: options.names,
        route,
        nextConfig,
        run: req =>
            runRequest(req, {
                pool,
                allowance,
                latencies,
                random: options.random,
                names: options.names,
                localAddress: options.listenHost,
                clock,
                log,
                serverFailed: () => link.reportNow(),
                viewAgeMs: () => link.ageMs(),
            }),
        clock,
        log,
        metrics,
    });

    const useConfig = (next: GatewayConfig | undefined): void => {
        if (next === undefined || (config !== undefined && next.number <= config.number)) {
            return;
        }
        config = next;
        routes = createRouteIndex(next.routes);
        callers.setLimits(next.limits);
        const waiting = waitingForConfig;
        waitingForConfig = [];
        waiting.forEach(resolve => resolve());
        log.log("configurationInForce", { number: next.number, routes: next.routes.length, viewAgeMs: Math.round(link.ageMs()) });
    };

    const useServers = (rows: readonly ServerRow[], revision: number): void => {
        const servers = rows.map(fromServerRow);
        pool.update(servers);
        serversRevision = Math.max(serversRevision, revision);
        for (const { serverId, service, address, state, silent } of servers) {
            log.log("serverUpdated", { serverId, service, address, state, silent, revision });
        }
    };

    type Handlers = { [K in LinkMessageKind]?: (message: Extract<LinkMessage, { k: K; }>) => void; };
    const handlers: Handlers = {
        [LinkMessageKind.Config]: message => useConfig(message.config),
        [LinkMessageKind.ConfigDelta]: message => useConfig(applyDelta(config, message.delta)),
        [LinkMessageKind.Servers]: message => useServers(message.rows, message.revision),
        [LinkMessageKind.Contacts]: message => allowance.setHostCount(message.entryHosts),
        [LinkMessageKind.RelayedReports]: message => {
            const now = clock();
            for (const [hostKey, rows] of message.h) {
                for (const row of rows) {
                    pool.applyReport(String(hostKey), fromReportRow(row), now);
                }
            }
        },
        [LinkMessageKind.RemoteOutcomes]: message => {
            const now = clock();
            for (const row of message.r) {
                pool.applyRemoteFailures(fromReportRow(row), now);
            }
        },
        [LinkMessageKind.HostLeft]: message => pool.removeHostLoad(String(message.h)),
    };

    // The link says where callers connect, so listening comes first.
    const port = await callers.listen(options.listenHost, options.listenPort);
    const link = createStateLink({
        availabilityZone: place.availabilityZone,
        region: place.regions[place.availabilityZone] ?? "",
        seeds: options.seeds,
        localAddress: options.listenHost,
        random: options.random,
        clock,
        log,
        hello: () => ({
            k: LinkMessageKind.EntryHello,
            hostId: options.hostId,
            address: `${options.listenHost}:${port}`,
            availabilityZone: place.availabilityZone,
            region: place.regions[place.availabilityZone] ?? "",
            startedAt,
            phase,
            configNumber: config?.number ?? 0,
            serversRevision,
        }),
        receive: message => {
            // Each handler is keyed by the kind of its message, which the compiler can't follow through the lookup.
            (handlers[message.k] as ((message: LinkMessage) => void) | undefined)?.(message);
            refreshPhase();
        },
        detached: () => pool.removeAllHostLoads(),
        drainReports: () => pool.drainReports(),
    });

    const isReady = (): boolean =>
        !isStopping && config !== undefined && pool.size() > 0
        && (phase === HostPhase.Ready || isSure() || clock() - startedClock > makeDoMs);

    const refreshPhase = (): void => {
        const next = isReady() ? HostPhase.Ready : HostPhase.Leaving;
        if (next !== phase) {
            phase = next;
            link.tellPhase(next);
            log.log("hostChanged", { host: options.hostId, change: next });
        }
    };
    const phaseTimer = setInterval(refreshPhase, unsureRetryMs);

    const stop = async (): Promise<void> => {
        const begunAt = clock();
        isStopping = true;
        refreshPhase();
        callers.beginLeaving();
        const elapsed = (): number => clock() - begunAt;
        const wait = (): Promise<void> => new Promise(resolve => setTimeout(resolve, stopCheckMs));
        while (elapsed() < options.stopWithinMs * listenShare) {
            await wait();
        }
        callers.stopListening();
        while (callers.pending() > 0 && elapsed() < options.stopWithinMs - reserveMs) {
            await wait();
        }
        clearInterval(phaseTimer);
        link.close();
        callers.close();
    };

    return {
        port,
        isReady,
        setSeeds: seeds => link.setSeeds(seeds),
        renderMetrics: () =>
            metrics.render({
                cassiapick_view_age_ms: Number.isFinite(link.ageMs()) ? Math.round(link.ageMs()) : -1,
                cassiapick_configuration_number: config?.number ?? 0,
                cassiapick_servers: pool.size(),
                cassiapick_requests_open: callers.pending(),
            }),
        stop,
    };
};
