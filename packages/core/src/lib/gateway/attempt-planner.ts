/** Decides for each attempt of a request whether it goes to a backend server directly or through another entry host. */
import { Repeatability } from "./gateway-config.js";
import type { PathMonitor } from "./path-monitor.js";
import type { EntryPeer, PeerSelector } from "./peer-selector.js";
import type { ServerChoice, ServerPool } from "./server-pool-types.js";

/** What earlier attempts of a request have used. */
export interface AttemptHistory {
    /** Numbers of the servers that were tried. */
    servers: ReadonlySet<number>;
    /** Addresses of the entry hosts that were asked. */
    peers: ReadonlySet<string>;
    attemptCount: number;
}

/** The next attempt. */
export type AttemptPlan =
    | { kind: "direct"; choice: ServerChoice; }
    | { kind: "forward"; peer: EntryPeer; }
    /** Neither a server nor another entry host takes the request. */
    | { kind: "none"; };

/** Dependencies of {@link planAttempt}. */
export interface AttemptPlanDependencies {
    pool: Pick<ServerPool, "choose">;
    path: Pick<PathMonitor, "isServiceLost">;
    peers: Pick<PeerSelector, "choose">;
}

/** While the path is lost, a server that is likelier than this to be unhealthy is no reason not to ask another host. */
const maxReachedFailureProbability = 0.5;

/** Whether a server that can be reached while others can't is worth an attempt. */
const isWorthAttempt = ({ server, load, failureProbability }: ServerChoice): boolean =>
    load < server.slots && failureProbability <= maxReachedFailureProbability;

/**
 * Plans an attempt of a request to `service`. While the path is lost, a server that can be reached, has a free slot and is likely
 * healthy gets a first attempt; others go through another host, which has the choice of all servers.
 */
export const planAttempt = (
    service: string,
    repeatability: Repeatability,
    history: AttemptHistory,
    { pool, path, peers }: AttemptPlanDependencies,
    now: number,
): AttemptPlan => {
    // A further attempt is mostly the last one, so its server has to be as sure as that of a request that is sent only once.
    const choice = pool.choose(
        service,
        history.attemptCount === 0 ? repeatability : Repeatability.AtMostOnce,
        history.servers,
        now,
    );
    const isLost = path.isServiceLost(service);
    if (choice !== undefined && (!isLost || (history.attemptCount === 0 && isWorthAttempt(choice)))) {
        return { kind: "direct", choice };
    }
    const peer = isLost ? peers.choose(service, history.peers, now) : undefined;
    if (peer !== undefined) {
        return { kind: "forward", peer };
    }
    return choice === undefined ? { kind: "none" } : { kind: "direct", choice };
};
