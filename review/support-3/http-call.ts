/** Sends one HTTP request over a connection of its own. */
import { request } from "node:http";

/** How a call ended, as its sender saw it. */
export interface CallResult {
    /** Status of the head that was received; `undefined` without one. */
    status: number | undefined;
    body: Buffer;
    /** Whether the whole answer was received. */
    isComplete: boolean;
    /** Why there is no whole answer. */
    error?: string;
    elapsedMs: number;
}

export interface CallOptions {
    method?: string;
    headers?: Readonly<Record<string, string>>;
    body?: Buffer | string;
    /** The sender closes the connection after this time, in milliseconds. */
    timeoutMs: number;
}

/** Never rejects. */
export const call = (host: string, port: number, path: string, options: CallOptions): Promise<CallResult> =>
    new Promise(resolve => {
        const startedAt = performance.now();
        const chunks: Buffer[] = [];
        let status: number | undefined;
        let isEnded = false;
        const end = (isComplete: boolean, error?: string): void => {
            if (isEnded) {
                return;
            }
            isEnded = true;
            clearTimeout(timer);
            req.destroy();
            const elapsedMs = Math.round(performance.now() - startedAt);
            resolve({ status, body: Buffer.concat(chunks), isComplete, error, elapsedMs });
        };
        const { method = "GET", headers = {}, body } = options;
        const length = body === undefined ? {} : { "Content-Length": String(Buffer.byteLength(body)) };
        const req = request({ host, port, path, method, headers: { ...headers, ...length }, agent: false }, res => {
            status = res.statusCode;
            res.on("data", (chunk: Buffer) => chunks.push(chunk));
            res.on("end", () => end(res.complete, res.complete ? undefined : "the answer ended early"));
            res.on("error", err => end(false, err.message));
        });
        req.on("error", err => end(false, err.message));
        const timer = setTimeout(() => end(false, `no whole answer within ${options.timeoutMs} ms`), options.timeoutMs);
        req.end(body);
    });
