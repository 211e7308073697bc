/** The listening side of the protocol between the programs of the fleet. */
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createFrameReader, encodeFrame } from "./frame-codec.js";
import { EnvelopeKind, isEnvelope } from "./rpc-message.js";
import type { Envelope } from "./rpc-message.js";

/** Answers one request; `undefined` sends no reply. */
export type RequestHandler = (body: unknown, fromHostId: string) => Promise<unknown>;
/** Takes one message that wants no reply. */
export type NoticeHandler = (body: unknown, fromHostId: string) => void;

/** Options of {@link createRpcServer}. */
export interface RpcServerOptions {
    host: string;
    /** 0 lets the system choose. */
    port: number;
    /** Whether a peer's token is accepted. */
    acceptToken: (token: string) => boolean;
    /** Handlers by channel name. */
    requests: Record<string, RequestHandler>;
    notices: Record<string, NoticeHandler>;
    /** Told of each connection that was closed for a fault of the peer. */
    onRejected?: (reason: string, remoteAddress: string) => void;
}

/** A listening server. */
export interface RpcServer {
    port: number;
    /** Stops listening and closes every connection. */
    close(): Promise<void>;
}

interface Peer {
    socket: Socket;
    hostId: string | undefined;
}

const dispatch = async (options: RpcServerOptions, peer: Peer, hostId: string, envelope: Envelope): Promise<void> => {
    if (envelope.kind === EnvelopeKind.Notice && Object.hasOwn(options.notices, envelope.channel)) {
        options.notices[envelope.channel]!(envelope.body, hostId);
    }
    if (envelope.kind === EnvelopeKind.Request && Object.hasOwn(options.requests, envelope.channel)) {
        const body = await options.requests[envelope.channel]!(envelope.body, hostId);
        if (body !== undefined && !peer.socket.destroyed) {
            peer.socket.write(encodeFrame({ kind: EnvelopeKind.Reply, id: envelope.id, body }));
        }
    }
};

/** Starts listening; rejects when the address can't be used. */
export const createRpcServer = async (options: RpcServerOptions): Promise<RpcServer> => {
    const sockets = new Set<Socket>();

    const reject = (socket: Socket, reason: string): void => {
        options.onRejected?.(reason, socket.remoteAddress ?? "");
        socket.destroy();
    };

    const receive = (peer: Peer, value: unknown): void => {
        if (!isEnvelope(value)) {
            reject(peer.socket, "The frame is not an envelope.");
            return;
        }
        if (value.kind === EnvelopeKind.Hello) {
            if (!options.acceptToken(value.token)) {
                reject(peer.socket, "The token is not valid. Give the peer the fleet's token file.");
                return;
            }
            peer.hostId = value.hostId;
            return;
        }
        if (peer.hostId === undefined) {
            reject(peer.socket, "The peer sent a message before its hello.");
            return;
        }
        dispatch(options, peer, peer.hostId, value).catch(() => {
            reject(peer.socket, "A handler failed.");
        });
    };

    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        const reader = createFrameReader();
        const peer: Peer = { socket, hostId: undefined };
        socket.on("data", chunk => {
            const result = reader.push(chunk);
            if (!result.ok) {
                reject(socket, result.err.message);
                return;
            }
            for (const value of result.values) {
                receive(peer, value);
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });

    await new Promise<void>((resolve, rejectListen) => {
        server.once("error", rejectListen);
        server.listen(options.port, options.host, () => {
            server.off("error", rejectListen);
            resolve();
        });
    });

    const close = (): Promise<void> =>
        new Promise(resolve => {
            server.close(() => resolve());
            for (const socket of sockets) {
                socket.destroy();
            }
        });

    return { port: (server.address() as AddressInfo).port, close };
};
