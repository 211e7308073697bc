/** HTTP server for callers: reads requests and serves entry host addresses. */
import { createPieceBudget } from "@cassiapick/core";
import { requestKeyOf } from "@cassiapick/operations";
import { collectBytes, createPiecePacer, createReadGate } from "@cassiapick/wire";
import { createHash, randomUUID, timingSafeEqual } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { PendingCaller } from "./caller-answer-writer.js";
import { endToEndHeaders, firstValue, fleetHeaders } from "./headers.js";

/** Path at which callers get the addresses of entry hosts to use. */
export const addressesPath = "/.well-known/cassiapick/addresses";

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
    maxBodyBytes: number;
    /** The token that other entry hosts present with a forwarded request. */
    hopToken: string;
    /** Monotonic time in milliseconds. */
    now: () => number;
    /** Returns the body of an address answer, which is sent as JSON. */
    onAddresses: (brand: string | undefined, kind: string | undefined) => unknown;
    /** Called with each request once its body is complete. */
    onRequest: (caller: PendingCaller) => void;
    /** Called when the caller closes its connection before its answer is complete. */
    onDisconnect: (caller: PendingCaller) => void;
}

const defaultDeadlineMs = 10_000;
const maxDeadlineMs = 600_000;
const maxHeaderBytes = 32_768;
const headersTimeoutMs = 10_000;
const requestTimeoutMs = 30_000;
const keepAliveTimeoutMs = 15_000;
const maxKeyLength = 255;

const badRequestStatus = 400;
const payloadTooLargeStatus = 413;

/** Answers a request that is not accepted; the connection is closed, since part of the body may be unread. */
const rejectRequest = (res: ServerResponse, status: number, message: string): void => {
    res.writeHead(status, { "content-type": "application/json", [fleetHeaders.outcome]: "not-run", "connection": "close" });
    res.end(JSON.stringify({ kind: "bad-request", outcome: "not-run", message }));
};

/** Returns the brand from its header, or else the first label of the host name. */
const brandOf = (req: IncomingMessage): string =>
    firstValue(req.headers[fleetHeaders.brand]) ?? (req.headers.host ?? "").split(/[.:]/)[0] ?? "";

/** Returns the first segment of the path, which names the kind of request. */
const kindOf = (path: string): string => path.split(/[/?#]/)[1] ?? "";

/** Compares two tokens in constant time. */
const isSameToken = (a: string, b: string): boolean => {
    const digest = (text: string): Buffer => createHash("sha256").update(text).digest();
    return timingSafeEqual(digest(a), digest(b));
};

/** Digest that detects an idempotency key that is reused for a different request. */
const fingerprintOf = (method: string, path: string, body: Buffer): string =>
    createHash("sha256").update(`${method} ${path}\n`).update(body).digest("base64url");

/** Creates the server; the caller of this function makes it listen. */
export const createCallerServer = (options: CallerServerOptions): Server => {
    const pieceBudget = createPieceBudget();
    const createPendingCaller = (req: IncomingMessage, res: ServerResponse, body: Buffer): PendingCaller => {
        const path = req.url ?? "/";
        const method = req.method ?? "GET";
        const hopToken = firstValue(req.headers[fleetHeaders.hopToken]);
        const isForwarded = hopToken !== undefined && isSameToken(hopToken, options.hopToken);
        const visited = isForwarded
            ? (firstValue(req.headers[fleetHeaders.visited]) ?? "").split(",").filter(id => id !== "")
            : [];
        const requestedDeadlineMs = Number(firstValue(req.headers[fleetHeaders.deadline]) ?? defaultDeadlineMs);
        const deadlineMs = Number.isFinite(requestedDeadlineMs) && requestedDeadlineMs > 0
            ? Math.min(requestedDeadlineMs, maxDeadlineMs)
            : defaultDeadlineMs;
        const now = options.now();
        const brand = brandOf(req);
        const forwardedKey = isForwarded ? firstValue(req.headers[fleetHeaders.requestKey]) : undefined;
        return {
            info: {
                requestId: isForwarded ? firstValue(req.headers[fleetHeaders.requestId]) ?? randomUUID() : randomUUID(),
                brand,
                kind: kindOf(path),
                method,
                idempotencyKey: firstValue(req.headers["idempotency-key"]),
                fingerprint: fingerprintOf(method, path, body),
                requestKey: forwardedKey ?? requestKeyOf({ method, host: brand, target: path, body }),
                deadlineAt: now + deadlineMs,
                visited,
            },
            path,
            headers: endToEndHeaders(req.headers),
            body,
            res,
            isForwarded,
            arrivedAt: now,
        };
    };

    const handleRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const url = req.url ?? "/";
        if (url.startsWith(addressesPath)) {
            const query = new URL(url, "http://localhost").searchParams;
            res.writeHead(200, { "content-type": "application/json", "cache-control": "no-store" });
            res.end(JSON.stringify(options.onAddresses(query.get("brand") ?? undefined, query.get("kind") ?? undefined)));
            return;
        }
        const body = await collectBytes(req, {
            maxBytes: options.maxBodyBytes,
            pacer: createPiecePacer(createReadGate(req.socket), pieceBudget),
        });
        if (body === undefined) {
            rejectRequest(
                res,
                payloadTooLargeStatus,
                `The body is larger than ${options.maxBodyBytes} bytes. Send less, or raise --max-body-bytes.`,
            );
            return;
        }
        const key = firstValue(req.headers["idempotency-key"]);
        if (key !== undefined && (key.length === 0 || key.length > maxKeyLength)) {
            rejectRequest(res, badRequestStatus, `The Idempotency-Key must have 1 to ${maxKeyLength} characters.`);
            return;
        }
        const caller = createPendingCaller(req, res, body);
        res.on("close", () => {
            if (!res.writableFinished) {
                options.onDisconnect(caller);
            }
        });
        options.onRequest(caller);
    };

    const server = createServer({ maxHeaderSize: maxHeaderBytes, noDelay: true }, (req, res) => {
        // Reading a truncated body rejects, so an incomplete request is never handed to onRequest.
        handleRequest(req, res).catch(() => res.destroy());
    });
    server.headersTimeout = headersTimeoutMs;
    server.requestTimeout = requestTimeoutMs;
    server.keepAliveTimeout = keepAliveTimeoutMs;
    return server;
};
