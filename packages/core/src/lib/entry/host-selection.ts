/** Selects the host that serves a request: this one or another one that it is forwarded to. */
import type { HostInfo } from "../membership/host-record.js";
import { EntryActionKind } from "./entry-messages.js";
import type { EntryAction } from "./entry-messages.js";
import type { OpenRequest } from "./request-registry.js";

/** Where a request is served. */
export enum HostSelectionKind {
    /** On this host. */
    Local = "local",
    /** On another host, which the request is forwarded to. */
    Remote = "remote",
    /** Nowhere: no host can serve it, or the hop limit is reached. */
    None = "none",
}

/** The result of {@link selectHost}; `host` is the host that the request is forwarded to. */
export type HostSelection =
    | { kind: HostSelectionKind.Local; }
    | { kind: HostSelectionKind.Remote; host: HostInfo; }
    | { kind: HostSelectionKind.None; };

/** Options of {@link selectHost}. */
export interface HostSelectionInput {
    selfHostId: string;
    /** Whether this host holds the lease of a backend server of the service in its region that accepts new work. */
    canServe: boolean;
    /** Hosts that may serve the request, best first. */
    candidates: HostInfo[];
}

/**
 * A request is not forwarded again once this many hosts have forwarded it or received it from this one. This host may still
 * serve it.
 */
const maxHops = 3;

/** Selects the next host. A forwarded request is served on the host that receives it, if that host can serve it. */
export const selectHost = (request: OpenRequest, input: HostSelectionInput): HostSelection => {
    const { selfHostId, canServe, candidates } = input;
    if (canServe && request.info.visited.length > 0) {
        return { kind: HostSelectionKind.Local };
    }
    const visited = new Set([...request.info.visited, ...request.forwardedToHostIds]);
    const next = candidates.find(host => !visited.has(host.hostId) && (host.hostId !== selfHostId || canServe));
    if (canServe && (next === undefined || next.hostId === selfHostId)) {
        return { kind: HostSelectionKind.Local };
    }
    return next === undefined || visited.size >= maxHops
        ? { kind: HostSelectionKind.None }
        : { kind: HostSelectionKind.Remote, host: next };
};

/** Returns the action that forwards a request to `host`. */
export const forwardAction = (request: OpenRequest, selfHostId: string, host: HostInfo): EntryAction => ({
    kind: EntryActionKind.Forward,
    requestId: request.info.requestId,
    hostId: host.hostId,
    host: host.callerHost,
    port: host.callerPort,
    deadlineAt: request.info.deadlineAt,
    visited: [...request.info.visited, selfHostId],
});
