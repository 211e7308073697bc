/** Whether a request is served on this host or passed on to another one. */
import type { HostInfo } from "../membership/host-record.js";
import { EntryActionKind } from "./entry-messages.js";
import type { EntryAction } from "./entry-messages.js";
import type { OpenRequest } from "./request-book.js";

export enum HostChoiceKind {
    Here = "here",
    There = "there",
    Nobody = "nobody",
}

export type HostChoice =
    | { kind: HostChoiceKind.Here; }
    | { kind: HostChoiceKind.There; host: HostInfo; }
    | { kind: HostChoiceKind.Nobody; };

/** Options of {@link chooseHost}. */
export interface HostChoiceInput {
    hostId: string;
    /** Whether this host knows members of the service. */
    canServe: boolean;
    /** Hosts that may serve it, best first. */
    candidates: HostInfo[];
}

/** Times that a request may be passed from host to host. */
const maxHops = 3;

/** Chooses the next host. A request that was passed on is served where it arrives, if that is possible at all. */
export const chooseHost = (request: OpenRequest, input: HostChoiceInput): HostChoice => {
    const { hostId, canServe, candidates } = input;
    if (canServe && request.info.visited.length > 0) {
        return { kind: HostChoiceKind.Here };
    }
    const visited = new Set([...request.info.visited, ...request.forwardedTo]);
    const next = candidates.find(host => !visited.has(host.hostId) && (host.hostId !== hostId || canServe));
    if (canServe && (next === undefined || next.hostId === hostId)) {
        return { kind: HostChoiceKind.Here };
    }
    return next === undefined || visited.size >= maxHops
        ? { kind: HostChoiceKind.Nobody }
        : { kind: HostChoiceKind.There, host: next };
};

/** The action that passes a request on. */
export const forwardTo = (request: OpenRequest, hostId: string, host: HostInfo): EntryAction => ({
    kind: EntryActionKind.Forward,
    requestId: request.info.requestId,
    hostId: host.hostId,
    host: host.callerHost,
    port: host.callerPort,
    deadlineAt: request.info.deadlineAt,
    visited: [...request.info.visited, hostId],
});
