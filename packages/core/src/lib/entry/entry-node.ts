/** Implements an entry node: the decision logic of an entry host, as an I/O-free state machine of events and actions. */
import type { Announcement } from "../backend-server.js";
import { createAnnouncementHandler } from "../directory/announcement-handler.js";
import type { AnnouncementResult } from "../directory/announcement-handler.js";
import { DirectoryChangeKind } from "../directory/directory.js";
import type { DirectoryChange } from "../directory/directory.js";
import { HostState } from "../membership/host-record.js";
import type { HostInfo } from "../membership/host-record.js";
import { createMembership, MembershipActionKind, MembershipEventKind } from "../membership/membership.js";
import type { Membership, MembershipAction, MembershipEvent } from "../membership/membership.js";
import type { Random } from "../random.js";
import { SlotShareKind, wholeShare } from "../scheduler.js";
import { compareVersions, formatVersion, noVersion } from "../tables.js";
import type { Version, VersionedTables } from "../tables.js";
import { candidateHostsOf, leaseHoldersOf } from "./candidate-hosts.js";
import { createClaimBridge } from "./claim-bridge.js";
import { EntryActionKind, EntryEventKind, FleetMessageKind, LogEventKind } from "./entry-messages.js";
import type { EntryAction, EntryEvent, FleetMessage } from "./entry-messages.js";
import type { MemberEvidence, PoolController } from "./pool-controller.js";
import { createPoolSet } from "./pool-set.js";
import type { PoolChange, PoolSet } from "./pool-set.js";
import { createRequestFlow } from "./request-flow.js";
import { createRequestTurns } from "./request-turns.js";
import { createRouteTable } from "./route-table.js";

/** Options of {@link createEntryNode}. */
export interface EntryNodeCfg {
    self: HostInfo;
    /** Increases with each start of the process. */
    incarnation: number;
    /** Hosts to contact first; they need not be alive. */
    seeds: HostInfo[];
    random: Random;
}

/** The decision logic of one entry host. Times are in milliseconds on a monotonic clock. */
export interface EntryNode {
    step(event: EntryEvent, now: number): EntryAction[];
    /** Returns the hosts that a caller should use for a brand and kind of request, best first. */
    addresses(brand: string | undefined, kind: string | undefined): HostInfo[];
    /** Returns the hosts that a backend server should announce itself to: those that hold its lease. */
    announceTargets(announcement: Announcement): HostInfo[];
    /** Returns the destination that the tables give for a brand and kind of request. */
    destinationOf(brand: string, kind: string): string | undefined;
    version(): Version;
    versionedTables(): VersionedTables | undefined;
    isDraining(): boolean;
    membership(): Membership;
    pools(): PoolSet;
    openRequestCount(): number;
    /** Number of keys whose claims this host stores as a replica. */
    claimedKeyCount(): number;
}

/** Maximum number of host addresses returned to a caller. */
const maxAddresses = 4;
/** How long a probe waits for an idempotent request that it can copy, before it is sent as an OPTIONS request. */
const probeRequestTimeoutMs = 300;

/** Creates an entry host without tables. */
export const createEntryNode = (cfg: EntryNodeCfg): EntryNode => {
    const { self } = cfg;
    const membership = createMembership(cfg);

    const announceTargets = (announcement: Announcement): HostInfo[] => {
        const hosts = membership.usableHosts();
        return [...new Set(announcement.services.flatMap(service => leaseHoldersOf(service, announcement.region, hosts)))];
    };

    const announcements = createAnnouncementHandler({
        hostId: self.hostId,
        incarnation: cfg.incarnation,
        holdersOf: announcement => announceTargets(announcement).map(host => host.hostId),
    });
    const pools = createPoolSet({
        region: self.region,
        availabilityZone: self.availabilityZone,
        random: cfg.random,
        members: service => announcements.directory.members(service, self.region),
    });
    let tables: VersionedTables | undefined;
    let routes = createRouteTable(undefined);
    let draining = false;

    const candidateHosts = (service: string): HostInfo[] => candidateHostsOf(service, self.region, membership.usableHosts());

    const turns = createRequestTurns({
        random: cfg.random,
        serverCount: service => pools.find(service)?.memberCount() ?? 0,
        hasPeers: () => membership.usableHosts().length > 1,
    });

    const requestFlow = createRequestFlow({
        hostId: self.hostId,
        deps: {
            routes: () => routes,
            pools,
            candidateHosts,
            applyPool: (pool, result, now) => applyPoolChanges([{ pool, result }], now),
            probeWithRequest: (pool, requestId) => probeServer(pool, pool.takeProbe(), requestId),
            requestClaim: (info, now) => claims.requestClaim(info, now),
            endClaim: (requestId, outcome, now) => claims.endClaim(requestId, outcome, now),
            turns,
        },
    });

    const claims = createClaimBridge({
        hostId: self.hostId,
        incarnation: cfg.incarnation,
        random: cfg.random,
        onGranted: (requestId, now) => requestFlow.claimGranted(requestId, now),
        onSettled: requestId => requestFlow.closeSettled(requestId),
    });

    const send = (toHostId: string, message: FleetMessage): EntryAction => ({ kind: EntryActionKind.Send, toHostId, message });

    const logEvent = (kind: LogEventKind, subject: string, detail = ""): EntryAction => ({
        kind: EntryActionKind.LogEvent,
        logEvent: kind,
        subject,
        detail,
    });

    const applyPoolChanges = (changes: PoolChange[], now: number): EntryAction[] =>
        changes.flatMap(({ pool, result }) => [
            ...result.logEvents.map(event => logEvent(event.logEvent, event.serverId, pool.pool().destination)),
            ...requestFlow.applySchedulerActions(pool, result.schedulerActions, now),
            ...result.evidenceReports.flatMap(report => reportEvidence(pool, report)),
        ]);

    const reportEvidence = (pool: PoolController, report: MemberEvidence): EntryAction[] => {
        const { service } = pool.pool();
        return leaseHoldersOf(service, self.region, membership.usableHosts())
            .filter(host => host.hostId !== self.hostId)
            .map(host => send(host.hostId, { kind: FleetMessageKind.Evidence, service, ...report }));
    };

    const probeServer = (pool: PoolController, serverId: string | undefined, requestId?: string): EntryAction[] => {
        const server = pool.members().find(member => member.id === serverId);
        const { service } = pool.pool();
        return server === undefined
            ? []
            : [{ kind: EntryActionKind.Probe, service, serverId: server.id, host: server.host, port: server.port, requestId }];
    };

    /** Sends, as OPTIONS requests, the probes that have waited too long for an idempotent request that they could copy. */
    const sendOverdueProbes = (now: number): EntryAction[] =>
        pools.all().flatMap(pool => probeServer(pool, pool.takeProbe(now - probeRequestTimeoutMs)));

    /** Sets this host's slot share of every pool: every slot where it is the owner, the share of a stand-by elsewhere. */
    const refreshShares = (now: number): EntryAction[] => {
        const hosts = membership.usableHosts();
        const changes = pools.all().map(pool => {
            const isOwner = leaseHoldersOf(pool.pool().service, self.region, hosts)[0]?.hostId === self.hostId;
            return { pool, result: pool.setShare(isOwner ? wholeShare : { kind: SlotShareKind.StandBy }, now) };
        });
        return applyPoolChanges(changes, now);
    };

    const directoryLogEvents: Record<DirectoryChangeKind, LogEventKind | undefined> = {
        [DirectoryChangeKind.Joined]: LogEventKind.ServerJoined,
        // The backend server stays in the directory; only joining and leaving are logged.
        [DirectoryChangeKind.Changed]: undefined,
        [DirectoryChangeKind.Left]: LogEventKind.ServerLeft,
    };

    const applyDirectoryChanges = (changes: DirectoryChange[], now: number): EntryAction[] => {
        if (changes.length === 0) {
            return [];
        }
        const services = new Set(changes.flatMap(change => change.announcement.services));
        const logEvents = changes.flatMap(change => {
            const kind = directoryLogEvents[change.kind];
            return kind === undefined ? [] : [logEvent(kind, change.announcement.id, change.announcement.services.join(","))];
        });
        // A pool that has just been created has no slot share yet.
        return [...logEvents, ...applyPoolChanges(pools.refresh(services, now), now), ...refreshShares(now)];
    };

    const applyAnnouncement = ({ changes, relays }: AnnouncementResult, now: number): EntryAction[] => [
        ...relays.map(({ toHostId, message }) => send(toHostId, { kind: FleetMessageKind.Relay, message })),
        ...applyDirectoryChanges(changes, now),
    ];

    const applyMembershipAction = (action: MembershipAction): EntryAction =>
        action.kind === MembershipActionKind.Send
            ? send(action.toHostId, { kind: FleetMessageKind.Membership, message: action.message })
            : logEvent(LogEventKind.HostChanged, action.hostId, HostState[action.state]);

    const stepMembership = (event: MembershipEvent, now: number): EntryAction[] => {
        const actions = membership.step(event, now);
        const isChanged = actions.some(action => action.kind === MembershipActionKind.Changed);
        return [...actions.map(applyMembershipAction), ...isChanged ? refreshShares(now) : []];
    };

    const onMessage = (fromHostId: string, message: FleetMessage, now: number): EntryAction[] => {
        switch (message.kind) {
            case FleetMessageKind.Relay:
                return applyAnnouncement(announcements.receive(fromHostId, message.message, now), now);
            case FleetMessageKind.Claim:
                return claims.receive(fromHostId, message.message, now);
            case FleetMessageKind.RequestEvidence:
                turns.receive(message.evidence, now);
                return [];
            case FleetMessageKind.Evidence: {
                const pool = pools.find(message.service);
                return pool === undefined
                    ? []
                    : applyPoolChanges([{ pool, result: pool.receiveEvidence(fromHostId, message, now) }], now);
            }
            case FleetMessageKind.Membership:
                return stepMembership({ kind: MembershipEventKind.Message, fromHostId, message: message.message }, now);
        }
    };

    const applyTables = (next: VersionedTables, now: number): EntryAction[] => {
        // An older version is ignored, whichever host sends it.
        if (tables !== undefined && compareVersions(next.version, tables.version) <= 0) {
            return [];
        }
        tables = next;
        routes = createRouteTable(next.tables);
        return [
            logEvent(LogEventKind.TablesInForce, formatVersion(next.version)),
            ...stepMembership({ kind: MembershipEventKind.Version, version: next.version }, now),
            ...applyPoolChanges(pools.configure(next.tables.pools, now), now),
            ...refreshShares(now),
        ];
    };

    const tick = (now: number): EntryAction[] => [
        ...stepMembership({ kind: MembershipEventKind.Tick }, now),
        ...applyPoolChanges(pools.tick(now), now),
        ...sendOverdueProbes(now),
        ...requestFlow.tick(now),
        ...claims.tick(now),
    ];

    /** Announces that this host is leaving, so that it gets no new work; the open requests continue. */
    const drain = (now: number): EntryAction[] => {
        draining = true;
        return stepMembership({ kind: MembershipEventKind.Leave }, now);
    };

    const handle = (event: EntryEvent, now: number): EntryAction[] => {
        switch (event.kind) {
            case EntryEventKind.Request:
                return requestFlow.requestArrived(event.request, now);
            case EntryEventKind.AttemptEnded:
                return requestFlow.attemptEnded(event, now);
            case EntryEventKind.ProbeEnded: {
                const pool = pools.find(event.service);
                const { serverId, attemptClass, durationMs } = event;
                return pool === undefined
                    ? []
                    : applyPoolChanges([{ pool, result: pool.probeEnded(serverId, attemptClass, durationMs, now) }], now);
            }
            case EntryEventKind.ForwardEnded:
                return requestFlow.forwardEnded(event.requestId, event.forwardClass, now);
            case EntryEventKind.CallerDisconnected:
                return requestFlow.callerDisconnected(event.requestId, now);
            case EntryEventKind.Announce:
                return applyAnnouncement(announcements.announce(event.announcement, event.echo, now), now);
            case EntryEventKind.Message:
                return onMessage(event.fromHostId, event.message, now);
            case EntryEventKind.Tables:
                return applyTables(event.versioned, now);
            case EntryEventKind.Enrolled:
                return claims.onEnrolled(event.firstStart, event.roster, now);
            case EntryEventKind.Tick:
                return tick(now);
            case EntryEventKind.Drain:
                return drain(now);
        }
    };

    /** Tells all other hosts what this one has seen of requests that may end servers. */
    const shareRequestEvidence = (): EntryAction[] => {
        const others = membership.usableHosts().filter(host => host.hostId !== self.hostId);
        return [
            ...turns.takeEvidence().flatMap(evidence =>
                others.map(host => send(host.hostId, { kind: FleetMessageKind.RequestEvidence, evidence }))
            ),
            ...turns.takeLogEvents().map(event => logEvent(event.logEvent, event.key, event.detail)),
        ];
    };

    // Leases expire before the event is handled: a process that was paused must not act on outdated members.
    const step = (
        event: EntryEvent,
        now: number,
    ): EntryAction[] => [
        ...applyDirectoryChanges(announcements.directory.expire(now), now),
        ...handle(event, now),
        ...shareRequestEvidence(),
    ];

    const addresses = (brand: string | undefined, kind: string | undefined): HostInfo[] => {
        const hosts = membership.usableHosts();
        const match = brand === undefined || kind === undefined ? undefined : routes.match(brand, kind);
        const preferred = match?.ok === true ? candidateHostsOf(match.pool.service, self.region, hosts) : [];
        const local = hosts.filter(host => host.region === self.region);
        return [...new Set([...preferred, ...local, ...hosts])].slice(0, maxAddresses);
    };

    const destinationOf = (brand: string, kind: string): string | undefined => {
        const match = routes.match(brand, kind);
        return match.ok ? match.pool.destination : undefined;
    };

    return {
        step,
        addresses,
        announceTargets,
        destinationOf,
        version: () => tables?.version ?? noVersion,
        versionedTables: () => tables,
        isDraining: () => draining,
        membership: () => membership,
        pools: () => pools,
        openRequestCount: () => requestFlow.openRequestCount(),
        claimedKeyCount: () => claims.claimedKeyCount(),
    };
};
