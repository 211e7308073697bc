/** The server side of the RPC protocol between the programs of the fleet. */
import { ownValue } from "@cassiapick/core";
import { createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createFrameReader, encodeFrame, maxFrameBytes, maxHelloBytes } from "./frame-codec.js";
import { EnvelopeKind, isEnvelope } from "./rpc-message.js";
import type { Envelope } from "./rpc-message.js";

/** Handles one request and resolves with the body of the reply; `undefined` sends no reply. */
export type RpcRequestHandler = (body: unknown, fromHostId: string) => Promise<unknown>;
/** Handles one message without a reply. */
export type RpcNoticeHandler = (body: unknown, fromHostId: string) => void;

/** Options of {@link createRpcServer}. */
export interface RpcServerOptions {
    host: string;
    /** 0 lets the operating system choose. */
    port: number;
    /** Whether a peer's token is accepted. */
    acceptToken: (token: string) => boolean;
    /** Request handlers by channel name. */
    requestHandlers: Record<string, RpcRequestHandler>;
    /** Notice handlers by channel name. */
    noticeHandlers: Record<string, RpcNoticeHandler>;
    /** Called when the server closes a connection because of an invalid message, an invalid token or a failed handler. */
    onRejected?: (reason: string, remoteAddress: string) => void;
}

/** A listening server. */
export interface RpcServer {
    port: number;
    /** Stops listening and closes every connection. */
    close(): Promise<void>;
}

interface PeerConnection {
    socket: Socket;
    hostId: string | undefined;
}

const dispatchEnvelope = async (
    options: RpcServerOptions,
    peer: PeerConnection,
    hostId: string,
    envelope: Envelope,
): Promise<void> => {
    if (envelope.kind === EnvelopeKind.Notice) {
        ownValue(options.noticeHandlers, envelope.channel)?.(envelope.body, hostId);
    }
    if (envelope.kind === EnvelopeKind.Request) {
        const body = await ownValue(options.requestHandlers, envelope.channel)?.(envelope.body, hostId);
        if (body !== undefined && !peer.socket.destroyed) {
            peer.socket.write(encodeFrame({ kind: EnvelopeKind.Reply, id: envelope.id, body }));
        }
    }
};

/** Starts listening. Rejects when the address can't be used. */
export const createRpcServer = async (options: RpcServerOptions): Promise<RpcServer> => {
    const sockets = new Set<Socket>();

    const rejectPeer = (socket: Socket, reason: string): void => {
        options.onRejected?.(reason, socket.remoteAddress ?? "");
        socket.destroy();
    };

    const handleEnvelope = (peer: PeerConnection, value: unknown): void => {
        if (!isEnvelope(value)) {
            rejectPeer(peer.socket, "The frame is not an envelope.");
            return;
        }
        if (value.kind === EnvelopeKind.Hello) {
            if (!options.acceptToken(value.token)) {
                rejectPeer(peer.socket, "The token is not valid. Give the peer the fleet's token file.");
                return;
            }
            peer.hostId = value.hostId;
            return;
        }
        if (peer.hostId === undefined) {
            rejectPeer(peer.socket, "The peer sent a message before its hello.");
            return;
        }
        dispatchEnvelope(options, peer, peer.hostId, value).catch(() => {
            rejectPeer(peer.socket, "A handler failed.");
        });
    };

    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        const reader = createFrameReader(maxFrameBytes, maxHelloBytes);
        const peer: PeerConnection = { socket, hostId: undefined };
        socket.on("data", chunk => {
            const result = reader.push(chunk);
            if (!result.ok) {
                rejectPeer(socket, result.err.message);
                return;
            }
            for (const value of result.values) {
                handleEnvelope(peer, value);
            }
        });
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });

    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, () => {
            server.off("error", reject);
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
