/**
 * Divides the limits that backend servers name among entry hosts.
 *
 * A server's limit holds for the whole fleet, and an entry host sends too few requests to divide it evenly among all hosts: a
 * hundred hosts that each allow one request exceed it. So a few hosts own parts of it, and the others send the server nothing.
 * All state hosts compute the same shares from the replicated state.
 */
import { HostPhase, HostRole } from "../fleet/facts.js";
import type { FleetHost, FleetServer } from "../fleet/facts.js";
import type { FleetMachine } from "../fleet/fleet-machine.js";
import { hash32 } from "../hash.js";

/** The part of one server's limit that an entry host may use. */
export interface LimitShare {
    /** Number of the server's record. */
    number: number;
    /** The limit of the server for the whole fleet, in requests a second. */
    limitPerS: number;
    /** Requests a second that this host may send; 0 if it owns no part. */
    ratePerS: number;
}

/**
 * Rate of the first owner of a limit near 0, in requests a second. Only an answer shows that the server takes more again, so
 * some requests must reach it.
 */
const minProbeRatePerS = 0.2;
/** Owners of a limit of 1 request a second, beyond the first one. */
const ownersPerUnit = 2;

/**
 * Number of owners of a limit. Each owner may send one request at once, besides its rate. With one owner and two more for each
 * request a second, the fleet sends at most `1 + 2 limit + t limit` requests in `t` seconds.
 */
const ownerCountForLimit = (limitPerS: number): number => 1 + Math.ceil(ownersPerUnit * limitPerS);

/** Returns the ids of the owners of a server's limit, by rendezvous hashing, so that a host that leaves moves only its own shares. */
const ownersOfLimit = (server: FleetServer, hostIds: readonly string[]): Set<string> => {
    const scored = hostIds.map(hostId => ({ hostId, score: hash32(`${server.serverId}\n${hostId}`) }));
    scored.sort((a, b) => b.score - a.score || (a.hostId < b.hostId ? -1 : 1));
    return new Set(scored.slice(0, ownerCountForLimit(server.limitPerS ?? 0)).map(({ hostId }) => hostId));
};

const isOwnerCandidate = (host: FleetHost): boolean => host.role === HostRole.Entry && host.state === HostPhase.Ready;

/** The shares of all entry hosts. */
export interface LimitShares {
    /** The shares of one host: a row for each server with a limit, also without a part of it. */
    of(hostId: string): LimitShare[];
}

/** Computes the shares from the replicated state. */
export const computeLimitShares = (fleet: Pick<FleetMachine, "hosts" | "limitedServers">): LimitShares => {
    const hostIds = [...fleet.hosts()].filter(isOwnerCandidate).map(host => host.hostId);
    const limits = fleet.limitedServers().map(server => {
        const limitPerS = server.limitPerS ?? 0;
        const owners = ownersOfLimit(server, hostIds);
        return {
            number: server.number,
            limitPerS,
            owners,
            ratePerS: Math.max(limitPerS, minProbeRatePerS) / Math.max(1, owners.size),
        };
    });
    return {
        of: hostId =>
            limits.map(({ number, limitPerS, owners, ratePerS }) => ({
                number,
                limitPerS,
                ratePerS: owners.has(hostId) ? ratePerS : 0,
            })),
    };
};
