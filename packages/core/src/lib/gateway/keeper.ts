/**
 * What one state host watches over: the backend servers that announce themselves to it, and the entry hosts that listen to
 * it. It compares them with the agreed view and names the facts that are missing there.
 */
import { FactKind, HostPhase, ServingState } from "../fleet/facts.js";
import type { Fact, FleetHost, FleetServer, HostAnnouncement, ServerAnnouncement } from "../fleet/facts.js";
import type { FleetMachine } from "../fleet/fleet-machine.js";

/** Options of {@link createKeeper}. */
export interface KeeperCfg {
    /** The name of this state host. */
    stateHostId: string;
    /** Usual time between two announcements of a server, in milliseconds. */
    heartbeatMs: number;
    /** Wall-clock time in milliseconds since 1970. */
    wallClock: () => number;
}

/** The watch of one state host. */
export interface Keeper {
    /** A server announces itself. Returns the fact that must be agreed on before it is acknowledged, if any. */
    announced(fleet: FleetMachine, server: ServerAnnouncement, now: number): Fact | undefined;
    /** A server says that it has left. */
    left(fleet: FleetMachine, serverId: string, bornAt: number | undefined): Fact | undefined;
    /** An entry host listens to this state host, or says something new of itself. */
    attached(host: HostAnnouncement): void;
    detached(hostId: string, now: number): void;
    /** Facts that the agreed view lacks. */
    missing(fleet: FleetMachine, now: number): Fact[];
}

/** A server is silent when this many announcements are overdue. */
const silentBeats = 3.3;
/** A silent server is forgotten after this time, in milliseconds. */
const forgetMs = 600_000;
/** An entry host that has come off may listen to another state host; after this time, in milliseconds, it counts as gone. */
const detachMs = 900;

const sameProcess = (record: FleetServer, server: ServerAnnouncement): boolean =>
    record.serverId === server.serverId && record.bornAt === server.bornAt && record.service === server.service
    && record.address === server.address;

/** Whether a newer process has the name or the address, or the process has left: then the announcement changes nothing. */
const isOutdated = (fleet: FleetMachine, server: ServerAnnouncement): boolean => {
    const record = fleet.server(server.serverId);
    if (record !== undefined && record.bornAt > server.bornAt) {
        return true;
    }
    if (record?.bornAt === server.bornAt && record.state === ServingState.Departed) {
        return true;
    }
    const holder = fleet.serverByAddress(server.address);
    return holder !== undefined && holder.serverId !== server.serverId && holder.bornAt > server.bornAt;
};

/** Creates the watch of one state host. */
export const createKeeper = (cfg: KeeperCfg): Keeper => {
    const heardAt = new Map<string, number>();
    const hosts = new Map<string, HostAnnouncement>();
    const detachedAt = new Map<string, number>();

    const announced = (fleet: FleetMachine, server: ServerAnnouncement, now: number): Fact | undefined => {
        if (isOutdated(fleet, server)) {
            return undefined;
        }
        heardAt.set(server.serverId, now);
        const record = fleet.server(server.serverId);
        const isAgreed = record !== undefined && sameProcess(record, server) && record.slots === server.slots
            && !record.silent && record.keeper === cfg.stateHostId
            && (record.state === ServingState.Draining || record.state === server.state);
        return isAgreed ? undefined : { kind: FactKind.Server, server, keeper: cfg.stateHostId, at: cfg.wallClock() };
    };

    const left = (fleet: FleetMachine, serverId: string, bornAt: number | undefined): Fact | undefined => {
        const record = fleet.server(serverId);
        const isMeant = record !== undefined && (bornAt === undefined || bornAt === record.bornAt);
        heardAt.delete(serverId);
        return isMeant && record.state !== ServingState.Departed ? { kind: FactKind.ServerLeft, serverId, bornAt } : undefined;
    };

    const silenceOf = (record: FleetServer, now: number): Fact | undefined => {
        if (record.keeper !== cfg.stateHostId || record.state === ServingState.Departed) {
            return undefined;
        }
        const { serverId, bornAt } = record;
        const lastHeardAt = heardAt.get(serverId) ?? now;
        heardAt.set(serverId, lastHeardAt);
        if (now - lastHeardAt > forgetMs) {
            return { kind: FactKind.ServerLeft, serverId, bornAt };
        }
        const isSilent = now - lastHeardAt > silentBeats * cfg.heartbeatMs;
        return isSilent && !record.silent
            ? { kind: FactKind.ServerSilence, serverId, bornAt, silent: true, keeper: cfg.stateHostId }
            : undefined;
    };

    const isAgreedHost = (record: FleetHost | undefined, host: HostAnnouncement): boolean =>
        record?.startedAt === host.startedAt && record.state === host.state && record.keeper === cfg.stateHostId
        && record.address === host.address;

    const goneHost = (record: FleetHost, now: number): Fact | undefined => {
        const isMine = record.keeper === cfg.stateHostId && record.state !== HostPhase.Departed;
        if (!isMine || hosts.has(record.hostId) || record.hostId === cfg.stateHostId) {
            return undefined;
        }
        const since = detachedAt.get(record.hostId) ?? now;
        detachedAt.set(record.hostId, since);
        if (now - since < detachMs) {
            return undefined;
        }
        const { hostId, role, address, availabilityZone, region, startedAt } = record;
        const host = { hostId, role, address, availabilityZone, region, startedAt, state: HostPhase.Departed };
        return { kind: FactKind.Host, host, keeper: cfg.stateHostId };
    };

    const isFact = (fact: Fact | undefined): fact is Fact => fact !== undefined;

    const missing = (fleet: FleetMachine, now: number): Fact[] => {
        const changedHosts = [...hosts.values()].filter(host => !isAgreedHost(fleet.host(host.hostId), host));
        return [
            ...changedHosts.map((host): Fact => ({ kind: FactKind.Host, host, keeper: cfg.stateHostId })),
            ...[...fleet.hosts()].map(record => goneHost(record, now)).filter(isFact),
            ...[...fleet.servers()].map(record => silenceOf(record, now)).filter(isFact),
        ];
    };

    return {
        announced,
        left,
        attached: host => {
            hosts.set(host.hostId, host);
            detachedAt.delete(host.hostId);
        },
        detached: (hostId, now) => {
            hosts.delete(hostId);
            detachedAt.set(hostId, now);
        },
        missing,
    };
};
