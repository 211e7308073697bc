/**
 * Tells the loss of an entry host's own network path to backend servers from failures of single servers.
 *
 * A server that accepts no connection has probably failed. When several servers accept none and no other does, the path from
 * this host is lost and the servers may be healthy: requests then need another entry host, and the failures say nothing about
 * the servers. So a failed connection is evidence only once another connection has succeeded.
 */

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
    /** Whether the path to the servers of `service` is lost. */
    isServiceLost(service: string): boolean;
    /** Whether the path to all servers is lost. */
    isHostLost(): boolean;
    /** Whether the server may be sent requests directly: its path is not lost, or it has accepted a connection since the loss. */
    isReachable(target: ReachTarget): boolean;
    /** The services whose path is lost; `undefined` stands for all of them. */
    lostServices(): (string | undefined)[];
}

/** Options of {@link createServerReach}. */
export interface ServerReachCfg {
    /** Number of servers of a service, or of all services, that take requests. */
    serverCount: (service?: string) => number;
}

/** Distinct servers that must refuse connections, and accept them again, for a path to count as lost, and as restored. */
const minDistinctServers = 3;
/** A failed connection counts for this long, in milliseconds. */
const failureWindowMs = 5000;

/** The path to the servers of one service, or to all servers. */
interface Path {
    isLost: boolean;
    /** Servers that accepted no connection since the latest success, with the time of the failure. */
    failedAt: Map<number, number>;
    /** Servers that accepted a connection since the loss. */
    reached: Set<number>;
    /** Servers that accepted a connection since the latest failure. */
    reachedSinceFailure: Set<number>;
}

const createPath = (): Path => ({ isLost: false, failedAt: new Map(), reached: new Set(), reachedSinceFailure: new Set() });

const removeExpired = (failedAt: Map<number, number>, now: number): void => {
    for (const [number, at] of failedAt) {
        if (now - at > failureWindowMs) {
            failedAt.delete(number);
        }
    }
};

const recordSuccess = (path: Path, number: number, requiredServers: () => number): void => {
    path.failedAt.clear();
    if (!path.isLost) {
        return;
    }
    path.reached.add(number);
    path.reachedSinceFailure.add(number);
    path.isLost = path.reachedSinceFailure.size < requiredServers();
};

const recordFailure = (path: Path, number: number, requiredServers: () => number, now: number): void => {
    removeExpired(path.failedAt, now);
    path.failedAt.set(number, now);
    path.reached.delete(number);
    path.reachedSinceFailure.clear();
    if (!path.isLost && path.failedAt.size >= requiredServers()) {
        path.isLost = true;
        path.reached.clear();
    }
};

/** Creates the record of a host that has not connected to any server yet. */
export const createServerReach = (cfg: ServerReachCfg): ServerReach => {
    const hostPath = createPath();
    const servicePaths = new Map<string, Path>();
    /** Servers that accepted no connection at their latest attempt, with its time. */
    const unreachedAt = new Map<number, number>();
    /** Servers whose failed connection awaits a success elsewhere. */
    const unconfirmed = new Set<number>();

    const servicePath = (service: string): Path => {
        const path = servicePaths.get(service) ?? createPath();
        servicePaths.set(service, path);
        return path;
    };

    const requiredServers = (service?: string) => (): number =>
        Math.max(1, Math.min(minDistinctServers, cfg.serverCount(service)));

    const isLost = (service: string): boolean => hostPath.isLost || servicePaths.get(service)?.isLost === true;

    return {
        connected: ({ number, service }, now) => {
            unreachedAt.delete(number);
            unconfirmed.delete(number);
            recordSuccess(hostPath, number, requiredServers());
            recordSuccess(servicePath(service), number, requiredServers(service));
            removeExpired(unreachedAt, now);
            const isShared = !hostPath.isLost && unreachedAt.size < minDistinctServers;
            const confirmed = [...unconfirmed].map(failed => ({ number: failed, isShared }));
            unconfirmed.clear();
            return confirmed;
        },
        notConnected: ({ number, service }, now) => {
            unreachedAt.set(number, now);
            unconfirmed.add(number);
            recordFailure(hostPath, number, requiredServers(), now);
            recordFailure(servicePath(service), number, requiredServers(service), now);
            if (isLost(service)) {
                unconfirmed.clear();
            }
        },
        isServiceLost: isLost,
        isHostLost: () => hostPath.isLost,
        isReachable: ({ number, service }) =>
            (!hostPath.isLost || hostPath.reached.has(number))
            && (servicePaths.get(service)?.isLost !== true || servicePath(service).reached.has(number)),
        lostServices: () => {
            if (hostPath.isLost) {
                return [undefined];
            }
            return [...servicePaths].filter(([, path]) => path.isLost).map(([service]) => service);
        },
    };
};
