/** One HTTP call of a client, an operator or a server; the connection is closed afterwards unless an agent keeps it. */
import { request } from "node:http";
import type { Agent, IncomingHttpHeaders } from "node:http";

/** What the caller saw. `status` is 0 if there was no answer; `isComplete` is what the protocol says of the body. */
export interface CallResult {
    status: number;
    headers: IncomingHttpHeaders;
    body: Buffer;
    isComplete: boolean;
    error?: string;
    elapsedMs: number;
}

export interface Call {
    /** "host:port". */
    address: string;
    path: string;
    method?: string;
    headers?: Readonly<Record<string, string>>;
    body?: Buffer | string;
    timeoutMs: number;
    agent?: Agent;
    /** Loopback address to connect from. */
    localAddress?: string;
}

/** Makes the call; never rejects. */
export const call = (options: Call): Promise<CallResult> =>
    new Promise(resolve => {
        const startedAt = performance.now();
        const colon = options.address.lastIndexOf(":");
        const result: CallResult = { status: 0, headers: {}, body: Buffer.alloc(0), isComplete: false, elapsedMs: 0 };
        const chunks: Buffer[] = [];
        let isEnded = false;
        const end = (error?: string): void => {
            if (isEnded) {
                return;
            }
            isEnded = true;
            clearTimeout(timer);
            resolve({ ...result, body: Buffer.concat(chunks), error, elapsedMs: Math.round(performance.now() - startedAt) });
        };
        const req = request({
            host: options.address.slice(0, colon),
            port: Number(options.address.slice(colon + 1)),
            path: options.path,
            method: options.method ?? "GET",
            headers: options.headers,
            agent: options.agent ?? false,
            localAddress: options.localAddress,
        }, res => {
            result.status = res.statusCode ?? 0;
            result.headers = res.headers;
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("end", () => {
                result.isComplete = res.complete;
                end();
            });
            res.on("error", err => end(err.message));
        });
        const timer = setTimeout(() => {
            end("timeout");
            req.destroy();
        }, options.timeoutMs);
        req.on("error", err => end(err.message));
        req.end(options.body);
    });
