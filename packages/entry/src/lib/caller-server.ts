/** The HTTP server for callers. */
import { createHash, randomUUID, timingSafeEqual } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { endToEndHeaders, firstValue, fleetHeaders } from "./headers.js";
import type { OpenCaller } from "./open-caller.js";

/** The path at which callers ask for addresses. */
export const addressesPath = "/.well-known/cassiapick/addresses";

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
    maxBodyBytes: number;
    /** The token that other entry hosts present with a request that they pass on. */
    hopToken: string;
    now: () => number;
    /** Answers which addresses to use. */
    onAddresses: (brand: string | undefined, kind: string | undefined) => unknown;
    /** Takes a whole request. */
    onRequest: (caller: OpenCaller) => void;
    /** The caller closed its connection before its answer was complete. */
    onGone: (caller: OpenCaller) => void;
}

const defaultDeadlineMs = 10_000;
const maxDeadlineMs = 600_000;
const maxHeaderBytes = 32_768;
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;
const keepAliveTimeoutMs = 15_000;
const maxKeyLength = 255;

const badRequest = 400;
const payloadTooLarge = 413;

const refuseEarly = (res: ServerResponse, status: number, message: string): void => {
    res.writeHead(status, { "content-type": "application/json", [fleetHeaders.outcome]: "not-run", "connection": "close" });
    res.end(JSON.stringify({ kind: "bad-request", outcome: "not-run", message }));
};

const readBody = async (req: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxBytes) {
            return undefined;
        }
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
};

/** The brand is named by a header, or else by the first label of the host name. */
const brandOf = (req: IncomingMessage): string =>
    firstValue(req.headers[fleetHeaders.brand]) ?? (req.headers.host ?? "").split(/[.:]/)[0] ?? "";

const kindOf = (path: string): string => path.split(/[/?#]/)[1] ?? "";

const sameText = (a: string, b: string): boolean => {
    const digest = (text: string): Buffer => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(a), digest(b));
};

const fingerprintOf = (method: string, path: string, body: Buffer): string =>
    createHash("sha256").update(`${method} ${path}\n`).update(body).digest("base64url");

/** Creates the server; it does not listen yet. */
export const createCallerServer = (options: CallerServerOptions): Server => {
    const build = (req: IncomingMessage, res: ServerResponse, body: Buffer): OpenCaller => {
        const path = req.url ?? "/";
        const method = req.method ?? "GET";
        const hopToken = firstValue(req.headers[fleetHeaders.hopToken]);
        const isPassedOn = hopToken !== undefined && sameText(hopToken, options.hopToken);
        const visited = isPassedOn
            ? (firstValue(req.headers[fleetHeaders.visited]) ?? "").split(",").filter(id => id !== "")
            : [];
        const asked = Number(firstValue(req.headers[fleetHeaders.deadline]) ?? defaultDeadlineMs);
        const deadlineMs = Number.isFinite(asked) && asked > 0 ? Math.min(asked, maxDeadlineMs) : defaultDeadlineMs;
        const now = options.now();
        return {
            info: {
                requestId: isPassedOn ? firstValue(req.headers[fleetHeaders.requestId]) ?? randomUUID() : randomUUID(),
                brand: brandOf(req),
                kind: kindOf(path),
                method,
                idempotencyKey: firstValue(req.headers["idempotency-key"]),
                fingerprint: fingerprintOf(method, path, body),
                deadlineAt: now + deadlineMs,
                visited,
            },
            path,
            headers: endToEndHeaders(req.headers),
            body,
            res,
            isPassedOn,
            arrivedAt: now,
        };
    };

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const url = req.url ?? "/";
        if (url.startsWith(addressesPath)) {
            const query = new URL(url, "http://localhost").searchParams;
            res.writeHead(200, { "content-type": "application/json", "cache-control": "no-store" });
            res.end(JSON.stringify(options.onAddresses(query.get("brand") ?? undefined, query.get("kind") ?? undefined)));
            return;
        }
        const body = await readBody(req, options.maxBodyBytes);
        if (body === undefined) {
            refuseEarly(
                res,
                payloadTooLarge,
                `The body is larger than ${options.maxBodyBytes} bytes. Send less, or raise --max-body-bytes.`,
            );
            return;
        }
        const key = firstValue(req.headers["idempotency-key"]);
        if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
            refuseEarly(res, badRequest, `The Idempotency-Key must have 1 to ${maxKeyLength} characters.`);
            return;
        }
        const caller = build(req, res, body);
        res.on("close", () => {
            if (!res.writableFinished) {
                options.onGone(caller);
            }
        });
        options.onRequest(caller);
    };

    const server = createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true }, (req, res) => {
        // A body that breaks off never becomes a request.
        serve(req, res).catch(() => res.destroy());
    });
    server.headersTimeout = headersTimeoutMs;
    server.requestTimeout = requestTimeoutMs;
    server.keepAliveTimeout = keepAliveTimeoutMs;
    return server;
};
