/** One outgoing connection that reconnects by itself. */
import { connect } from "node:net";
import type { Socket } from "node:net";
import { createFrameReader, encodeFrame } from "./frame-codec.js";
import { EnvelopeKind, isEnvelope } from "./rpc-message.js";

/** Why a call has no reply. */
export type RpcErr =
    | { kind: "not-connected"; message: string; }
    | { kind: "timeout"; message: string; }
    | { kind: "closed"; message: string; };

export type RpcResult = { ok: true; body: unknown; } | { ok: false; err: RpcErr; };

/** Options of {@link createRpcClient}. */
export interface RpcClientOptions {
    host: string;
    port: number;
    /** The name of this process. */
    hostId: string;
    /** The shared secret of the fleet. */
    token: string;
    /** The local address to connect from, so that a link can be told by its two ends. */
    localAddress?: string;
    /** Called after each connection is made. */
    onConnect?: () => void;
}

/** A connection to one peer. */
export interface RpcClient {
    /** Sends a request and resolves with its reply or the reason there is none. Never rejects. */
    call(channel: string, body: unknown, timeoutMs: number): Promise<RpcResult>;
    /** Sends a message that wants no reply; it is dropped while there is no connection. */
    notify(channel: string, body: unknown): void;
    connected(): boolean;
    close(): void;
}

const firstReconnectMs = 50;
const maxReconnectMs = 1000;
const connectTimeoutMs = 2000;
/** A peer that does not drain this many bytes gets no more notices. */
const maxBufferedBytes = 8 * 1024 * 1024;

interface Waiter {
    resolve: (result: RpcResult) => void;
    timer: NodeJS.Timeout;
}

/** Creates a client that connects at once and reconnects with growing pauses until it is closed. */
export const createRpcClient = (options: RpcClientOptions): RpcClient => {
    const peer = `${options.host}:${options.port}`;
    const waiters = new Map<number, Waiter>();
    let socket: Socket | undefined;
    let ready = false;
    let closed = false;
    let nextId = 1;
    let pauseMs = firstReconnectMs;
    let reconnectTimer: NodeJS.Timeout | undefined;

    const settle = (id: number, result: RpcResult): void => {
        const waiter = waiters.get(id);
        if (waiter === undefined) {
            return;
        }
        waiters.delete(id);
        clearTimeout(waiter.timer);
        waiter.resolve(result);
    };

    const failAll = (): void => {
        const err: RpcErr = {
            kind: "closed",
            message: `The connection to ${peer} was closed before the reply arrived. Ask again.`,
        };
        for (const id of [...waiters.keys()]) {
            settle(id, { ok: false, err });
        }
    };

    const open = (): void => {
        const reader = createFrameReader();
        const current = connect({ host: options.host, port: options.port, localAddress: options.localAddress, noDelay: true });
        socket = current;
        current.setTimeout(connectTimeoutMs, () => {
            if (!ready) {
                current.destroy();
            }
        });
        current.on("connect", () => {
            current.setTimeout(0);
            ready = true;
            pauseMs = firstReconnectMs;
            current.write(encodeFrame({ kind: EnvelopeKind.Hello, hostId: options.hostId, token: options.token }));
            options.onConnect?.();
        });
        current.on("data", chunk => {
            const result = reader.push(chunk);
            if (!result.ok) {
                current.destroy();
                return;
            }
            for (const value of result.values) {
                if (isEnvelope(value) && value.kind === EnvelopeKind.Reply) {
                    settle(value.id, { ok: true, body: value.body });
                }
            }
        });
        // The close event always follows, and it does the work.
        current.on("error", () => undefined);
        current.on("close", () => {
            ready = false;
            failAll();
            if (!closed) {
                reconnectTimer = setTimeout(open, pauseMs);
                pauseMs = Math.min(pauseMs * 2, maxReconnectMs);
            }
        });
    };

    const call = (channel: string, body: unknown, timeoutMs: number): Promise<RpcResult> =>
        new Promise(resolve => {
            if (!ready || socket === undefined) {
                resolve({
                    ok: false,
                    err: { kind: "not-connected", message: `There is no connection to ${peer}. Check that it runs.` },
                });
                return;
            }
            const id = nextId;
            nextId += 1;
            const timer = setTimeout(() => {
                settle(id, { ok: false, err: { kind: "timeout", message: `${peer} did not reply within ${timeoutMs} ms.` } });
            }, timeoutMs);
            waiters.set(id, { resolve, timer });
            socket.write(encodeFrame({ kind: EnvelopeKind.Request, id, channel, body }));
        });

    const notify = (channel: string, body: unknown): void => {
        if (ready && socket !== undefined && socket.writableLength < maxBufferedBytes) {
            socket.write(encodeFrame({ kind: EnvelopeKind.Notice, channel, body }));
        }
    };

    const close = (): void => {
        closed = true;
        clearTimeout(reconnectTimer);
        socket?.destroy();
        failAll();
    };

    open();
    return { call, notify, connected: () => ready, close };
};
