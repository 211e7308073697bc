/** Defines what the request flow needs from the other modules of an entry host. */
import type { HostInfo } from "../membership/host-record.js";
import type { EntryAction, RequestInfo, StoredAnswer } from "./entry-messages.js";
import type { PoolController, PoolResult } from "./pool-controller.js";
import type { PoolSet } from "./pool-set.js";
import type { RequestTurns } from "./request-turns.js";
import type { RouteTable } from "./route-table.js";

/** The outcome of a keyed non-idempotent request, which its claim records. */
export type ClaimOutcome =
    | { kind: "completed"; answer?: StoredAnswer; }
    | { kind: "not-run"; }
    | { kind: "unknown"; };

/** Functions of the entry host that the request flow calls. */
export interface RequestFlowDependencies {
    routes(): RouteTable;
    pools: PoolSet;
    /** Returns the hosts that may serve the service for this region, best first; this host may be among them. */
    candidateHosts(service: string): HostInfo[];
    /** Applies the result of a pool event. */
    applyPool(pool: PoolController, result: PoolResult, now: number): EntryAction[];
    /** Sends a copy of an idempotent request as a probe, when one is pending. */
    probeWithRequest(pool: PoolController, requestId: string): EntryAction[];
    /** Requests the claim of a keyed request; the result arrives through `claimGranted` or `closeSettled`. */
    requestClaim(info: RequestInfo, now: number): EntryAction[];
    endClaim(requestId: string, outcome: ClaimOutcome, now: number): EntryAction[];
    /** The order of attempts at requests that may end servers. */
    turns: RequestTurns;
}
