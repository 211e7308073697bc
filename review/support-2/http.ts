/** Short HTTP calls of the stand-ins. */
import { request } from "node:http";

export interface Reply {
    status: number;
    body: string;
}

export interface Call {
    host: string;
    port: number;
    method: string;
    path: string;
    body?: unknown;
    timeoutMs?: number;
}

/** Resolves with the reply, or with `undefined` if there is none in time. */
export const call = ({ host, port, method, path, body, timeoutMs = 1000 }: Call): Promise<Reply | undefined> =>
    new Promise(resolve => {
        const req = request({ host, port, method, path, agent: false, headers: { "Content-Type": "application/json" } }, res => {
            const chunks: Buffer[] = [];
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("end", () => resolve({ status: res.statusCode ?? 0, body: Buffer.concat(chunks).toString() }));
            res.on("error", () => resolve(undefined));
        });
        const timer = setTimeout(() => req.destroy(), timeoutMs);
        req.on("error", () => resolve(undefined));
        req.on("close", () => {
            clearTimeout(timer);
            resolve(undefined);
        });
        req.end(body === undefined ? undefined : JSON.stringify(body));
    });
