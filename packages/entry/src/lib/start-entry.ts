/** Puts one entry host together: sockets and timers around the decisions. */
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
import { createEventLog, readTokenFile } from "@cassiapick/operations";
import { createRpcClient, createRpcServer } from "@cassiapick/wire";
import { setTimeout as sleep } from "node:timers/promises";
import { createAdminServer } from "./admin-server.js";
import { createAttemptRunner } from "./attempt-runner.js";
import { createBackendClients } from "./backend-clients.js";
import { createCallerBook } from "./caller-book.js";
import { createCallerServer } from "./caller-server.js";
import { startEnroller } from "./enroller.js";
import type { EntrySettings } from "./entry-settings.js";
import { buildEntryStatus } from "./entry-status.js";
import { createFleetLinks } from "./fleet-links.js";
import { closeServer, listen } from "./http-listen.js";
import { createNodeActor } from "./node-actor.js";
import { noteEvents } from "./note-events.js";
import { createTablesRelay, createTablesWatcher, stateChannel } from "./tables-watcher.js";

/** A running entry host. */
export interface RunningEntry {
    self: HostInfo;
    /** Stops gracefully: no request in flight is cut. */
    stop(): Promise<void>;
}

const tickMs = 25;
const relaysPerRegion = 2;
const fleetChannel = "fleet";
/** The time that hosts need to hear that this one leaves, added to the validity of address answers. */
const leaveSpreadMs = 1500;
const drainPollMs = 20;

/** Starts one entry host; resolves when it serves. */
export const startEntry = async (settings: EntrySettings): Promise<RunningEntry> => {
    const startedAt = Date.now();
    const now = (): number => performance.now();
    const fleetTokens = readTokenFile(settings.fleetTokenFile);
    const announceTokens = readTokenFile(settings.announceTokenFile);
    const operatorTokens = readTokenFile(settings.operatorTokenFile);
    const log = createEventLog({ program: "entry", hostId: settings.hostId, format: settings.logFormat });
    const clients = createBackendClients();

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

    const send = (event: EntryEvent): void => actor.send(event);

    const book = createCallerBook({
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
            book.open(caller);
            send({ kind: EntryEventKind.Request, request: caller.info });
        },
        onGone: caller => send({ kind: EntryEventKind.CallerDisconnected, requestId: caller.info.requestId }),
    });

    const adminServer = createAdminServer({
        announceTokens,
        operatorTokens,
        services: () => node.versionedTables()?.tables.pools.map(pool => pool.service) ?? [],
        onAnnounce: (announcement, echo) => {
            send({ kind: EntryEventKind.Announce, announcement, echo });
            const announceTo = node.announceTargets(announcement).map(host => `${host.adminHost}:${host.adminPort}`);
            return {
                leaseMs,
                again: echo?.incarnation !== startedAt,
                echo: { incarnation: startedAt, clock: now() },
                announceTo,
            };
        },
        status: () => buildEntryStatus({ node, self, startedAt, nowMs: Date.now(), burn: book.burn() }),
        metrics: () => book.metrics(),
    });

    const relay = createTablesRelay(() => node.versionedTables(), known => compareVersions(node.version(), known) > 0);
    const seedOf = (seed: EntrySettings["seeds"][number]): HostInfo => ({
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
        seeds: settings.seeds.map(seedOf),
        random: createRandom(hash32(`${settings.hostId}/${startedAt}`)),
    });

    const links = createFleetLinks({
        hostId: settings.hostId,
        localAddress: settings.listenHost,
        token: fleetTokens.current,
        find: hostId => node.membership().find(hostId)?.info,
    });

    const runner = createAttemptRunner({
        clients,
        bufferBytes: settings.bufferBytes,
        hopToken: fleetTokens.current,
        now,
        emit: send,
        sinkOf: caller => book.answers.sink(caller),
        onStreamed: (caller, whole) => book.finishStreamed(caller, whole),
        onForwarded: (caller, result) => book.finishForwarded(caller, result),
    });

    const performers: { [K in EntryActionKind]: (action: Extract<EntryAction, { kind: K; }>) => void; } = {
        [EntryActionKind.Attempt]: action => {
            const caller = book.find(action.requestId);
            if (caller !== undefined) {
                runner.attempt(action, caller);
            }
        },
        [EntryActionKind.Forward]: action => {
            const caller = book.find(action.requestId);
            if (caller !== undefined) {
                runner.forward(action, caller);
            }
        },
        [EntryActionKind.Probe]: action =>
            runner.probe(action, action.requestId === undefined ? undefined : book.find(action.requestId)),
        [EntryActionKind.CancelAttempt]: action => runner.cancel(action.attemptId),
        [EntryActionKind.Deliver]: action => {
            book.deliver(action.requestId, runner.take(action.attemptId));
            runner.forget(action.requestId);
        },
        [EntryActionKind.Replay]: action => book.replay(action.requestId, action.answer),
        [EntryActionKind.Refuse]: action => {
            runner.forget(action.requestId);
            book.refuse(action.requestId, action.refusal);
        },
        [EntryActionKind.Send]: action => links.to(action.toHostId)?.notify(fleetChannel, action.message),
        [EntryActionKind.LogEvent]: action => {
            log.log(noteEvents[action.logEvent], { subject: action.subject, detail: action.detail });
            if (action.logEvent === LogEventKind.TablesInForce) {
                relay.changed();
            }
        },
    };

    const perform = (action: EntryAction): void => (performers[action.kind] as (action: EntryAction) => void)(action);

    const actor = createNodeActor({
        node,
        now,
        perform,
        onFault: (err, event) => log.log("internalFault", { event: event.kind, message: err.message, stack: err.stack }),
    });

    // Sockets open only now: from here on, every handler finds the decisions in place.
    self.callerPort = await listen(callerServer, settings.callerPort, settings.listenHost);
    self.adminPort = await listen(adminServer, settings.adminPort, settings.listenHost);
    const rpcServer = await createRpcServer({
        host: settings.listenHost,
        port: settings.fleetPort,
        acceptToken: token => fleetTokens.accepts(token),
        requestHandlers: {
            [stateChannel]: body => {
                const request = body as WatchRequest;
                return relay.answer(request.known, request.waitMs);
            },
        },
        noticeHandlers: {
            [fleetChannel]: (body, fromHostId) =>
                send({ kind: EntryEventKind.Message, fromHostId, message: body as FleetMessage }),
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

    /** Only a few hosts of a region ask the state hosts; the others ask these, so that one copy crosses between regions. */
    const findRelay = (): ReturnType<typeof links.to> => {
        const hosts = node.membership().usableHosts().filter(host => host.region === settings.region);
        const { owners } = ownersOf({ service: "tables", region: settings.region, hosts, count: relaysPerRegion });
        return owners.includes(settings.hostId) || owners[0] === undefined ? undefined : links.to(owners[0]);
    };

    const watcher = createTablesWatcher({
        hostId: settings.hostId,
        stateHosts: stateClients,
        relay: findRelay,
        known: () => node.version(),
        onTables: versioned => send({ kind: EntryEventKind.Tables, versioned }),
        onReachable: reachable => {
            if (!reachable) {
                log.log("tablesUnreachable", { version: formatVersion(node.version()) });
            }
        },
    });

    const enroller = startEnroller({
        host: { hostId: self.hostId, region: self.region, availabilityZone: self.availabilityZone },
        incarnation: startedAt,
        stateHosts: stateClients,
        onEnrolled: (firstStart, roster) => send({ kind: EntryEventKind.Enrolled, firstStart, roster }),
    });

    const ticker = setInterval(() => send({ kind: EntryEventKind.Tick }), tickMs);
    await watcher.catchUp();
    watcher.start();
    log.log("started", { caller: `${self.callerHost}:${self.callerPort}`, admin: `${self.adminHost}:${self.adminPort}` });

    const finishWork = async (): Promise<void> => {
        while (book.size() > 0 || runner.running() > 0 || node.openRequestCount() > 0) {
            await sleep(drainPollMs);
        }
    };

    const stop = async (): Promise<void> => {
        log.log("draining");
        send({ kind: EntryEventKind.Drain });
        // Callers may keep an address for its validity, so this host serves on until every answer that names it is stale.
        await sleep(settings.addressValidityMs + leaveSpreadMs);
        const closed = closeServer(callerServer);
        await finishWork();
        callerServer.closeIdleConnections();
        await closed;
        clearInterval(ticker);
        watcher.stop();
        enroller.stop();
        await closeServer(adminServer);
        await rpcServer.close();
        links.close();
        for (const client of stateClients) {
            client.close();
        }
        await clients.close();
        actor.stop();
        log.log("stopped");
    };

    return { self, stop };
};
