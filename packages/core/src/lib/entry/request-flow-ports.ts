/** What the flow of requests asks of the rest of the host. */
import type { HostInfo } from "../membership/host-record.js";
import type { EntryAction, RequestInfo, StoredAnswer } from "./entry-messages.js";
import type { PoolNode, PoolResult } from "./pool-node.js";
import type { PoolSet } from "./pool-set.js";
import type { RouteTable } from "./route-table.js";

/** How a keyed non-idempotent request ended, for its claim. */
export type ClaimEnd =
    | { kind: "completed"; answer?: StoredAnswer; }
    | { kind: "not-run"; }
    | { kind: "unknown"; };

/** What the flow asks of the rest of the host. */
export interface RequestFlowPorts {
    routes(): RouteTable;
    pools: PoolSet;
    /** Hosts that may serve the service for this region, best first; this host may be among them. */
    candidates(service: string): HostInfo[];
    /** Carries out what an event of a pool led to. */
    applyPool(pool: PoolNode, result: PoolResult, now: number): EntryAction[];
    /** A probe that goes along with an idempotent request, when one is wanted. */
    probe(pool: PoolNode, requestId: string): EntryAction[];
    /** Asks for the claim of a keyed request; the answer comes back through `claimGranted` or `claimRefused`. */
    wantClaim(info: RequestInfo, now: number): EntryAction[];
    endClaim(requestId: string, end: ClaimEnd, now: number): EntryAction[];
}
