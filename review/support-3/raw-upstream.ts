/** A backend server that writes the bytes of its answers itself. */
import { createServer } from "node:net";
import type { Socket } from "node:net";
import type { Fleet } from "./fleet.js";
import { announceRegularly, upstreamPort } from "./upstream.js";
import type { Upstream } from "./upstream.js";

/** One request without a body that the upstream has begun to run. */
export interface RawRun {
    requestId: string;
    upstream: string;
    socket: Socket;
}

const headEnd = "\r\n\r\n";

const fieldOf = (head: string, name: string): string =>
    head.split("\r\n").find(line => line.toLowerCase().startsWith(`${name}:`))?.slice(name.length + 1).trim() ?? "";

/** Starts upstream number `index` of a service; `onRun` writes the answer to each request that it runs. */
export const startRawUpstream = async (
    fleet: Fleet,
    service: string,
    index: number,
    onRun: (run: RawRun) => void,
): Promise<Upstream> => {
    const id = `i-${service}-${index}`;
    const address = `${fleet.network}.${100 + index}`;
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        let head = "";
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        socket.on("error", () => socket.destroy());
        socket.on("data", chunk => {
            head += chunk.toString("latin1");
            if (!head.endsWith(headEnd)) {
                return;
            }
            if (fieldOf(head, "expected-instance") !== id) {
                socket.end("HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            onRun({ requestId: fieldOf(head, "attempt-id"), upstream: id, socket });
        });
    });
    await new Promise<void>(resolve => server.listen(upstreamPort, address, resolve));
    const timer = announceRegularly(fleet, { id, service, address });
    return {
        id,
        stop: () => {
            clearInterval(timer);
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};
