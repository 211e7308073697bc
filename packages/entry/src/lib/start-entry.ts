/** Assembles one entry host: connects the decision logic to sockets and timers. */
import {
    compareVersions,
    createEntryNode,
    createRandom,
    EntryActionKind,
    EntryEventKind,
    formatVersion,
    hash32,
    leaseMs,
    LogEventKind,
    ownersOf,
} from "@cassiapick/core";
import type { EntryAction, EntryEvent, FleetMessage, HostInfo, WatchRequest } from "@cassiapick/core";
import { createEventLog, readTokenFile, trackConnections } from "@cassiapick/operations";
import { createRpcClient, createRpcServer } from "@cassiapick/wire";
import { setTimeout as sleep } from "node:timers/promises";
import { createAdminServer } from "./admin-server.js";
import { createAttemptRunner } from "./attempt-runner.js";
import { createCallerRegistry } from "./caller-registry.js";
import { createCallerServer } from "./caller-server.js";
import { startEnroller } from "./enroller.js";
import type { EntrySettings } from "./entry-settings.js";
import { createEntryStatus } from "./entry-status.js";
import { createFleetLinks } from "./fleet-links.js";
import { createHttpDispatchers } from "./http-dispatchers.js";
import { closeConnections, listen } from "./http-listen.js";
import { eventNameByKind } from "./log-event-names.js";
import { createNodeActor } from "./node-actor.js";
import { createTablesRelay, createTablesWatcher, stateChannel } from "./tables-watcher.js";

/** A running entry host. */
export interface RunningEntry {
    /** The host's identity, with the ports that it actually listens on. */
    self: HostInfo;
    /** Drains, then stops; resolves when no request is in flight any more. */
    stop(): Promise<void>;
}

const tickIntervalMs = 25;
const relaysPerRegion = 2;
const fleetChannel = "fleet";
/** Time for the leave to reach all other hosts, in milliseconds; added to the validity of address answers. */
const leavePropagationMs = 1500;
const drainPollMs = 20;

/** Starts one entry host; resolves when it accepts requests. */
export const startEntry = async (settings: EntrySettings): Promise<RunningEntry> => {
    const startedAt = Date.now();
    const now = (): number => performance.now();
    const fleetTokens = readTokenFile(settings.fleetTokenFile);
    const announceTokens = readTokenFile(settings.announceTokenFile);
    const operatorTokens = readTokenFile(settings.operatorTokenFile);
    const log = createEventLog({ program: "entry", hostId: settings.hostId, format: settings.logFormat });
    const dispatchers = createHttpDispatchers();

    const self: HostInfo = {
        hostId: settings.hostId,
        region: settings.region,
        availabilityZone: settings.availabilityZone,
        fleetHost: settings.listenHost,
        fleetPort: settings.fleetPort,
        callerHost: settings.listenHost,
        callerPort: settings.callerPort,
        adminHost: settings.listenHost,
        adminPort: settings.adminPort,
    };

    const sendEvent = (event: EntryEvent): void => actor.send(event);

    const callerRegistry = createCallerRegistry({
        hostId: settings.hostId,
        startedAt,
        isDraining: () => node.isDraining(),
        destinationOf: (brand, kind) => node.destinationOf(brand, kind),
        now,
    });

    const callerServer = createCallerServer({
        maxBodyBytes: settings.maxBodyBytes,
        hopToken: fleetTokens.current,
        now,
        onAddresses: (brand, kind) => ({
            addresses: node.addresses(brand, kind).map(host => ({
                hostId: host.hostId,
                url: `http://${host.callerHost}:${host.callerPort}`,
            })),
            validForMs: settings.addressValidityMs,
        }),
        onRequest: caller => {
            callerRegistry.add(caller);
            sendEvent({ kind: EntryEventKind.Request, request: caller.info });
        },
        onDisconnect: caller => sendEvent({ kind: EntryEventKind.CallerDisconnected, requestId: caller.info.requestId }),
    });

    const adminServer = createAdminServer({
        announceTokens,
        operatorTokens,
        services: () => node.versionedTables()?.tables.pools.map(pool => pool.service) ?? [],
        onAnnounce: (announcement, echo) => {
            sendEvent({ kind: EntryEventKind.Announce, announcement, echo });
            const announceTo = node.announceTargets(announcement).map(host => `${host.adminHost}:${host.adminPort}`);
            return {
                leaseMs,
                again: echo?.incarnation !== startedAt,
                echo: { incarnation: startedAt, clock: now() },
                announceTo,
            };
        },
        status: () => createEntryStatus({ node, self, startedAt, nowMs: Date.now(), burn: callerRegistry.burnStatus() }),
        metrics: () => callerRegistry.metrics(),
    });

    let readsFromStateHost = false;
    const tablesRelay = createTablesRelay(
        () => node.versionedTables(),
        knownVersion => compareVersions(node.version(), knownVersion) > 0,
        () => readsFromStateHost,
    );
    const seedHostInfo = (seed: EntrySettings["seeds"][number]): HostInfo => ({
        hostId: seed.hostId,
        region: "",
        availabilityZone: "",
        fleetHost: seed.host,
        fleetPort: seed.port,
        callerHost: "",
        callerPort: 0,
        adminHost: "",
        adminPort: 0,
    });

    const node = createEntryNode({
        self,
        incarnation: startedAt,
        seeds: settings.seeds.map(seedHostInfo),
        random: createRandom(hash32(`${settings.hostId}/${startedAt}`)),
    });

    const fleetLinks = createFleetLinks({
        hostId: settings.hostId,
        localAddress: settings.listenHost,
        token: fleetTokens.current,
        findHost: hostId => node.membership().find(hostId)?.info,
    });

    const attemptRunner = createAttemptRunner({
        dispatchers,
        bufferBytes: settings.bufferBytes,
        hopToken: fleetTokens.current,
        now,
        sendEvent,
        createSink: caller => callerRegistry.answerWriter.createSink(caller),
        onStreamed: (caller, isComplete) => callerRegistry.finishStreamed(caller, isComplete),
        onForwarded: (caller, result) => callerRegistry.finishForwarded(caller, result),
    });

    const actionHandlers: { [K in EntryActionKind]: (action: Extract<EntryAction, { kind: K; }>) => void; } = {
        [EntryActionKind.Attempt]: action => {
            const caller = callerRegistry.find(action.requestId);
            if (caller !== undefined) {
                attemptRunner.startAttempt(action, caller);
            }
        },
        [EntryActionKind.Forward]: action => {
            const caller = callerRegistry.find(action.requestId);
            if (caller !== undefined) {
                attemptRunner.forwardRequest(action, caller);
            }
        },
        [EntryActionKind.Probe]: action =>
            attemptRunner.sendProbe(action, action.requestId === undefined ? undefined : callerRegistry.find(action.requestId)),
        [EntryActionKind.CancelAttempt]: action => attemptRunner.cancelAttempt(action.attemptId),
        [EntryActionKind.Deliver]: action => {
            callerRegistry.deliver(action.requestId, attemptRunner.takeAnswer(action.attemptId));
            attemptRunner.discardAnswers(action.requestId);
        },
        [EntryActionKind.Replay]: action => callerRegistry.replay(action.requestId, action.answer),
        [EntryActionKind.Refuse]: action => {
            attemptRunner.discardAnswers(action.requestId);
            callerRegistry.refuse(action.requestId, action.refusal);
        },
        [EntryActionKind.Send]: action => fleetLinks.clientFor(action.toHostId)?.notify(fleetChannel, action.message),
        [EntryActionKind.LogEvent]: action => {
            log.log(eventNameByKind[action.logEvent], { subject: action.subject, detail: action.detail });
            if (action.logEvent === LogEventKind.TablesInForce) {
                tablesRelay.notifyWatchers();
            }
        },
    };

    const runAction = (action: EntryAction): void => (actionHandlers[action.kind] as (action: EntryAction) => void)(action);

    const actor = createNodeActor({
        node,
        now,
        runAction,
        onInternalError: (err, event) => log.log("internalFault", { event: event.kind, message: err.message, stack: err.stack }),
    });

    const callerConnections = trackConnections(callerServer);
    const adminConnections = trackConnections(adminServer);

    // Starts listening last, because the request handlers use all of the components above.
    self.callerPort = await listen(callerServer, settings.callerPort, settings.listenHost);
    self.adminPort = await listen(adminServer, settings.adminPort, settings.listenHost);
    const rpcServer = await createRpcServer({
        host: settings.listenHost,
        port: settings.fleetPort,
        acceptToken: token => fleetTokens.accepts(token),
        requestHandlers: {
            [stateChannel]: body => {
                const request = body as WatchRequest;
                return tablesRelay.handleWatch(request.known, request.waitMs);
            },
        },
        noticeHandlers: {
            [fleetChannel]: (body, fromHostId) =>
                sendEvent({ kind: EntryEventKind.Message, fromHostId, message: body as FleetMessage }),
        },
        onRejected: (reason, remoteAddress) => log.log("peerRejected", { reason, remoteAddress }),
    });
    self.fleetPort = rpcServer.port;

    const stateClients = settings.stateHosts.map(peer =>
        createRpcClient({
            host: peer.host,
            port: peer.port,
            hostId: settings.hostId,
            token: fleetTokens.current,
            localAddress: settings.listenHost,
        })
    );

    /**
     * Returns the relay to read tables from, or `undefined` when this host reads from the state hosts itself.
     *
     * Only a few hosts of a region read from the state hosts, and the others from them, so that few copies cross regions.
     */
    const findRelay = (): ReturnType<typeof fleetLinks.clientFor> => {
        const hosts = node.membership().usableHosts().filter(host => host.region === settings.region);
        const { owners } = ownersOf({ service: "tables", region: settings.region, hosts, count: relaysPerRegion });
        return owners.includes(settings.hostId) || owners[0] === undefined ? undefined : fleetLinks.clientFor(owners[0]);
    };

    const tablesWatcher = createTablesWatcher({
        hostId: settings.hostId,
        stateHosts: stateClients,
        findRelay,
        knownVersion: () => node.version(),
        onTables: versioned => sendEvent({ kind: EntryEventKind.Tables, versioned }),
        onReachabilityChange: isReachable => {
            if (!isReachable) {
                log.log("tablesUnreachable", { version: formatVersion(node.version()) });
            }
        },
        onDirectSourceChange: isDirect => {
            readsFromStateHost = isDirect;
        },
    });

    const enroller = startEnroller({
        host: { hostId: self.hostId, region: self.region, availabilityZone: self.availabilityZone },
        incarnation: startedAt,
        stateHosts: stateClients,
        onEnrolled: (isFirstStart, roster) => sendEvent({ kind: EntryEventKind.Enrolled, firstStart: isFirstStart, roster }),
    });

    const tickTimer = setInterval(() => sendEvent({ kind: EntryEventKind.Tick }), tickIntervalMs);
    await tablesWatcher.catchUp();
    tablesWatcher.start();
    log.log("started", { caller: `${self.callerHost}:${self.callerPort}`, admin: `${self.adminHost}:${self.adminPort}` });

    const waitForOpenRequests = async (): Promise<void> => {
        while (callerRegistry.pendingCount() > 0 || attemptRunner.runningCount() > 0 || node.openRequestCount() > 0) {
            await sleep(drainPollMs);
        }
    };

    const stop = async (): Promise<void> => {
        log.log("draining");
        sendEvent({ kind: EntryEventKind.Drain });
        // Callers may cache an address for its validity, so this host serves until every address answer that names it has expired.
        await sleep(settings.addressValidityMs + leavePropagationMs);
        await closeConnections(callerConnections, waitForOpenRequests);
        clearInterval(tickTimer);
        tablesWatcher.stop();
        enroller.stop();
        await closeConnections(adminConnections);
        await rpcServer.close();
        fleetLinks.close();
        for (const client of stateClients) {
            client.close();
        }
        await dispatchers.close();
        actor.stop();
        log.log("stopped");
    };

    return { self, stop };
};
