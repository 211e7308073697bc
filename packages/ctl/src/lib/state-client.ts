/** Sends requests to the state hosts: to one after another until one gives a final reply, or to all at once. */
import { StateReplyKind } from "@cassiapick/core";
import type { StateReply, StateRequest } from "@cassiapick/core";
import type { PeerAddress } from "@cassiapick/operations";
import { createRpcClient } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";
import { isStateReply } from "./state-reply.js";

const channel = "state";
const connectTimeoutMs = 2000;
/** Timeout of one call as a fraction of the whole timeout, so that an unresponsive host leaves time for the others. */
const callTimeoutFraction = 0.25;
/** Least delay between two rounds over the hosts; a host that reports another leader causes a new round at once. */
const minRetryDelayMs = 200;

/** Options of {@link createStateClient}. */
export interface StateClientOptions {
    hosts: PeerAddress[];
    token: string;
    /**
     * Approximate timeout of one request over all hosts and retries, in milliseconds: the last call may exceed it by the time
     * spent waiting for the connection.
     */
    timeoutMs: number;
}

/** The last failure of a request at one host. */
export interface HostFailure {
    hostId: string;
    message: string;
}

/** The final reply and the host that sent it, or the last failure at each host if the timeout expired first. */
export type StateRequestResult = { ok: true; hostId: string; reply: StateReply; } | { ok: false; failures: HostFailure[]; };

/** A client of all state hosts. */
export interface StateClient {
    /**
     * Sends the same request to one host after the other until one gives a final reply, which is any but
     * {@link StateReplyKind.NotLeader} and {@link StateReplyKind.Unavailable}, or the timeout expires.
     */
    send(request: StateRequest): Promise<StateRequestResult>;
    /** Sends a request to every host once, in parallel. */
    sendToAll(request: StateRequest): Promise<Array<{ hostId: string; reply?: StateReply; message?: string; }>>;
    close(): void;
}

interface Connection {
    host: PeerAddress;
    client: RpcClient;
    connected: Promise<void>;
    /** Whether a connection was ever established: a host that then closes it usually rejects the token. */
    hasConnected: () => boolean;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const connect = (host: PeerAddress, token: string): Connection => {
    let markConnected: () => void = () => undefined;
    let hasConnected = false;
    const connected = new Promise<void>(resolve => {
        markConnected = () => {
            hasConnected = true;
            resolve();
        };
    });
    const client = createRpcClient({
        host: host.host,
        port: host.port,
        // All operators use this id; it names no host.
        hostId: "operator",
        token,
        onConnect: () => markConnected(),
    });
    return { host, client, connected, hasConnected: () => hasConnected };
};

type CallResult = { ok: true; reply: StateReply; } | { ok: false; message: string; };

const callHost = async (connection: Connection, request: StateRequest, timeoutMs: number): Promise<CallResult> => {
    await Promise.race([connection.connected, sleep(Math.min(connectTimeoutMs, timeoutMs))]);
    const result = await connection.client.call(channel, request, timeoutMs);
    if (!result.ok) {
        // Any error but a timeout means that there is no connection, or that it closed before the reply arrived.
        const isClosedByHost = result.err.kind !== "timeout" && connection.hasConnected();
        const hint = isClosedByHost ? " It closes connections: compare the token files of both sides." : "";
        return { ok: false, message: `${result.err.message}${hint}` };
    }
    if (!isStateReply(result.body)) {
        return {
            ok: false,
            message: "This version of cassiapick does not know the reply. Run the same version on both sides.",
        };
    }
    return { ok: true, reply: result.body };
};

/** Creates a client and connects to all state hosts. The caller must close it. */
export const createStateClient = (options: StateClientOptions): StateClient => {
    const connections = options.hosts.map(host => connect(host, options.token));

    /** Returns all connections, the leader's first. */
    const leaderFirst = (leaderId: string | undefined): Connection[] => [
        ...connections.filter(({ host }) => host.hostId === leaderId),
        ...connections.filter(({ host }) => host.hostId !== leaderId),
    ];

    const send = async (request: StateRequest): Promise<StateRequestResult> => {
        const deadline = Date.now() + options.timeoutMs;
        const failures = new Map<string, string>();
        let leaderId: string | undefined;
        while (Date.now() < deadline) {
            let retryDelayMs = minRetryDelayMs;
            for (const connection of leaderFirst(leaderId)) {
                const remainingMs = deadline - Date.now();
                if (remainingMs <= 0) {
                    break;
                }
                const result = await callHost(
                    connection,
                    request,
                    Math.min(remainingMs, options.timeoutMs * callTimeoutFraction),
                );
                const hostId = connection.host.hostId;
                if (!result.ok) {
                    failures.set(hostId, result.message);
                    continue;
                }
                const { reply } = result;
                if (reply.kind === StateReplyKind.NotLeader) {
                    failures.set(hostId, reply.message);
                    if (reply.leaderId !== undefined && reply.leaderId !== leaderId) {
                        leaderId = reply.leaderId;
                        retryDelayMs = 0;
                        break;
                    }
                    continue;
                }
                if (reply.kind === StateReplyKind.Unavailable) {
                    failures.set(hostId, reply.message);
                    retryDelayMs = Math.max(retryDelayMs, reply.retryAfterMs);
                    continue;
                }
                return { ok: true, hostId, reply };
            }
            await sleep(Math.max(0, Math.min(retryDelayMs, deadline - Date.now())));
        }
        return { ok: false, failures: [...failures].map(([hostId, message]) => ({ hostId, message })) };
    };

    const sendToAll: StateClient["sendToAll"] = request =>
        Promise.all(connections.map(async connection => {
            const result = await callHost(connection, request, options.timeoutMs);
            const hostId = connection.host.hostId;
            return result.ok ? { hostId, reply: result.reply } : { hostId, message: result.message };
        }));

    const close = (): void => {
        for (const { client } of connections) {
            client.close();
        }
    };

    return { send, sendToAll, close };
};
