/** Connections that carry framed messages in both directions. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createFrameReader, encodeCompactFrame, maxFrameBytes, maxHelloBytes } from "./frame-codec.js";

/** One open connection. */
export interface Link {
    /** Sends a message. Closes the connection instead when the peer has left too many bytes unread. */
    send(message: unknown): void;
    /** Sends an encoded frame, so that a message to many links is encoded once; `message` is what it encodes. */
    sendFrame(frame: Uint8Array, message?: unknown): void;
    close(): void;
}

/** Callbacks for the events of one connection. */
export interface LinkHandlers {
    onOpen?: (link: Link) => void;
    /** An exception of this handler is thrown on after the other messages of the chunk have been handled. */
    onMessage: (link: Link, message: unknown) => void;
    /** Called when a chunk ends in an incomplete message. */
    onPartReceived?: (link: Link) => void;
    /** Called for each message that is sent, with its bytes on the wire, framing included. */
    onSent?: (link: Link, message: unknown, bytes: number) => void;
    /** Called as the last event of a connection, with a reason for the log. */
    onClose: (link: Link, reason: string) => void;
}

/** Options of {@link openLink}. */
export interface OpenLinkOptions {
    host: string;
    port: number;
    /** The local address to connect from. */
    localAddress?: string;
    connectTimeoutMs: number;
    /** The connection is closed when nothing is received for this long, in milliseconds; 0 disables the timeout. */
    receiveTimeoutMs: number;
}

/** Options of {@link createLinkServer}. */
export interface LinkServerOptions {
    host: string;
    /** 0 lets the operating system choose. */
    port: number;
    /** A connection is closed when nothing is received for this long, in milliseconds; 0 disables the timeout. */
    receiveTimeoutMs: number;
}

/** A listening server. */
export interface LinkServer {
    port: number;
    /** Stops listening and closes every connection. */
    close(): Promise<void>;
}

/** A peer that leaves more bytes than this unread is disconnected, because it would receive increasingly outdated messages. */
const maxBufferedBytes = 4 * 1024 * 1024;

/** A link and its receive timeout. The socket's own timeout is not used, because writes reset it too. */
interface LinkWithTimeout {
    link: Link;
    /** Closes the link when nothing is received for `receiveTimeoutMs`; 0 disables the timeout. */
    setReceiveTimeout: (receiveTimeoutMs: number) => void;
}

/** Creates the link of a socket and calls the handlers for its events; `maxFirstBytes` limits the first frame that it receives. */
const createLink = (socket: Socket, handlers: LinkHandlers, maxFirstBytes: number): LinkWithTimeout => {
    const reader = createFrameReader(maxFrameBytes, maxFirstBytes);
    let closeReason = "The peer closed the connection.";
    let lastReceivedAt = performance.now();
    let timer: NodeJS.Timeout | undefined;
    const fail = (message: string): void => {
        closeReason = message;
        socket.destroy();
    };
    const setReceiveTimeout = (receiveTimeoutMs: number): void => {
        clearTimeout(timer);
        if (receiveTimeoutMs === 0) {
            return;
        }
        lastReceivedAt = performance.now();
        const checkTimeout = (): void => {
            const remainingMs = lastReceivedAt + receiveTimeoutMs - performance.now();
            if (remainingMs <= 0) {
                fail(`Nothing arrived for ${receiveTimeoutMs} ms.`);
                return;
            }
            timer = setTimeout(checkTimeout, remainingMs);
        };
        timer = setTimeout(checkTimeout, receiveTimeoutMs);
    };
    const sendFrame = (frame: Uint8Array, message: unknown): void => {
        if (socket.destroyed) {
            return;
        }
        if (socket.writableLength > maxBufferedBytes) {
            fail("The peer does not read what it is sent.");
            return;
        }
        socket.write(frame);
        handlers.onSent?.(link, message, frame.length);
    };
    const link: Link = {
        send: message => sendFrame(encodeCompactFrame(message), message),
        sendFrame,
        close: () => fail("This host closed the connection."),
    };
    socket.on("data", chunk => {
        lastReceivedAt = performance.now();
        const result = reader.push(chunk);
        if (!result.ok) {
            fail(result.err.message);
            return;
        }
        for (const message of result.values) {
            try {
                handlers.onMessage(link, message);
            }
            catch (err) {
                queueMicrotask(() => {
                    throw err;
                });
            }
        }
        if (reader.hasPartialFrame()) {
            handlers.onPartReceived?.(link);
        }
    });
    socket.on("end", () => socket.destroy());
    socket.on("error", err => {
        closeReason = `${err.message}.`;
    });
    socket.on("close", () => {
        clearTimeout(timer);
        handlers.onClose(link, closeReason);
    });
    return { link, setReceiveTimeout };
};

/** Opens a connection. `onClose` is also called when the connection attempt fails. */
export const openLink = (options: OpenLinkOptions, handlers: LinkHandlers): Link => {
    const { host, port, localAddress } = options;
    const socket = connect({ host, port, localAddress, noDelay: true });
    const { link, setReceiveTimeout } = createLink(socket, handlers, maxFrameBytes);
    setReceiveTimeout(options.connectTimeoutMs);
    socket.once("connect", () => {
        setReceiveTimeout(options.receiveTimeoutMs);
        handlers.onOpen?.(link);
    });
    return link;
};

/** Listens for connections. Rejects when the address can't be used. */
export const createLinkServer = async (options: LinkServerOptions, handlers: LinkHandlers): Promise<LinkServer> => {
    const sockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        const { link, setReceiveTimeout } = createLink(socket, handlers, maxHelloBytes);
        setReceiveTimeout(options.receiveTimeoutMs);
        handlers.onOpen?.(link);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(options.port, options.host, () => {
            server.off("error", reject);
            resolve();
        });
    });
    return {
        port: (server.address() as AddressInfo).port,
        close: () =>
            new Promise(resolve => {
                server.close(() => resolve());
                for (const socket of sockets) {
                    socket.destroy();
                }
            }),
    };
};
