/** The client side of the RPC protocol: one outgoing connection that reconnects automatically. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { createFrameReader, encodeFrame } from "./frame-codec.js";
import { EnvelopeKind, isEnvelope } from "./rpc-message.js";

/** The reason why a call has no reply. */
export type RpcErr =
    | { kind: "not-connected"; message: string; }
    | { kind: "timeout"; message: string; }
    | { kind: "closed"; message: string; };

export type RpcResult = { ok: true; body: unknown; } | { ok: false; err: RpcErr; };

/** Options of {@link createRpcClient}. */
export interface RpcClientOptions {
    host: string;
    port: number;
    /** The id of this host, which the peer receives. */
    hostId: string;
    /** The shared secret of the fleet. */
    token: string;
    /** The local address to connect from, so that the two addresses of a connection identify its hosts. */
    localAddress?: string;
    /** Called each time a connection is established. */
    onConnect?: () => void;
}

/** A connection to one peer. */
export interface RpcClient {
    /** Sends a request and resolves with its reply, or with the reason why there is none. Never rejects. */
    call(channel: string, body: unknown, timeoutMs: number): Promise<RpcResult>;
    /** Sends a message without a reply. It is dropped while there is no connection or too many bytes are buffered. */
    notify(channel: string, body: unknown): void;
    isConnected(): boolean;
    close(): void;
}

const initialReconnectDelayMs = 50;
const maxReconnectDelayMs = 1000;
const connectTimeoutMs = 2000;
/** Notices are dropped while this many bytes or more are buffered for the peer. */
const maxBufferedBytes = 8 * 1024 * 1024;

interface PendingCall {
    resolve: (result: RpcResult) => void;
    timer: NodeJS.Timeout;
}

/** Creates a client that connects at once and reconnects with exponential backoff until it is closed. */
export const createRpcClient = (options: RpcClientOptions): RpcClient => {
    const peerAddress = `${options.host}:${options.port}`;
    const pendingCalls = new Map<number, PendingCall>();
    let socket: Socket | undefined;
    let isConnected = false;
    let isClosed = false;
    let nextRequestId = 1;
    let reconnectDelayMs = initialReconnectDelayMs;
    let reconnectTimer: NodeJS.Timeout | undefined;

    const completeCall = (id: number, result: RpcResult): void => {
        const pendingCall = pendingCalls.get(id);
        if (pendingCall === undefined) {
            return;
        }
        pendingCalls.delete(id);
        clearTimeout(pendingCall.timer);
        pendingCall.resolve(result);
    };

    const failPendingCalls = (): void => {
        const err: RpcErr = {
            kind: "closed",
            message: `The connection to ${peerAddress} was closed before the reply arrived. Send the request again.`,
        };
        for (const id of [...pendingCalls.keys()]) {
            completeCall(id, { ok: false, err });
        }
    };

    const openConnection = (): void => {
        const reader = createFrameReader();
        const connection = connect({ host: options.host, port: options.port, localAddress: options.localAddress, noDelay: true });
        socket = connection;
        connection.setTimeout(connectTimeoutMs, () => {
            if (!isConnected) {
                connection.destroy();
            }
        });
        connection.on("connect", () => {
            connection.setTimeout(0);
            isConnected = true;
            reconnectDelayMs = initialReconnectDelayMs;
            connection.write(encodeFrame({ kind: EnvelopeKind.Hello, hostId: options.hostId, token: options.token }));
            options.onConnect?.();
        });
        connection.on("data", chunk => {
            const result = reader.push(chunk);
            if (!result.ok) {
                connection.destroy();
                return;
            }
            for (const value of result.values) {
                if (isEnvelope(value) && value.kind === EnvelopeKind.Reply) {
                    completeCall(value.id, { ok: true, body: value.body });
                }
            }
        });
        // A close event always follows and handles the failure.
        connection.on("error", () => undefined);
        connection.on("close", () => {
            isConnected = false;
            failPendingCalls();
            if (!isClosed) {
                reconnectTimer = setTimeout(openConnection, reconnectDelayMs);
                reconnectDelayMs = Math.min(reconnectDelayMs * 2, maxReconnectDelayMs);
            }
        });
    };

    const call = (channel: string, body: unknown, timeoutMs: number): Promise<RpcResult> =>
        new Promise(resolve => {
            if (!isConnected || socket === undefined) {
                resolve({
                    ok: false,
                    err: { kind: "not-connected", message: `There is no connection to ${peerAddress}. Check that it runs.` },
                });
                return;
            }
            const id = nextRequestId;
            nextRequestId += 1;
            const timer = setTimeout(() => {
                completeCall(id, {
                    ok: false,
                    err: { kind: "timeout", message: `${peerAddress} did not reply within ${timeoutMs} ms.` },
                });
            }, timeoutMs);
            pendingCalls.set(id, { resolve, timer });
            socket.write(encodeFrame({ kind: EnvelopeKind.Request, id, channel, body }));
        });

    const notify = (channel: string, body: unknown): void => {
        if (isConnected && socket !== undefined && socket.writableLength < maxBufferedBytes) {
            socket.write(encodeFrame({ kind: EnvelopeKind.Notice, channel, body }));
        }
    };

    const close = (): void => {
        isClosed = true;
        clearTimeout(reconnectTimer);
        socket?.destroy();
        failPendingCalls();
    };

    openConnection();
    return { call, notify, isConnected: () => isConnected, close };
};
