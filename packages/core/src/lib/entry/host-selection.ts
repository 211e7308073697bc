/** Selects the host that serves a request: this one or another one that it is forwarded to. */
import type { HostInfo } from "../membership/host-record.js";
import { EntryActionKind } from "./entry-messages.js";
import type { EntryAction } from "./entry-messages.js";
import type { OpenRequest } from "./request-registry.js";

export enum HostSelectionKind {
    Local = "local",
    Remote = "remote",
    None = "none",
}

export type HostSelection =
    | { kind: HostSelectionKind.Local; }
    | { kind: HostSelectionKind.Remote; host: HostInfo; }
    | { kind: HostSelectionKind.None; };

/** Options of {@link selectHost}. */
export interface HostSelectionInput {
    hostId: string;
    /** Whether this host knows backend servers of the service. */
    canServe: boolean;
    /** Hosts that may serve the request, best first. */
    candidates: HostInfo[];
}

/** Number of hosts that a request may visit before it is refused. */
const maxHops = 3;

/** Selects the next host. A forwarded request is served on the host that receives it, if that host can serve it. */
export const selectHost = (request: OpenRequest, input: HostSelectionInput): HostSelection => {
    const { hostId, canServe, candidates } = input;
    if (canServe && request.info.visited.length > 0) {
        return { kind: HostSelectionKind.Local };
    }
    const visited = new Set([...request.info.visited, ...request.forwardedToHostIds]);
    const next = candidates.find(host => !visited.has(host.hostId) && (host.hostId !== hostId || canServe));
    if (canServe && (next === undefined || next.hostId === hostId)) {
        return { kind: HostSelectionKind.Local };
    }
    return next === undefined || visited.size >= maxHops
        ? { kind: HostSelectionKind.None }
        : { kind: HostSelectionKind.Remote, host: next };
};

/** Returns the action that forwards a request to `host`. */
export const forwardAction = (request: OpenRequest, hostId: string, host: HostInfo): EntryAction => ({
    kind: EntryActionKind.Forward,
    requestId: request.info.requestId,
    hostId: host.hostId,
    host: host.callerHost,
    port: host.callerPort,
    deadlineAt: request.info.deadlineAt,
    visited: [...request.info.visited, hostId],
});
