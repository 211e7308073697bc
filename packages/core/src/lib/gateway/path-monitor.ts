/**
 * Watches the path from an entry host to the backend servers. When a connection fails or takes long, it connects to a few other
 * servers to find out whether the server or the path is at fault, and while a path is lost it tries servers until they accept
 * connections again. These trial connections carry no request, so a budget bounds them.
 */
import type { FleetServer } from "../fleet/facts.js";
import type { Random } from "../random.js";
import { createServerReach } from "./server-reach.js";
import type { ConnectFailure, ReachTarget } from "./server-reach.js";
import { createTrialBudget } from "./trial-budget.js";

/** Options of {@link createPathMonitor}. */
export interface PathMonitorCfg {
    /** The servers of a service, or of all services, that may get requests. */
    servers: (service?: string) => readonly FleetServer[];
    /** Opens and closes a connection; calls `onEnd` once, with whether it was established within `timeoutMs`. */
    tryConnect: (server: FleetServer, timeoutMs: number, onEnd: (isConnected: boolean) => void) => void;
    random: Random;
    /** Time in milliseconds of the host's clock. */
    clock: () => number;
    /** Called with failed connections that have become evidence of unhealthy servers. */
    onFailuresConfirmed: (failures: readonly ConnectFailure[]) => void;
    /** Called when the path to a service, or to all servers if `service` is `undefined`, is lost or restored. */
    onPathChanged: (change: PathChange) => void;
}

/** The loss or the return of a path. */
export interface PathChange {
    service: string | undefined;
    isLost: boolean;
    /** Time since the first of the current losses, in milliseconds. */
    lostForMs: number;
}

/** The path to the servers. */
export interface PathMonitor {
    connected(server: ReachTarget): void;
    notConnected(server: ReachTarget): void;
    /**
     * Connects to a few servers of `service`, and to another one, to find out whether the path is lost, unless a connection to
     * the service was established since `connectStartedAt`, by default now.
     */
    check(service: string, connectStartedAt?: number): void;
    /** Tries servers whose path is lost, if it is time; to be called at least each 100 ms. */
    tick(): void;
    isServiceLost(service: string): boolean;
    isHostLost(): boolean;
    /** Whether the server may be sent requests directly. */
    isReachable(server: ReachTarget): boolean;
}

/** Timeout of a trial connection, in milliseconds: several round trips between regions. */
const trialTimeoutMs = 250;
/** A failed connection leads to a check unless another one succeeds within this time, in milliseconds. */
const checkDelayMs = 100;
/** Shortest time between two checks of the same service, in milliseconds. */
const checkIntervalMs = 400;
/** After a trial that succeeded, slow connections lead to no check for this long unless one fails, in milliseconds. */
const trustMs = 10_000;
/** Trial connections of one check: to servers of the service, and to servers of other services. */
const trialsPerCheck = { service: 2, others: 1 } as const;
/** While a path is lost, servers are tried at intervals from the shortest to the longest one, in milliseconds. */
const shortestTrialIntervalMs = 300;
const longestTrialIntervalMs = 1500;
/** The interval between trials, as a fraction of the time since the loss or the latest trial that succeeded. */
const trialIntervalFraction = 0.25;

/** Creates the monitor of one host. */
export const createPathMonitor = (cfg: PathMonitorCfg): PathMonitor => {
    const { clock, random } = cfg;
    const reach = createServerReach({
        serverCount: service => cfg.servers(service).length,
        serviceCount: () => new Set(cfg.servers().map(({ service }) => service)).size,
    });
    const budget = createTrialBudget();
    const checkedAt = new Map<string, number>();
    /** Until when slow connections are not taken for a sign of a lost path. */
    let trustedUntil = -Infinity;
    const connectedAt = new Map<string, number>();
    /** Services to be checked because of a failed connection, with the time of the failure. */
    const failedAt = new Map<string, number>();
    const openTrials = new Set<number>();
    let lostServices = new Set<string | undefined>();
    let lostAt = 0;
    /** When the trials of the current loss began, or a server was reached last that had not been reached before. */
    let pacedFrom = 0;
    let lastTrialAt = -Infinity;
    /** When servers were tried during the current losses. */
    const triedAt = new Map<number, number>();

    const announceChanges = (): void => {
        const now = clock();
        const previous = lostServices;
        lostServices = new Set(reach.lostServices());
        if (previous.size === 0) {
            lostAt = now;
            pacedFrom = now;
        }
        const changed = [...new Set([...previous, ...lostServices])]
            .filter(service => previous.has(service) !== lostServices.has(service));
        for (const service of changed) {
            cfg.onPathChanged({ service, isLost: lostServices.has(service), lostForMs: now - lostAt });
        }
    };

    const connected = (server: ReachTarget): void => {
        connectedAt.set(server.service, clock());
        const failures = reach.connected(server, clock());
        announceChanges();
        if (failures.length > 0) {
            cfg.onFailuresConfirmed(failures);
        }
    };

    const recordFailure = (server: ReachTarget): void => {
        trustedUntil = -Infinity;
        reach.notConnected(server, clock());
        announceChanges();
    };

    const startTrial = (server: FleetServer): void => {
        if (!budget.tryTake(clock())) {
            return;
        }
        openTrials.add(server.number);
        triedAt.set(server.number, clock());
        cfg.tryConnect(server, trialTimeoutMs, isConnected => {
            openTrials.delete(server.number);
            if (isConnected) {
                // The others are tried soon, so that a path that has returned is used again.
                pacedFrom = clock();
                trustedUntil = clock() + trustMs;
                connected(server);
            }
            else {
                recordFailure(server);
            }
        });
    };

    /** Picks servers at random among those that are not being tried. */
    const pick = (candidates: readonly FleetServer[], count: number): FleetServer[] => {
        const remaining = candidates.filter(({ number }) => !openTrials.has(number));
        const picked: FleetServer[] = [];
        while (picked.length < count && remaining.length > 0) {
            picked.push(...remaining.splice(random.below(remaining.length), 1));
        }
        return picked;
    };

    /** Tries one server of each lost service, or of any if all are lost; in random order, as the budget may not last for all of them. */
    const tryLostServices = (): void => {
        const remaining = reach.isHostLost() ? [undefined] : [...lostServices];
        while (remaining.length > 0) {
            const [service] = remaining.splice(random.below(remaining.length), 1);
            const candidates = cfg.servers(service).filter(server =>
                reach.isTrialUseful(server) && !openTrials.has(server.number)
            );
            const earliestTrialAt = Math.min(...candidates.map(({ number }) => triedAt.get(number) ?? -Infinity));
            pick(candidates.filter(({ number }) => (triedAt.get(number) ?? -Infinity) === earliestTrialAt), 1).forEach(
                startTrial,
            );
        }
    };

    const hasConnectedSince = (service: string, since: number): boolean => (connectedAt.get(service) ?? -Infinity) > since;

    const startCheck = (service: string): void => {
        const now = clock();
        if (reach.isServiceLost(service) || now - (checkedAt.get(service) ?? -Infinity) < checkIntervalMs) {
            return;
        }
        checkedAt.set(service, now);
        const others = cfg.servers().filter(server => server.service !== service);
        [...pick(cfg.servers(service), trialsPerCheck.service), ...pick(others, trialsPerCheck.others)].forEach(startTrial);
    };

    const checkFailedServices = (): void => {
        const now = clock();
        for (const [service, at] of failedAt) {
            if (now - at >= checkDelayMs) {
                failedAt.delete(service);
                if (!hasConnectedSince(service, at)) {
                    startCheck(service);
                }
            }
        }
    };

    const tick = (): void => {
        checkFailedServices();
        if (lostServices.size === 0) {
            triedAt.clear();
            return;
        }
        const now = clock();
        const intervalMs = Math.min(
            longestTrialIntervalMs,
            Math.max(shortestTrialIntervalMs, trialIntervalFraction * (now - pacedFrom)),
        );
        if (now - lastTrialAt >= intervalMs) {
            lastTrialAt = now;
            tryLostServices();
        }
    };

    return {
        connected,
        notConnected: server => {
            recordFailure(server);
            if (!failedAt.has(server.service)) {
                failedAt.set(server.service, clock());
            }
        },
        check: (service, connectStartedAt = clock()) => {
            if (clock() >= trustedUntil && !hasConnectedSince(service, connectStartedAt)) {
                startCheck(service);
            }
        },
        tick,
        isServiceLost: service => reach.isServiceLost(service),
        isHostLost: () => reach.isHostLost(),
        isReachable: server => reach.isReachable(server),
    };
};
