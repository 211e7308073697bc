/** Asks the state hosts, one after the other, until one answers. */
import { StateReplyKind } from "@cassiapick/core";
import type { StateReply, StateRequest } from "@cassiapick/core";
import type { PeerAddress } from "@cassiapick/operations";
import { createRpcClient } from "@cassiapick/wire";
import type { RpcClient } from "@cassiapick/wire";
import { isStateReply } from "./state-reply.js";

const channel = "state";
const connectWaitMs = 2000;
/** One call takes at most this share of the whole time, so that a silent host leaves time for the others. */
const callShare = 0.25;
const retryPauseMs = 200;

/** Options of {@link createStateClient}. */
export interface StateClientOptions {
    hosts: PeerAddress[];
    token: string;
    /** How long one question may take over all hosts and tries, in milliseconds. */
    timeoutMs: number;
}

/** What became of the question at one host. */
export interface HostFailure {
    hostId: string;
    message: string;
}

export type StateAnswer = { ok: true; hostId: string; reply: StateReply; } | { ok: false; failures: HostFailure[]; };

/** Speaks with all state hosts. */
export interface StateClient {
    /** Asks until a host gives a final answer, always with the same request, or until the time is up. */
    ask(request: StateRequest): Promise<StateAnswer>;
    /** Asks every host once. */
    askAll(request: StateRequest): Promise<Array<{ hostId: string; reply?: StateReply; message?: string; }>>;
    close(): void;
}

interface Connection {
    host: PeerAddress;
    client: RpcClient;
    connected: Promise<void>;
    /** Whether a connection was ever made: a host that then closes it mostly does so for the token. */
    wasConnected: () => boolean;
}

const sleep = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const connect = (host: PeerAddress, token: string): Connection => {
    let markConnected: () => void = () => undefined;
    let isMade = false;
    const connected = new Promise<void>(resolve => {
        markConnected = () => {
            isMade = true;
            resolve();
        };
    });
    const client = createRpcClient({
        host: host.host,
        port: host.port,
        hostId: "operator",
        token,
        onConnect: () => markConnected(),
    });
    return { host, client, connected, wasConnected: () => isMade };
};

type OneAnswer = { ok: true; reply: StateReply; } | { ok: false; message: string; };

const askOne = async (connection: Connection, request: StateRequest, timeoutMs: number): Promise<OneAnswer> => {
    await Promise.race([connection.connected, sleep(Math.min(connectWaitMs, timeoutMs))]);
    const result = await connection.client.call(channel, request, timeoutMs);
    if (!result.ok) {
        const isClosedByHost = result.err.kind !== "timeout" && connection.wasConnected();
        const hint = isClosedByHost ? " It closes connections: compare the token files of both sides." : "";
        return { ok: false, message: `${result.err.message}${hint}` };
    }
    if (!isStateReply(result.body)) {
        return {
            ok: false,
            message: "The reply is not one that this version of cassiapick knows. Use the same version on both.",
        };
    }
    return { ok: true, reply: result.body };
};

/** Connects to all state hosts at once; close it when done. */
export const createStateClient = (options: StateClientOptions): StateClient => {
    const connections = options.hosts.map(host => connect(host, options.token));

    /** The order of asking: the named leader first. */
    const ordered = (leaderId: string | undefined): Connection[] => [
        ...connections.filter(({ host }) => host.hostId === leaderId),
        ...connections.filter(({ host }) => host.hostId !== leaderId),
    ];

    const ask = async (request: StateRequest): Promise<StateAnswer> => {
        const deadline = Date.now() + options.timeoutMs;
        const failures = new Map<string, string>();
        let leaderId: string | undefined;
        while (Date.now() < deadline) {
            let pauseMs = retryPauseMs;
            for (const connection of ordered(leaderId)) {
                const leftMs = deadline - Date.now();
                if (leftMs <= 0) {
                    break;
                }
                const answer = await askOne(connection, request, Math.min(leftMs, options.timeoutMs * callShare));
                const hostId = connection.host.hostId;
                if (!answer.ok) {
                    failures.set(hostId, answer.message);
                    continue;
                }
                const { reply } = answer;
                if (reply.kind === StateReplyKind.NotLeader) {
                    failures.set(hostId, reply.message);
                    if (reply.leaderId !== undefined && reply.leaderId !== leaderId) {
                        leaderId = reply.leaderId;
                        pauseMs = 0;
                        break;
                    }
                    continue;
                }
                if (reply.kind === StateReplyKind.Unavailable) {
                    failures.set(hostId, reply.message);
                    pauseMs = Math.max(pauseMs, reply.retryAfterMs);
                    continue;
                }
                return { ok: true, hostId, reply };
            }
            await sleep(Math.max(0, Math.min(pauseMs, deadline - Date.now())));
        }
        return { ok: false, failures: [...failures].map(([hostId, message]) => ({ hostId, message })) };
    };

    const askAll: StateClient["askAll"] = request =>
        Promise.all(connections.map(async connection => {
            const answer = await askOne(connection, request, options.timeoutMs);
            const hostId = connection.host.hostId;
            return answer.ok ? { hostId, reply: answer.reply } : { hostId, message: answer.message };
        }));

    const close = (): void => {
        for (const { client } of connections) {
            client.close();
        }
    };

    return { ask, askAll, close };
};
