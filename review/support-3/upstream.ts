/** A backend server that runs requests and announces itself. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { ports, sleep } from "./fleet.js";
import type { Fleet } from "./fleet.js";
import { call } from "./http-call.js";

/** One request that an upstream has begun to run. */
export interface Run {
    requestId: string;
    upstream: string;
    res: ServerResponse;
}

export interface Upstream {
    readonly id: string;
    stop(): void;
}

/** Interval of announcements, as in the settings, in milliseconds. */
const heartbeatMs = 1500;
export const upstreamPort = 8500;
const slots = 3;

const headerOf = (req: IncomingMessage, name: string): string => {
    const value = req.headers[name];
    return typeof value === "string" ? value : "";
};

/** Announces an upstream to the state hosts until the returned timer is cleared. */
export const announceRegularly = (
    fleet: Fleet,
    { id, service, address }: { id: string; service: string; address: string; },
): NodeJS.Timeout => {
    const born = Date.now();
    let sequence = 0;
    const announce = async (): Promise<void> => {
        sequence += 1;
        const body = JSON.stringify({
            address: `${address}:${upstreamPort}`,
            born,
            info: { backend: service, version: "v1", zone: "zone-a", slots },
            status: { state: "ready", sequence, warmupLeftS: 0 },
        });
        for (const host of fleet.states) {
            const path = `/cassiapick/Instances.Heartbeat/${id}`;
            const headers = { "Content-Type": "application/json" };
            const result = await call(host.address, ports.control, path, { method: "POST", headers, body, timeoutMs: 1000 });
            if (result.isComplete && result.status === 200) {
                return;
            }
            await sleep(20);
        }
    };
    void announce();
    return setInterval(() => void announce(), heartbeatMs);
};

/** Starts upstream number `index` of a service; `onRun` answers each request that it runs. */
export const startUpstream = async (
    fleet: Fleet,
    service: string,
    index: number,
    onRun: (run: Run) => void,
): Promise<Upstream> => {
    const id = `i-${service}-${index}`;
    const address = `${fleet.network}.${100 + index}`;
    const server = createServer((req, res) => {
        if (req.url === "/healthz") {
            res.writeHead(200, { "Instance-Id": id }).end();
            return;
        }
        if (headerOf(req, "expected-instance") !== id) {
            res.writeHead(421, { "Not-Executed": "1" }).end();
            return;
        }
        req.resume();
        onRun({ requestId: headerOf(req, "attempt-id"), upstream: id, res });
    });
    await new Promise<void>(resolve => server.listen(upstreamPort, address, resolve));
    const timer = announceRegularly(fleet, { id, service, address });
    return {
        id,
        stop: () => {
            clearInterval(timer);
            server.close();
            server.closeAllConnections();
        },
    };
};

/** The headers of an answer to a request that ran. */
export const answerHeaders = (requestId: string, length: number): Record<string, string> => ({
    "Attempt-Id": requestId,
    "Upstream-Signature": `sig.${requestId}`,
    "Content-Length": String(length),
});

/** Answers a request with success. */
export const succeed = ({ requestId, res }: Run, body = "ok"): void => {
    res.writeHead(200, answerHeaders(requestId, Buffer.byteLength(body))).end(body);
};
