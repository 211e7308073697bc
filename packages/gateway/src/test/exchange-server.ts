/** A backend server that answers one request on a connection as a test says, and exchanges with it. */
import { createServer } from "node:net";
import type { AddressInfo, Server, Socket } from "node:net";
import { startExchange } from "../lib/exchange.js";
import type { ExchangeResult } from "../lib/exchange.js";
import { testHeaderNames as headerNames } from "./test-gateway.js";

export const requestId = "r1";

/** The head of an answer to the request. */
export const head = (status: string, headers: string[]): string =>
    [`HTTP/1.1 ${status}`, `x-request: ${requestId}`, ...headers, "", ""].join("\r\n");

/** The head of a success. */
export const ok = (...headers: string[]): string => head("200 OK", ["x-signature: s", ...headers]);

/** What the server does once a request has begun to arrive. */
export type Behaviour = (socket: Socket) => void;

/** The server of one test at a time. */
export interface ExchangeServer {
    /** Starts the server; resolves with its port. */
    listen: (behave: Behaviour) => Promise<number>;
    /** Runs an exchange with the server at `port`. */
    run: (port: number, timeoutMs?: number) => Promise<ExchangeResult>;
    /** Stops listening. */
    closeServer: () => Promise<void>;
    /** Stops listening and ends all connections. */
    close: () => void;
}

/** Creates a server that does not listen yet. */
export const createExchangeServer = (): ExchangeServer => {
    let server: Server;
    const sockets = new Set<Socket>();
    return {
        listen: behave =>
            new Promise(resolve => {
                server = createServer(socket => {
                    sockets.add(socket);
                    socket.on("error", () => undefined);
                    socket.once("data", () => behave(socket));
                });
                server.listen(0, "127.0.0.1", () => resolve((server.address() as AddressInfo).port));
            }),
        run: (port, timeoutMs = 5000) =>
            startExchange({
                address: `127.0.0.1:${port}`,
                method: "GET",
                target: "/",
                headers: ["Host", "a.example", "X-Request", requestId],
                body: Buffer.alloc(0),
                requestId,
            }, { headerNames, connectTimeoutMs: 5000, timeoutMs }).result,
        closeServer: () => new Promise(resolve => server.close(() => resolve())),
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};
