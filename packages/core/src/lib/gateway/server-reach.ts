/**
 * Tells the loss of an entry host's own network path to backend servers from failures of single servers.
 *
 * A server that accepts no connection has probably failed. When several servers accept none and no other does, the path from
 * this host is lost and the servers may be healthy: requests then need another entry host, and the failures say nothing about
 * the servers. So a failed connection is evidence only once another connection has succeeded.
 *
 * Pattern: a circuit breaker for each service. The first server that accepts a connection again makes a lost path half-open:
 * requests use it, and a single failure closes it again. Servers that were reached all along do not restore a path, so a path that
 * is lost in part stays lost, with those servers in use.
 */
import { countRecent, createReachPath, PathState, requiredServers } from "./reach-path.js";
import type { ReachPath } from "./reach-path.js";

/** A server to which a connection was tried. */
export interface ReachTarget {
    /** Number of the server's record. */
    number: number;
    service: string;
}

/** A failed connection that is the server's fault as far as this host can tell. */
export interface ConnectFailure {
    /** Number of the server's record. */
    number: number;
    /** Whether other hosts should learn of it; not while many servers are out of this host's reach, as its path may be at fault. */
    isShared: boolean;
}

/** What the connections of one entry host show about its path to servers. Times are in milliseconds of the host's clock. */
export interface ServerReach {
    /** Records an established connection; returns the earlier failures that it confirms as evidence against their servers. */
    connected(target: ReachTarget, now: number): ConnectFailure[];
    /** Records that no connection was established. */
    notConnected(target: ReachTarget, now: number): void;
    /** Whether the path to the servers of `service` is lost, entirely or in part. */
    isServiceLost(service: string): boolean;
    /** Whether the path to all servers is lost. */
    isHostLost(): boolean;
    /** Whether the server may be sent requests directly: its path is not lost, or half-open, or it has accepted a connection since the loss. */
    isReachable(target: ReachTarget): boolean;
    /** Whether a connection to the server would show if its path has returned. */
    isTrialUseful(target: ReachTarget): boolean;
    /** The services whose path is lost; `undefined` among them stands for the path to all servers. */
    lostServices(): (string | undefined)[];
}

/** Options of {@link createServerReach}. */
export interface ServerReachCfg {
    /** Number of servers of a service, or of all services, that take requests. */
    serverCount: (service?: string) => number;
    /** Number of services that have such servers. */
    serviceCount: () => number;
}

/** Services of which a server must accept no connection for all paths to count as lost, or all services if there are fewer. */
const minDistinctServices = 3;
/** With as many servers out of reach, a host's path may be at fault, and it reports none of them. */
const minUnreachedServers = 3;
/** Paths that were lost within this time of each other are tried together once one of them is reached, in milliseconds. */
const commonLossMs = 10_000;

/** Creates the record of a host that has not connected to any server yet. */
export const createServerReach = (cfg: ServerReachCfg): ServerReach => {
    const servicePaths = new Map<string, ReachPath>();
    /** Servers of services whose path was not lost that accepted no connection since the latest success, with the time of the failure. */
    const hostFailures = new Map<number, number>();
    const serviceByFailure = new Map<number, string>();
    /** Servers that accepted a connection since the path to all servers was lost; `undefined` while it is not. */
    let reachedSinceHostLoss: Set<number> | undefined;
    /** Servers that accepted no connection at their latest attempt, with its time. */
    const unreachedAt = new Map<number, number>();
    /** Servers whose failed connection awaits a success elsewhere. */
    const unconfirmed = new Set<number>();

    const servicePath = (service: string): ReachPath => {
        const path = servicePaths.get(service) ?? createReachPath();
        servicePaths.set(service, path);
        return path;
    };

    const isHostLost = (): boolean => reachedSinceHostLoss !== undefined;
    const isLost = (service: string): boolean => isHostLost() || servicePaths.get(service)?.isLost() === true;

    /** Whether servers of several services accept no connection, and no other server does. */
    const areServicesUnreached = (now: number): boolean => {
        const serverCount = cfg.serverCount();
        if (serverCount === 0 || countRecent(hostFailures, now) < requiredServers(serverCount)) {
            return false;
        }
        const services = new Set([...hostFailures.keys()].map(number => serviceByFailure.get(number)));
        return services.size >= Math.min(minDistinctServices, cfg.serviceCount());
    };

    /** Whether no server of any service accepts connections. */
    const areAllPathsClosed = (): boolean => {
        const closed = [...servicePaths].filter(([, path]) => path.state() === PathState.Lost && path.reachedCount() === 0);
        const closedServers = closed.reduce((sum, [service]) => sum + cfg.serverCount(service), 0);
        return closedServers > 0 && closedServers >= cfg.serverCount();
    };

    /** Makes the paths half-open that were lost together with `path`, as they have probably returned together. */
    const openTogether = (path: ReachPath): void =>
        servicePaths.forEach(other => {
            if (Math.abs(other.lostAt() - path.lostAt()) <= commonLossMs) {
                other.halfOpen();
            }
        });

    const recordHostFailure = ({ number, service }: ReachTarget, wasServiceLost: boolean, now: number): void => {
        // Failures of a path that is lost already say nothing about the other services.
        if (!wasServiceLost) {
            hostFailures.set(number, now);
            serviceByFailure.set(number, service);
        }
        if (!isHostLost() && (areServicesUnreached(now) || areAllPathsClosed())) {
            reachedSinceHostLoss = new Set();
        }
        else if (isHostLost() && areAllPathsClosed()) {
            reachedSinceHostLoss?.clear();
        }
        reachedSinceHostLoss?.delete(number);
    };

    const recordHostSuccess = (number: number): void => {
        hostFailures.clear();
        serviceByFailure.clear();
        if (reachedSinceHostLoss === undefined) {
            return;
        }
        if (reachedSinceHostLoss.size === 0) {
            // What cut off all services has probably ended for all of them.
            servicePaths.forEach(path => path.halfOpen());
        }
        reachedSinceHostLoss.add(number);
        if (reachedSinceHostLoss.size >= requiredServers(cfg.serverCount())) {
            reachedSinceHostLoss = undefined;
        }
    };

    return {
        connected: ({ number, service }, now) => {
            unreachedAt.delete(number);
            unconfirmed.delete(number);
            const path = servicePath(service);
            const isHalfOpened = path.connected(number, cfg.serverCount(service), now);
            if (isHalfOpened) {
                openTogether(path);
            }
            recordHostSuccess(number);
            const isShared = !isHostLost() && countRecent(unreachedAt, now) < minUnreachedServers;
            const confirmed = [...unconfirmed].map(failed => ({ number: failed, isShared }));
            unconfirmed.clear();
            return confirmed;
        },
        notConnected: (target, now) => {
            const { number, service } = target;
            unreachedAt.set(number, now);
            unconfirmed.add(number);
            const path = servicePath(service);
            const wasServiceLost = path.isLost();
            path.notConnected(number, cfg.serverCount(service), now);
            recordHostFailure(target, wasServiceLost, now);
            if (isLost(service)) {
                unconfirmed.clear();
            }
        },
        isServiceLost: isLost,
        isHostLost,
        isReachable: ({ number, service }) =>
            reachedSinceHostLoss?.size !== 0 && (servicePaths.get(service)?.isReachable(number) ?? true),
        isTrialUseful: ({ number, service }) =>
            isLost(service) && !(servicePaths.get(service)?.hasReached(number) ?? false)
            && reachedSinceHostLoss?.has(number) !== true,
        lostServices: () => {
            const services = [...servicePaths].filter(([, path]) => path.isLost()).map(([service]) => service);
            return isHostLost() ? [undefined, ...services] : services;
        },
    };
};
