/** A sound upstream: announces itself, runs the requests that name it, and answers with its signature. */
import { randomBytes } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { Fleet } from "./fleet.js";
import { record, waitUntil } from "./record.js";

export interface UpstreamOptions {
    id: string;
    service: string;
    zone: string;
    slots?: number;
    /** Answers a request that the upstream has begun to run; the body has been read. */
    run: (req: IncomingMessage, res: ServerResponse, upstream: Upstream) => void;
}

export interface Upstream {
    readonly id: string;
    readonly address: string;
    /** Headers of a complete answer to `req`. */
    answerHeaders(req: IncomingMessage, body: Buffer): Record<string, string>;
    /** Announces the upstream until a state host acknowledges it. */
    announce(state?: "ready" | "draining"): Promise<void>;
    close(): void;
}

const heartbeatMs = 1500;

/** The header of a request; an empty text if it has none. */
export const headerOf = (req: IncomingMessage, name: string): string => {
    const value = req.headers[name];
    return typeof value === "string" ? value : "";
};

export const startUpstream = async (fleet: Fleet, options: UpstreamOptions): Promise<Upstream> => {
    const { id, service, zone, slots = 3 } = options;
    const host = fleet.nextAddress();
    const born = Date.now();
    let sequence = 0;
    let state = "ready";
    const server: Server = createServer((req, res) => {
        req.resume();
        req.on("end", () => {
            const attempt = headerOf(req, "attempt-id");
            if (headerOf(req, "expected-instance") !== id) {
                record(`${id} turns ${attempt} away with 421`);
                res.writeHead(421, { "Attempt-Id": attempt, "Not-Executed": "1", "Content-Length": "0" }).end();
                return;
            }
            record(`${id} runs ${attempt} ${req.method ?? ""} ${req.url ?? ""}`);
            options.run(req, res, upstream);
        });
    });
    await new Promise<void>(resolve => server.listen(0, host, resolve));
    const address = `${host}:${(server.address() as AddressInfo).port}`;
    const beat = async (): Promise<boolean> => {
        sequence += 1;
        const reply = await fleet.control("POST", `/cassiapick/Instances.Heartbeat/${id}`, {
            address,
            born,
            info: { backend: service, version: "v1", zone, slots },
            status: { state, sequence, warmupLeftS: 0 },
        });
        return reply !== undefined;
    };
    const timer = setInterval(() => void beat(), heartbeatMs);
    const upstream: Upstream = {
        id,
        address,
        answerHeaders: (req, body) => ({
            "Attempt-Id": headerOf(req, "attempt-id"),
            "Upstream-Signature": `${id}.${randomBytes(4).toString("hex")}`,
            "Content-Length": String(body.length),
        }),
        announce: async (next = "ready") => {
            state = next;
            await waitUntil(`${id} is acknowledged as ${next}`, beat);
            record(`${id} at ${address} is acknowledged as ${next}`);
        },
        close: () => {
            clearInterval(timer);
            server.closeAllConnections();
            server.close();
        },
    };
    return upstream;
};
