/** Stand-in of a sound upstream: announces itself, serves requests that expect it, and keeps a list of those that it ran. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { call } from "./call.js";
import { heartbeatS } from "./fleet.js";
import type { Fleet } from "./fleet.js";

export interface Upstream {
    readonly id: string;
    readonly service: string;
    readonly address: string;
    /** Ids of the requests that it ran, in order. */
    readonly ran: string[];
    /** How many heartbeats it has sent, and how many of them were acknowledged. */
    readonly heartbeats: { sent: number; acked: number; };
    close(): void;
}

export interface UpstreamOptions {
    id: string;
    service: string;
    zone: string;
    /** Answers a request that runs; by default after 20 ms with a short body. */
    serve?: (req: IncomingMessage, res: ServerResponse, attemptId: string) => void;
}

const slots = 8;
const defaultWorkMs = 20;
const callTimeoutMs = 1000;

export const headerOf = (req: IncomingMessage, name: string): string => {
    const value = req.headers[name];
    return typeof value === "string" ? value : "";
};

/** The body of an answer of {@link serveShort}. */
export const shortBodyOf = (attemptId: string): string => `answer to ${attemptId}`;

const serveShort = (_req: IncomingMessage, res: ServerResponse, attemptId: string): void => {
    setTimeout(() => {
        const body = shortBodyOf(attemptId);
        res.writeHead(200, {
            "Attempt-Id": attemptId,
            "Upstream-Signature": `s.${attemptId}`,
            "Content-Length": Buffer.byteLength(body),
        });
        res.end(body);
    }, defaultWorkMs);
};

/** Sends a heartbeat to the first state host that acknowledges it. */
export const sendHeartbeat = async (fleet: Fleet, id: string, heartbeat: unknown): Promise<boolean> => {
    for (const state of fleet.states) {
        const { status } = await call({
            address: `${state.address}:${fleet.ports.control}`,
            path: `/cassiapick/Instances.Heartbeat/${id}`,
            method: "POST",
            headers: { "Content-Type": "application/json" },
            body: JSON.stringify(heartbeat),
            timeoutMs: callTimeoutMs,
        });
        if (status >= 200 && status < 300) {
            return true;
        }
    }
    return false;
};

/** The content of a heartbeat of a server that is ready. */
export const heartbeatOf = (
    options: { address: string; service: string; zone: string; born: number; sequence: number; },
): unknown => ({
    address: options.address,
    born: options.born,
    info: { backend: options.service, version: "v1", zone: options.zone, slots },
    status: { state: "ready", sequence: options.sequence, warmupLeftS: 0 },
});

/** Starts an upstream; it listens when the promise resolves and sends its first heartbeat at once. */
export const startUpstream = async (fleet: Fleet, options: UpstreamOptions): Promise<Upstream> => {
    const { id, service, zone, serve = serveShort } = options;
    const host = fleet.nextAddress();
    const born = Date.now();
    const ran: string[] = [];
    const heartbeats = { sent: 0, acked: 0 };
    const sockets = new Set<Socket>();
    let sequence = 0;
    const server = createServer((req, res) => {
        const attemptId = headerOf(req, "attempt-id");
        if (req.url === "/healthz") {
            res.writeHead(200, { "Instance-Id": id }).end();
            return;
        }
        if (headerOf(req, "expected-instance") !== id) {
            res.writeHead(421, { "Attempt-Id": attemptId, "Not-Executed": "1" }).end();
            return;
        }
        req.resume();
        req.on("end", () => {
            ran.push(attemptId);
            serve(req, res, attemptId);
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const address = `${host}:${(server.address() as AddressInfo).port}`;
    const announce = (): void => {
        sequence += 1;
        heartbeats.sent += 1;
        void sendHeartbeat(fleet, id, heartbeatOf({ address, service, zone, born, sequence })).then(isAcked => {
            heartbeats.acked += isAcked ? 1 : 0;
        });
    };
    const timer = setInterval(announce, heartbeatS * 1000);
    announce();
    return {
        id,
        service,
        address,
        ran,
        heartbeats,
        close: () => {
            clearInterval(timer);
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
};
