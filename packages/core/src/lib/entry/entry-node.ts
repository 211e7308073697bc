/** One whole entry host as a state machine: every event of the process goes in, every effect comes out. */
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
import { candidatesOf, holdersOf } from "./candidates.js";
import { createClaimBridge } from "./claim-bridge.js";
import { EntryActionKind, EntryEventKind, FleetMessageKind, NoteKind } from "./entry-messages.js";
import type { EntryAction, EntryEvent, FleetMessage } from "./entry-messages.js";
import type { MemberEvidence, PoolNode } from "./pool-node.js";
import { createPoolSet } from "./pool-set.js";
import type { PoolChange, PoolSet } from "./pool-set.js";
import { createRequestFlow } from "./request-flow.js";
import { createRouteTable } from "./route-table.js";

/** Options of {@link createEntryNode}. */
export interface EntryNodeCfg {
    self: HostInfo;
    /** Larger at each start of the process. */
    incarnation: number;
    seeds: HostInfo[];
    random: Random;
}

/** One entry host. Times are in milliseconds on a clock that never goes back. */
export interface EntryNode {
    step(event: EntryEvent, now: number): EntryAction[];
    /** The hosts that a caller should use for a brand and kind of request, best first. */
    addresses(brand: string | undefined, kind: string | undefined): HostInfo[];
    /** The hosts that a backend server should announce itself to: those that hold its lease. */
    announceTargets(announcement: Announcement): HostInfo[];
    /** Where the tables send a brand and kind of request. */
    destinationOf(brand: string, kind: string): string | undefined;
    version(): Version;
    versioned(): VersionedTables | undefined;
    isDraining(): boolean;
    membership(): Membership;
    pools(): PoolSet;
    openRequests(): number;
    /** Keys whose claims this host keeps as a replica. */
    claimedKeys(): number;
}

/** Addresses in one answer to a caller. */
const maxAddresses = 4;
/** How long a probe waits for an idempotent request to go along with. */
const probePatienceMs = 300;

/** Creates one entry host without tables. */
export const createEntryNode = (cfg: EntryNodeCfg): EntryNode => {
    const { self } = cfg;
    const membership = createMembership(cfg);

    const announceTargets = (announcement: Announcement): HostInfo[] => {
        const hosts = membership.usableHosts();
        return [...new Set(announcement.services.flatMap(service => holdersOf(service, announcement.region, hosts)))];
    };

    const desk = createAnnouncementHandler({
        hostId: self.hostId,
        incarnation: cfg.incarnation,
        holdersOf: announcement => announceTargets(announcement).map(host => host.hostId),
    });
    const pools = createPoolSet({
        region: self.region,
        availabilityZone: self.availabilityZone,
        random: cfg.random,
        members: service => desk.directory.members(service, self.region),
    });
    let tables: VersionedTables | undefined;
    let routes = createRouteTable(undefined);
    let draining = false;

    const candidates = (service: string): HostInfo[] => candidatesOf(service, self.region, membership.usableHosts());

    const flow = createRequestFlow({
        hostId: self.hostId,
        ports: {
            routes: () => routes,
            pools,
            candidates,
            applyPool: (pool, result, now) => applyPoolChanges([{ pool, result }], now),
            probe: (pool, requestId) => probe(pool, pool.takeProbe(), requestId),
            wantClaim: (info, now) => claims.want(info, now),
            endClaim: (requestId, end, now) => claims.end(requestId, end, now),
        },
    });

    const claims = createClaimBridge({
        hostId: self.hostId,
        incarnation: cfg.incarnation,
        random: cfg.random,
        onGranted: (requestId, now) => flow.claimGranted(requestId, now),
        onSettled: requestId => flow.claimSettled(requestId),
    });

    const send = (toHostId: string, message: FleetMessage): EntryAction => ({ kind: EntryActionKind.Send, toHostId, message });

    const note = (kind: NoteKind, subject: string, detail = ""): EntryAction => ({
        kind: EntryActionKind.Note,
        note: kind,
        subject,
        detail,
    });

    const applyPoolChanges = (changes: PoolChange[], now: number): EntryAction[] =>
        changes.flatMap(({ pool, result }) => [
            ...result.notes.map(found => note(found.note, found.serverId, pool.pool().destination)),
            ...flow.applyScheduled(pool, result.scheduled, now),
            ...result.reports.flatMap(report => reportEvidence(pool, report)),
        ]);

    const reportEvidence = (pool: PoolNode, report: MemberEvidence): EntryAction[] => {
        const { service } = pool.pool();
        return holdersOf(service, self.region, membership.usableHosts())
            .filter(host => host.hostId !== self.hostId)
            .map(host => send(host.hostId, { kind: FleetMessageKind.Evidence, service, ...report }));
    };

    const probe = (pool: PoolNode, serverId: string | undefined, requestId?: string): EntryAction[] => {
        const server = pool.members().find(member => member.id === serverId);
        const { service } = pool.pool();
        return server === undefined
            ? []
            : [{ kind: EntryActionKind.Probe, service, serverId: server.id, host: server.host, port: server.port, requestId }];
    };

    /** Probes that no request came along for. */
    const probeAlone = (now: number): EntryAction[] =>
        pools.all().flatMap(pool => probe(pool, pool.takeProbe(now - probePatienceMs)));

    /** Every pool learns whether this host owns it. */
    const refreshShares = (now: number): EntryAction[] => {
        const hosts = membership.usableHosts();
        const changes = pools.all().map(pool => {
            const isOwner = holdersOf(pool.pool().service, self.region, hosts)[0]?.hostId === self.hostId;
            return { pool, result: pool.setShare(isOwner ? wholeShare : { kind: SlotShareKind.StandBy }, now) };
        });
        return applyPoolChanges(changes, now);
    };

    const directoryNotes: Record<DirectoryChangeKind, NoteKind | undefined> = {
        [DirectoryChangeKind.Joined]: NoteKind.ServerJoined,
        [DirectoryChangeKind.Changed]: undefined,
        [DirectoryChangeKind.Left]: NoteKind.ServerLeft,
    };

    const applyDirectory = (changes: DirectoryChange[], now: number): EntryAction[] => {
        if (changes.length === 0) {
            return [];
        }
        const services = new Set(changes.flatMap(change => change.announcement.services));
        const notes = changes.flatMap(change => {
            const kind = directoryNotes[change.kind];
            return kind === undefined ? [] : [note(kind, change.announcement.id, change.announcement.services.join(","))];
        });
        // A pool that has just got its first member does not know its share yet.
        return [...notes, ...applyPoolChanges(pools.refresh(services, now), now), ...refreshShares(now)];
    };

    const applyAnnouncement = ({ changes, relays }: AnnouncementResult, now: number): EntryAction[] => [
        ...relays.map(({ toHostId, message }) => send(toHostId, { kind: FleetMessageKind.Relay, message })),
        ...applyDirectory(changes, now),
    ];

    const applyMembership = (action: MembershipAction): EntryAction =>
        action.kind === MembershipActionKind.Send
            ? send(action.toHostId, { kind: FleetMessageKind.Membership, message: action.message })
            : note(NoteKind.HostChanged, action.hostId, HostState[action.state]);

    const stepMembership = (event: MembershipEvent, now: number): EntryAction[] => {
        const actions = membership.step(event, now);
        const isChanged = actions.some(action => action.kind === MembershipActionKind.Changed);
        return [...actions.map(applyMembership), ...isChanged ? refreshShares(now) : []];
    };

    const onMessage = (fromHostId: string, message: FleetMessage, now: number): EntryAction[] => {
        switch (message.kind) {
            case FleetMessageKind.Relay:
                return applyAnnouncement(desk.receive(fromHostId, message.message, now), now);
            case FleetMessageKind.Claim:
                return claims.receive(fromHostId, message.message, now);
            case FleetMessageKind.Evidence: {
                const pool = pools.find(message.service);
                return pool === undefined
                    ? []
                    : applyPoolChanges([{ pool, result: pool.remoteEvidence(fromHostId, message, now) }], now);
            }
            case FleetMessageKind.Membership:
                return stepMembership({ kind: MembershipEventKind.Message, fromHostId, message: message.message }, now);
        }
    };

    const takeTables = (next: VersionedTables, now: number): EntryAction[] => {
        // Never back to an older version, whoever sends it.
        if (tables !== undefined && compareVersions(next.version, tables.version) <= 0) {
            return [];
        }
        tables = next;
        routes = createRouteTable(next.tables);
        return [
            note(NoteKind.TablesInForce, formatVersion(next.version)),
            ...stepMembership({ kind: MembershipEventKind.Version, version: next.version }, now),
            ...applyPoolChanges(pools.configure(next.tables.pools, now), now),
            ...refreshShares(now),
        ];
    };

    const tick = (now: number): EntryAction[] => [
        ...stepMembership({ kind: MembershipEventKind.Tick }, now),
        ...applyPoolChanges(pools.tick(now), now),
        ...probeAlone(now),
        ...flow.tick(now),
        ...claims.tick(now),
    ];

    const drain = (now: number): EntryAction[] => {
        draining = true;
        return stepMembership({ kind: MembershipEventKind.Leave }, now);
    };

    const handle = (event: EntryEvent, now: number): EntryAction[] => {
        switch (event.kind) {
            case EntryEventKind.Request:
                return flow.arrive(event.request, now);
            case EntryEventKind.AttemptEnded:
                return flow.attemptEnded(event, now);
            case EntryEventKind.ProbeEnded: {
                const pool = pools.find(event.service);
                const { serverId, attemptClass, durationMs } = event;
                return pool === undefined
                    ? []
                    : applyPoolChanges([{ pool, result: pool.probeEnded(serverId, attemptClass, durationMs, now) }], now);
            }
            case EntryEventKind.ForwardEnded:
                return flow.forwardEnded(event.requestId, event.forwardClass, now);
            case EntryEventKind.CallerGone:
                return flow.callerGone(event.requestId, now);
            case EntryEventKind.Announce:
                return applyAnnouncement(desk.announce(event.announcement, event.echo, now), now);
            case EntryEventKind.Message:
                return onMessage(event.fromHostId, event.message, now);
            case EntryEventKind.Tables:
                return takeTables(event.versioned, now);
            case EntryEventKind.Enrolled:
                return claims.enrolled(event.firstStart, event.roster, now);
            case EntryEventKind.Tick:
                return tick(now);
            case EntryEventKind.Drain:
                return drain(now);
        }
    };

    // Leases end before anything else is decided: a process that was frozen must not use what it believed before.
    const step = (
        event: EntryEvent,
        now: number,
    ): EntryAction[] => [...applyDirectory(desk.directory.expire(now), now), ...handle(event, now)];

    const addresses = (brand: string | undefined, kind: string | undefined): HostInfo[] => {
        const hosts = membership.usableHosts();
        const match = brand === undefined || kind === undefined ? undefined : routes.match(brand, kind);
        const preferred = match?.ok === true ? candidatesOf(match.pool.service, self.region, hosts) : [];
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
        versioned: () => tables,
        isDraining: () => draining,
        membership: () => membership,
        pools: () => pools,
        openRequests: () => flow.open(),
        claimedKeys: () => claims.keys(),
    };
};
