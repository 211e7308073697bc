/** Starts and stops an entry host that serves published configurations. */
import {
    applyDelta,
    createHostRetryBudget,
    createPathMonitor,
    createPeerSelector,
    createPieceBudget,
    createRouteLatencyTracker,
    createServerLimits,
    createServerPool,
    createSuspensionClock,
    fromLimitShareRow,
    fromPeerRow,
    fromServerRow,
    HostPhase,
    LinkMessageKind,
    ownValue,
} from "@cassiapick/core";
import type { GatewayConfig, LinkMessage, ServerRow } from "@cassiapick/core";
import { createLatenessMeter } from "@cassiapick/operations";
import { createAdmissionQueue } from "./admission-queue.js";
import { createAnswerMemory } from "./answer-memory.js";
import { createAnswerWriter } from "./answer-writer.js";
import { createCallerServer } from "./caller-server.js";
import { createConfigInForce, tickMs, unknownConfigRetryMs } from "./config-in-force.js";
import type { EntryGateway, EntryGatewayOptions } from "./entry-gateway-contract.js";
import { createForwardServer } from "./forward-server.js";
import { createGatewayMetrics } from "./gateway-metrics.js";
import { createGatewayQuarantine } from "./gateway-quarantine.js";
import { createHostCount } from "./host-count.js";
import { connectTcp } from "./http-call.js";
import { createQuotaGate } from "./quota-gate.js";
import { applyRemoteReports, applyZoneReports } from "./received-reports.js";
import { runRequest } from "./request-runner.js";
import type { ServerAttemptDependencies } from "./server-attempt.js";
import type { ServerEndCheckOptions } from "./server-end-check.js";
import { createStateLink } from "./state-link.js";
import { stopGracefully } from "./stop-gracefully.js";
import { ConnectResult, tryConnect } from "./try-connect.js";

/** Without a majority of the state hosts, a starting host serves an unconfirmed configuration after this time. */
const unconfirmedConfigFallbackMs = 3000;
/** Interval at which servers whose path is lost may be tried, in milliseconds. */
const pathTickMs = 100;

/** Starts an entry host; the promise resolves once it listens. */
export const startEntryGateway = async (options: EntryGatewayOptions): Promise<EntryGateway> => {
    const { clock, wallClock, log, locality } = options;
    const startedAt = wallClock();
    const monotonicStartMs = clock();
    const limits = createServerLimits();
    const pool = createServerPool({
        locality,
        random: options.random,
        wallClock,
        limits: {
            isLimited: number => limits.isLimited(number),
            maySend: (number, now) => limits.maySend(number, link.viewAgeMs(), now),
            requestStarted: (number, now) => limits.requestStarted(number, now),
        },
        isReachable: server => path.isReachable(server),
    });
    const peers = createPeerSelector(locality, options.random);
    const connectServer = options.connectServer ?? connectTcp;
    const connectForTrial: ServerEndCheckOptions["tryConnect"] = (server, timeoutMs, onEnd) => {
        metrics.increment("cassiapick_trial_connections_total", { service: server.service });
        tryConnect(server.address, options.listenHost, timeoutMs, connectServer, onEnd);
    };
    const path = createPathMonitor({
        servers: service => pool.readyServers(service, clock()),
        tryConnect: (server, timeoutMs, onEnd) =>
            connectForTrial(server, timeoutMs, result => onEnd(result === ConnectResult.Connected)),
        random: options.random,
        clock,
        onFailuresConfirmed: failures => {
            failures.forEach(({ number, isShared }) => pool.recordConnectFailure(number, isShared, clock()));
            link.sendReportsNow();
        },
        onPathChanged: ({ service = "*", isLost, lostForMs }) => {
            log.log(isLost ? "serverPathLost" : "serverPathRestored", { service, lostForMs: Math.round(lostForMs) });
            updatePhase();
        },
    });
    const lateness = createLatenessMeter({ intervalMs: pathTickMs, clock, log });
    const retryBudget = createHostRetryBudget(options.retryBound, monotonicStartMs, options.random);
    const latencies = createRouteLatencyTracker();
    const metrics = createGatewayMetrics();
    const configInForce = createConfigInForce({ ...options, viewAgeMs: () => link.viewAgeMs() });
    const isViewFresh = (): boolean => link.viewAgeMs() <= options.applyWithinMs;
    const hostCount = createHostCount({ ...options, retryBudget, isViewFresh });
    const admission = createAdmissionQueue({ ...options, pool, hostCount: hostCount.latest, metrics });
    let serversRevision = 0;
    let phase = HostPhase.Leaving;
    let isStopping = false;

    const requestQuarantine = createGatewayQuarantine({
        ...options,
        pool,
        tryConnect: connectForTrial,
        link: () => link,
        metrics,
    });

    const pieceBudget = createPieceBudget();
    const answerMemory = createAnswerMemory(options.memoryBytes, options.linkBytesPerMs);
    const answerWriter = createAnswerWriter({ budget: answerMemory.budget, linkBytesPerMs: options.linkBytesPerMs, clock });
    const quotas = createQuotaGate({
        clock: createSuspensionClock(clock, wallClock),
        send: message => link.sendQuotaAsk(message),
        metrics,
        log,
    });

    const attemptDependencies: ServerAttemptDependencies = {
        ...requestQuarantine,
        pool,
        path,
        latencies,
        headerNames: options.headerNames,
        localAddress: options.listenHost,
        connectServer,
        clock,
        log,
        onServerFailed: () => link.sendReportsNow(),
        onLimitAnswer: answer => limits.recordAnswer(answer, clock()),
        viewAgeMs: () => link.viewAgeMs(),
        answerBudget: answerMemory.budget,
        pieceBudget,
    };

    const forwardServer = createForwardServer({
        ...attemptDependencies,
        metrics,
        answerWriter,
        maxBodyBytes: () => configInForce.current()?.limits.maxBodyBytes ?? 0,
    });

    const callerServer = createCallerServer({
        headerNames: options.headerNames,
        configInForce,
        run: req =>
            answerMemory.refusal(req)
                ?? quotas.run(req, () =>
                    runRequest(req, { ...attemptDependencies, retryBudget, admission, peers, metrics, random: options.random })),
        answerWriter,
        budget: answerMemory.budget,
        pieceBudget,
        clock,
        log,
        metrics,
    });

    const applyConfig = (newConfig: GatewayConfig | undefined): void => {
        if (newConfig === undefined || !configInForce.apply(newConfig)) {
            return;
        }
        callerServer.setLimits(newConfig.limits);
        quotas.setConfig(newConfig);
        log.log("configurationInForce", {
            number: newConfig.number,
            routes: newConfig.routes.length,
            workspaces: newConfig.workspaces?.length,
            viewAgeMs: Math.round(link.viewAgeMs()),
        });
    };

    const applyServers = (rows: readonly ServerRow[], revision: number): void => {
        const servers = rows.map(fromServerRow);
        pool.update(servers);
        serversRevision = Math.max(serversRevision, revision);
        for (const { serverId, service, address, state, silent } of servers) {
            log.log("serverUpdated", { serverId, service, address, state, silent, revision });
        }
    };

    type Handlers = { [K in LinkMessageKind]?: (message: Extract<LinkMessage, { k: K; }>) => void; };
    const handlers: Handlers = {
        [LinkMessageKind.Config]: message => applyConfig(message.config),
        [LinkMessageKind.ConfigDelta]: ({ delta }) => {
            const heldConfig = configInForce.current();
            const newConfig = applyDelta(heldConfig, delta);
            if (newConfig === undefined) {
                const { number, baseNumber } = delta;
                log.log("updateUnusable", { number, baseNumber, heldNumber: heldConfig?.number });
            }
            applyConfig(newConfig);
        },
        [LinkMessageKind.Servers]: message => applyServers(message.rows, message.revision),
        [LinkMessageKind.Contacts]: message => {
            hostCount.named(message.entryHosts);
        },
        [LinkMessageKind.RelayedReports]: ({ h }) => {
            applyZoneReports(pool, h, clock());
            admission.roomChanged();
        },
        [LinkMessageKind.RemoteOutcomes]: ({ r }) => applyRemoteReports(pool, r, clock()),
        [LinkMessageKind.LimitShares]: ({ r }) => {
            const shares = r.map(fromLimitShareRow);
            limits.setShares(shares, link.viewAgeMs(), clock());
            log.log("limitSharesChanged", { limited: shares.length, owned: shares.filter(share => share.ratePerS > 0).length });
        },
        [LinkMessageKind.RequestEvidence]: ({ r }) => requestQuarantine.evidenceReceived(r),
        [LinkMessageKind.Quarantined]: ({ q }) => requestQuarantine.recordsReceived(q),
        [LinkMessageKind.QuotaGrant]: ({ r }) => quotas.granted(r),
        [LinkMessageKind.Peers]: ({ p }) => peers.setPeers(p.map(fromPeerRow)),
        [LinkMessageKind.HostLeft]: message => pool.removeHostLoad(String(message.h)),
    };

    // The first message to a state host contains the port that callers connect to.
    const port = await callerServer.listen(options.listenHost, options.listenPort);
    const forwardPort = await forwardServer.listen(options.listenHost, options.forwardPort);
    const link = createStateLink({
        availabilityZone: locality.availabilityZone,
        region: ownValue(locality.regions, locality.availabilityZone) ?? "",
        seeds: options.seeds,
        localAddress: options.listenHost,
        random: options.random,
        clock,
        log,
        hello: () => ({
            k: LinkMessageKind.EntryHello,
            hostId: options.hostId,
            address: `${options.listenHost}:${port}`,
            forwardAddress: `${options.listenHost}:${forwardPort}`,
            availabilityZone: locality.availabilityZone,
            region: ownValue(locality.regions, locality.availabilityZone) ?? "",
            startedAt,
            phase,
            configNumber: configInForce.current()?.number ?? 0,
            serversRevision,
            takesLimits: true,
            takesEvidence: true,
            takesQuotas: true,
        }),
        receive: message => {
            // The key of a handler is the kind of its messages; the compiler can't infer this from the lookup.
            (handlers[message.k] as ((message: LinkMessage) => void) | undefined)?.(message);
            hostCount.confirm();
            updatePhase();
        },
        onQuotaLink: () => quotas.linkChanged(),
        onDetached: () => pool.removeAllHostLoads(),
        drainReports: () => pool.drainReports(clock()),
        drainLimitReports: () => limits.drainReports(link.viewAgeMs(), clock()),
    });

    const isReady = (): boolean =>
        !isStopping && configInForce.current() !== undefined && configInForce.mayServeKeys() && pool.size() > 0
        && (phase !== HostPhase.Leaving || isViewFresh() || clock() - monotonicStartMs > unconfirmedConfigFallbackMs);

    const currentPhase = (): HostPhase => {
        if (!isReady()) {
            return HostPhase.Leaving;
        }
        return path.isHostLost() ? HostPhase.NoServerPath : HostPhase.Ready;
    };

    const updatePhase = (): void => {
        const next = currentPhase();
        if (next !== phase) {
            phase = next;
            link.sendPhase(next);
            log.log("hostChanged", { host: options.hostId, change: next });
        }
    };
    const timers = [
        setInterval(updatePhase, unknownConfigRetryMs),
        setInterval(() => configInForce.tick(), tickMs),
        setInterval(() => {
            lateness.tick();
            path.tick();
        }, pathTickMs),
    ];

    const openRequestCount = (): number => callerServer.openRequestCount() + forwardServer.openRequestCount();

    const stop = (): Promise<void> =>
        stopGracefully({
            stopWithinMs: options.stopWithinMs,
            clock,
            openRequestCount,
            startDraining: () => {
                isStopping = true;
                updatePhase();
                callerServer.startDraining();
                forwardServer.startDraining();
            },
            stopAccepting: () => callerServer.stopAccepting(),
            refuseUnsent: () => callerServer.refuseUnsent(),
            close: () => {
                timers.forEach(timer => clearInterval(timer));
                quotas.close();
                link.close();
                callerServer.close();
                forwardServer.close();
            },
        });

    return {
        port,
        isReady,
        setSeeds: seeds => link.setSeeds(seeds),
        renderMetrics: () =>
            metrics.render({
                ...link.gauges(),
                ...lateness.gauges(),
                cassiapick_configuration_number: configInForce.current()?.number ?? 0,
                cassiapick_servers: pool.size(),
                cassiapick_limited_servers: limits.size(),
                cassiapick_peers: peers.size(),
                cassiapick_entry_hosts: hostCount.confirmed(),
                cassiapick_retry_reserve_share: retryBudget.reserveShare(clock()),
                ...requestQuarantine.gauges(),
                cassiapick_answer_bytes_held: answerMemory.budget.held(),
                cassiapick_large_answers_open: answerWriter.openLargeAnswers(),
                ...admission.gauges(),
                cassiapick_server_path_lost: path.isHostLost() ? 1 : 0,
                cassiapick_requests_open: openRequestCount(),
            }),
        stop,
    };
};
