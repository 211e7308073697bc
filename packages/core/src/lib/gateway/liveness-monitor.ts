/**
 * Monitors, on one state host, the backend servers that announce themselves to it and the entry hosts attached to it, and
 * derives the facts that the replicated state lacks.
 */
import { FactKind, HostPhase, HostRole, ServingState } from "../fleet/facts.js";
import type { Fact, FleetHost, FleetServer, HostAnnouncement, ServerAnnouncement } from "../fleet/facts.js";
import type { FleetMachine } from "../fleet/fleet-machine.js";

/** Options of {@link createLivenessMonitor}. */
export interface LivenessMonitorCfg {
    /** Id of this state host. */
    stateHostId: string;
    /** Interval at which a server announces itself, in milliseconds. */
    heartbeatMs: number;
    /** Wall-clock time in milliseconds since 1970. */
    wallClock: () => number;
}

/** Liveness of the servers and entry hosts that one state host monitors. */
export interface LivenessMonitor {
    /** Handles a server's announcement. Returns the fact that must be committed before the announcement is acknowledged, if any. */
    serverAnnounced(fleet: FleetMachine, server: ServerAnnouncement, now: number): Fact | undefined;
    /**
     * Handles a server's notice that it has left. Returns the facts to commit as one entry, unless the replicated state shows that
     * the process has left or that a newer one has followed it. A server that this state host does not know may be known to others,
     * and its announcement may be committed later than its notice.
     */
    serverLeft(fleet: FleetMachine, serverId: string, bornAt: number | undefined): Fact[];
    /** Records that a host is attached to this state host, or that its announcement has changed. */
    hostAttached(host: HostAnnouncement): void;
    hostDetached(hostId: string, now: number): void;
    /** Returns the facts that the replicated state lacks. */
    missingFacts(fleet: FleetMachine, now: number): Fact[];
}

/** A server is silent after this many heartbeat intervals without an announcement. */
const silentAfterHeartbeats = 3.3;
/** A silent server is removed after this time. */
const silentServerRemovalMs = 600_000;
/** A detached entry host may be attaching to another state host; it counts as departed only after this time. */
const detachedHostTimeoutMs = 900;

/** Where a process that left before it was recorded is recorded to be; no server can use this address. */
const unknownAddress = "0.0.0.0:1";

/** The record of a process of which only its notice that it has left is known. */
const unannouncedServer = (serverId: string, bornAt: number): ServerAnnouncement => ({
    serverId,
    service: "",
    address: unknownAddress,
    availabilityZone: "",
    slots: 1,
    state: ServingState.Draining,
    bornAt,
    warmupLeftMs: 0,
});

const isSameProcess = (record: FleetServer, server: ServerAnnouncement): boolean =>
    record.serverId === server.serverId && record.bornAt === server.bornAt && record.service === server.service
    && record.address === server.address;

/** Whether an announcement has no effect, as a newer process uses the id or the address, or the process has left. */
export const isOutdated = (fleet: FleetMachine, server: ServerAnnouncement): boolean => {
    const record = fleet.server(server.serverId);
    if (record !== undefined && record.bornAt > server.bornAt) {
        return true;
    }
    if (record?.bornAt === server.bornAt && record.state === ServingState.Departed) {
        return true;
    }
    const addressHolder = fleet.serverByAddress(server.address);
    return addressHolder !== undefined && addressHolder.serverId !== server.serverId && addressHolder.bornAt > server.bornAt;
};

/** Creates the monitor of one state host. */
export const createLivenessMonitor = (cfg: LivenessMonitorCfg): LivenessMonitor => {
    const lastAnnouncedAt = new Map<string, number>();
    const attachedHosts = new Map<string, HostAnnouncement>();
    const detachedAt = new Map<string, number>();

    const serverAnnounced = (fleet: FleetMachine, server: ServerAnnouncement, now: number): Fact | undefined => {
        if (isOutdated(fleet, server)) {
            return undefined;
        }
        lastAnnouncedAt.set(server.serverId, now);
        const record = fleet.server(server.serverId);
        const isRecorded = record !== undefined && isSameProcess(record, server) && record.slots === server.slots
            && !record.silent && record.keeper === cfg.stateHostId
            && (record.state === ServingState.Draining || record.state === server.state);
        return isRecorded ? undefined : { kind: FactKind.Server, server, keeper: cfg.stateHostId, at: cfg.wallClock() };
    };

    const serverLeft = (fleet: FleetMachine, serverId: string, bornAt: number | undefined): Fact[] => {
        const record = fleet.server(serverId);
        lastAnnouncedAt.delete(serverId);
        const hasLeft = record?.state === ServingState.Departed && (bornAt === undefined || bornAt <= record.bornAt);
        const hasSuccessor = record !== undefined && bornAt !== undefined && bornAt < record.bornAt;
        if (hasLeft || hasSuccessor) {
            return [];
        }
        const leftFact: Fact = { kind: FactKind.ServerLeft, serverId, bornAt };
        if (record !== undefined && (bornAt === undefined || bornAt === record.bornAt)) {
            return [leftFact];
        }
        // Only a record outlives the notice: without one, an announcement that is committed after it would add the server.
        // State hosts of earlier versions apply these two facts in the same way.
        // A notice without a start time is of a process that has started by now; its successor starts later.
        const server = unannouncedServer(serverId, bornAt ?? cfg.wallClock());
        return [{ kind: FactKind.Server, server, keeper: cfg.stateHostId, at: cfg.wallClock() }, leftFact];
    };

    const silenceFact = (record: FleetServer, now: number): Fact | undefined => {
        if (record.keeper !== cfg.stateHostId || record.state === ServingState.Departed) {
            return undefined;
        }
        const { serverId, bornAt } = record;
        const lastSeenAt = lastAnnouncedAt.get(serverId) ?? now;
        lastAnnouncedAt.set(serverId, lastSeenAt);
        if (now - lastSeenAt > silentServerRemovalMs) {
            return { kind: FactKind.ServerLeft, serverId, bornAt };
        }
        const isSilent = now - lastSeenAt > silentAfterHeartbeats * cfg.heartbeatMs;
        return isSilent && !record.silent
            ? { kind: FactKind.ServerSilence, serverId, bornAt, silent: true, keeper: cfg.stateHostId }
            : undefined;
    };

    const isRecordedHost = (record: FleetHost | undefined, host: HostAnnouncement): boolean =>
        record?.startedAt === host.startedAt && record.state === host.state && record.keeper === cfg.stateHostId
        && record.address === host.address && record.forwardAddress === host.forwardAddress;

    const departureFact = (record: FleetHost, now: number): Fact | undefined => {
        const isMonitoredHere = record.keeper === cfg.stateHostId && record.state !== HostPhase.Departed;
        if (!isMonitoredHere || attachedHosts.has(record.hostId) || record.hostId === cfg.stateHostId) {
            return undefined;
        }
        const detachedSince = detachedAt.get(record.hostId) ?? now;
        detachedAt.set(record.hostId, detachedSince);
        if (now - detachedSince < detachedHostTimeoutMs) {
            return undefined;
        }
        const { hostId, role, address, availabilityZone, region, startedAt } = record;
        const host = { hostId, role, address, availabilityZone, region, startedAt, state: HostPhase.Departed };
        return { kind: FactKind.Host, host, keeper: cfg.stateHostId };
    };

    const isFact = (fact: Fact | undefined): fact is Fact => fact !== undefined;

    /**
     * A host that starts may attach to several state hosts before it is ready. Until then it is recorded only to replace the
     * record of an earlier process, as each fact goes to all state hosts.
     */
    const isUnneeded = (record: FleetHost | undefined, host: HostAnnouncement): boolean =>
        record === undefined && host.role === HostRole.Entry && host.state === HostPhase.Leaving;

    const isMissing = (record: FleetHost | undefined, host: HostAnnouncement): boolean =>
        !isRecordedHost(record, host) && !isUnneeded(record, host);

    const missingFacts = (fleet: FleetMachine, now: number): Fact[] => {
        const changedHosts = [...attachedHosts.values()].filter(host => isMissing(fleet.host(host.hostId), host));
        return [
            ...changedHosts.map((host): Fact => ({ kind: FactKind.Host, host, keeper: cfg.stateHostId })),
            ...[...fleet.hosts()].map(record => departureFact(record, now)).filter(isFact),
            ...[...fleet.servers()].map(record => silenceFact(record, now)).filter(isFact),
        ];
    };

    return {
        serverAnnounced,
        serverLeft,
        hostAttached: host => {
            attachedHosts.set(host.hostId, host);
            detachedAt.delete(host.hostId);
        },
        hostDetached: (hostId, now) => {
            attachedHosts.delete(hostId);
            detachedAt.set(hostId, now);
        },
        missingFacts,
    };
};
