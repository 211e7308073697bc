/** Connections that carry messages both ways, as frames. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { createFrameReader, encodeCompactFrame } from "./frame-codec.js";

/** One open connection. */
export interface Link {
    /** Sends a message; a peer that does not read loses the connection once too much waits for it. */
    send(message: unknown): void;
    /** Sends a frame that was encoded before, so that many links share one encoding. */
    sendFrame(frame: Uint8Array): void;
    close(): void;
}

/** What happens on one connection. */
export interface LinkHandlers {
    opened?: (link: Link) => void;
    message: (link: Link, message: unknown) => void;
    /** A part of a long message has come. */
    progress?: (link: Link) => void;
    /** The last event of a connection; `reason` tells people why. */
    closed: (link: Link, reason: string) => void;
}

/** Options of {@link openLink}. */
export interface OpenLinkOptions {
    host: string;
    port: number;
    /** The local address to connect from. */
    localAddress?: string;
    connectTimeoutMs: number;
    /** The connection is closed when nothing arrives for this long, in milliseconds. */
    silenceMs: number;
}

/** Options of {@link createLinkServer}. */
export interface LinkServerOptions {
    host: string;
    /** 0 lets the system choose. */
    port: number;
    /** A connection is closed when nothing arrives for this long, in milliseconds. */
    silenceMs: number;
}

/** A listening server. */
export interface LinkServer {
    port: number;
    /** Stops listening and closes every connection. */
    close(): Promise<void>;
}

/** A peer that leaves this many bytes unread loses its connection: it would otherwise get ever older messages. */
const maxUnreadBytes = 4 * 1024 * 1024;

/** A link with its watch over silence; the socket's own time-out would count what is written as a sign of life. */
interface WatchedLink {
    link: Link;
    /** Closes the link when nothing arrives for `silenceMs`; 0 watches no more. */
    watch: (silenceMs: number) => void;
}

/** Serves one socket. */
const serve = (socket: Socket, handlers: LinkHandlers): WatchedLink => {
    const reader = createFrameReader();
    let reason = "The peer closed the connection.";
    let heardAt = performance.now();
    let timer: NodeJS.Timeout | undefined;
    const fail = (message: string): void => {
        reason = message;
        socket.destroy();
    };
    const watch = (silenceMs: number): void => {
        clearTimeout(timer);
        if (silenceMs === 0) {
            return;
        }
        heardAt = performance.now();
        const check = (): void => {
            const leftMs = heardAt + silenceMs - performance.now();
            if (leftMs <= 0) {
                fail(`Nothing arrived for ${silenceMs} ms.`);
                return;
            }
            timer = setTimeout(check, leftMs);
        };
        timer = setTimeout(check, silenceMs);
    };
    const sendFrame = (frame: Uint8Array): void => {
        if (socket.destroyed) {
            return;
        }
        if (socket.writableLength > maxUnreadBytes) {
            fail("The peer does not read what it is sent.");
            return;
        }
        socket.write(frame);
    };
    const link: Link = {
        send: message => sendFrame(encodeCompactFrame(message)),
        sendFrame,
        close: () => fail("This host closed the connection."),
    };
    socket.on("data", chunk => {
        heardAt = performance.now();
        const result = reader.push(chunk);
        if (!result.ok) {
            fail(result.err.message);
            return;
        }
        for (const message of result.values) {
            handlers.message(link, message);
        }
        if (reader.isAmidFrame()) {
            handlers.progress?.(link);
        }
    });
    socket.on("end", () => socket.destroy());
    socket.on("error", err => {
        reason = `${err.message}.`;
    });
    socket.on("close", () => {
        clearTimeout(timer);
        handlers.closed(link, reason);
    });
    return { link, watch };
};

/** Opens a connection; `closed` follows also when it never opens. */
export const openLink = (options: OpenLinkOptions, handlers: LinkHandlers): Link => {
    const { host, port, localAddress } = options;
    const socket = connect({ host, port, localAddress, noDelay: true });
    const { link, watch } = serve(socket, handlers);
    watch(options.connectTimeoutMs);
    socket.once("connect", () => {
        watch(options.silenceMs);
        handlers.opened?.(link);
    });
    return link;
};

/** Listens for connections; rejects when the address can't be used. */
export const createLinkServer = async (options: LinkServerOptions, handlers: LinkHandlers): Promise<LinkServer> => {
    const sockets = new Set<Socket>();
    const server = createServer({ noDelay: true }, socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        const { link, watch } = serve(socket, handlers);
        watch(options.silenceMs);
        handlers.opened?.(link);
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
