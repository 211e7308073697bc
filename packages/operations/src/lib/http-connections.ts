/**
 * Closes an HTTP server without cutting off answers. The server's own `close` and `closeIdleConnections` also destroy connections
 * whose response has been ended while its bytes still wait for a slow reader.
 */
import type { Server as HttpServer, ServerResponse } from "node:http";
import { Server as TcpServer } from "node:net";
import type { Socket } from "node:net";

/** The connections of one HTTP server. */
export interface HttpConnections {
    /** Stops listening; open connections stay. */
    stopListening: () => void;
    /** Closes connections that have been answered, and have neither bytes of an answer nor of a request on their way. */
    closeIdle: () => void;
    /** Number of responses of which not all bytes have been handed to the kernel. */
    openResponseCount: () => number;
    /** Resolves when there is no such response, or after `maxMs` milliseconds. */
    whenAnswered: (maxMs: number) => Promise<void>;
    /** Closes all connections at once. */
    closeAll: () => void;
}

/** Options of {@link trackConnections}. */
export interface HttpConnectionsOptions {
    /** Called when a connection has closed, with its responses that are not finished. */
    onClosed?: (unfinished: ReadonlySet<ServerResponse>) => void;
}

interface Connection {
    unfinished: Set<ServerResponse>;
    /** The bytes that had been read when the latest response was finished; `undefined` before the first one. */
    answeredAtBytes: number | undefined;
}

/** Interval at which open responses are counted, in milliseconds. */
const pollMs = 20;

/** Tracks the connections of `server`; to be called before it listens. */
export const trackConnections = (server: HttpServer, { onClosed }: HttpConnectionsOptions = {}): HttpConnections => {
    const connections = new Map<Socket, Connection>();
    let openResponseCount = 0;

    server.on("connection", socket => {
        const connection: Connection = { unfinished: new Set(), answeredAtBytes: undefined };
        connections.set(socket, connection);
        socket.on("close", () => {
            connections.delete(socket);
            onClosed?.(connection.unfinished);
        });
    });
    server.on("request", ({ socket }, res) => {
        const connection = connections.get(socket);
        openResponseCount += 1;
        connection?.unfinished.add(res);
        res.once("close", () => {
            openResponseCount -= 1;
            if (connection !== undefined) {
                connection.unfinished.delete(res);
                connection.answeredAtBytes = socket.bytesRead;
            }
        });
    });

    const isIdle = (socket: Socket, { unfinished, answeredAtBytes }: Connection): boolean =>
        unfinished.size === 0 && answeredAtBytes === socket.bytesRead;

    return {
        stopListening: () => {
            TcpServer.prototype.close.call(server);
        },
        closeIdle: () => {
            for (const [socket, connection] of connections) {
                if (isIdle(socket, connection)) {
                    socket.destroy();
                }
            }
        },
        openResponseCount: () => openResponseCount,
        whenAnswered: async maxMs => {
            const until = performance.now() + maxMs;
            while (openResponseCount > 0 && performance.now() < until) {
                await new Promise(resolve => setTimeout(resolve, pollMs));
            }
        },
        closeAll: () => server.closeAllConnections(),
    };
};
