/** Writes answers and refusals to callers. */
import { Outcome, ownValue } from "@cassiapick/core";
import type { Refusal, RequestInfo, StoredAnswer } from "@cassiapick/core";
import type { ServerResponse } from "node:http";
import type { AnswerHead, AnswerSink } from "./exchange.js";
import { endToEndHeaders, fleetHeaders } from "./headers.js";
import type { HeaderMap } from "./headers.js";

/** A caller whose request has no complete answer yet. */
export interface PendingCaller {
    info: RequestInfo;
    /** Path with query. */
    path: string;
    /** End-to-end headers of the request. */
    headers: HeaderMap;
    body: Buffer;
    res: ServerResponse;
    /** Whether another entry host forwarded the request to this one. */
    isForwarded: boolean;
    /** When the request was complete, in milliseconds of the monotonic clock. */
    arrivedAt: number;
    /** The backend server of the latest attempt. */
    lastServerId?: string;
}

/** HTTP status of each refusal by the fleet itself. */
const statusByRefusalKind: Readonly<Record<Refusal["kind"], number>> = {
    "unknown-brand": 404,
    "unknown-kind": 404,
    "no-tables": 503,
    "no-capacity": 503,
    "no-servers": 503,
    "deadline-passed": 504,
    "draining": 503,
    "claim-unavailable": 503,
    "quarantined": 503,
    "already-started": 409,
    "key-mismatch": 422,
    "bad-request": 400,
    "attempt-failed": 502,
};

const msPerSecond = 1000;

const setResponseHeaders = (caller: PendingCaller, outcome: Outcome, hostId: string, closeConnection: boolean): void => {
    const { res, info } = caller;
    res.setHeader(fleetHeaders.outcome, outcome);
    res.setHeader(fleetHeaders.requestId, info.requestId);
    res.setHeader(fleetHeaders.servedBy, hostId);
    if (caller.lastServerId !== undefined && caller.isForwarded) {
        res.setHeader(fleetHeaders.server, caller.lastServerId);
    }
    if (closeConnection) {
        res.setHeader("connection", "close");
    }
};

/** Writes the answers of one host. Refusals and complete answers are dropped when the caller has an answer already or has disconnected. */
export interface CallerAnswerWriter {
    sendRefusal(caller: PendingCaller, refusal: Refusal): void;
    /** Sends a complete answer of a backend server. */
    sendComplete(caller: PendingCaller, head: AnswerHead, body: Buffer): void;
    /** Sends a stored answer again, marked by the header `idempotency-replayed`. */
    sendReplay(caller: PendingCaller, answer: StoredAnswer): void;
    /** Creates a sink that streams a large answer to the caller. */
    createSink(caller: PendingCaller): AnswerSink;
    /** Sends the answer of another entry host and keeps its fleet headers, such as the outcome. */
    sendForwarded(caller: PendingCaller, head: AnswerHead, body: Buffer): void;
}

/** Options of {@link createCallerAnswerWriter}. */
export interface CallerAnswerWriterOptions {
    hostId: string;
    isDraining: () => boolean;
}

const setEndToEndHeaders = (res: ServerResponse, headers: Record<string, string | string[] | undefined>): void => {
    for (const [name, value] of Object.entries(endToEndHeaders(headers))) {
        res.setHeader(name, value);
    }
};

/** Creates the answer writer of one host. */
export const createCallerAnswerWriter = (options: CallerAnswerWriterOptions): CallerAnswerWriter => {
    const setHeaders = (caller: PendingCaller, outcome: Outcome): void =>
        setResponseHeaders(caller, outcome, options.hostId, options.isDraining());

    const sendRefusal = (caller: PendingCaller, refusal: Refusal): void => {
        const { res } = caller;
        if (res.headersSent || res.destroyed) {
            return;
        }
        setHeaders(caller, refusal.outcome);
        res.setHeader(fleetHeaders.reason, refusal.kind);
        res.setHeader("content-type", "application/json");
        if (refusal.retryAfterMs !== undefined) {
            // Retry-After has whole seconds; the body has the exact time.
            res.setHeader("retry-after", Math.max(1, Math.ceil(refusal.retryAfterMs / msPerSecond)));
        }
        const { kind, outcome, retryAfterMs, message } = refusal;
        res.writeHead(statusByRefusalKind[kind]);
        res.end(JSON.stringify({ kind, outcome, retryAfterMs, message, requestId: caller.info.requestId }));
    };

    const sendComplete = (caller: PendingCaller, head: AnswerHead, body: Buffer): void => {
        const { res } = caller;
        if (res.headersSent || res.destroyed) {
            return;
        }
        setEndToEndHeaders(res, head.headers);
        setHeaders(caller, Outcome.Completed);
        if (caller.info.method === "HEAD") {
            const length = head.headers["content-length"];
            if (length !== undefined) {
                res.setHeader("content-length", length);
            }
        }
        else {
            res.setHeader("content-length", body.length);
        }
        res.writeHead(head.status);
        res.end(body);
    };

    const sendReplay = (caller: PendingCaller, answer: StoredAnswer): void => {
        caller.res.setHeader("idempotency-replayed", "true");
        const headers = new Map<string, string[]>();
        for (const [name, value] of answer.headers) {
            headers.set(name, [...headers.get(name) ?? [], value]);
        }
        sendComplete(caller, { status: answer.status, headers: Object.fromEntries(headers) }, Buffer.from(answer.body));
    };

    const createSink = (caller: PendingCaller): AnswerSink => ({
        begin: head => {
            const { res } = caller;
            setEndToEndHeaders(res, head.headers);
            setHeaders(caller, Outcome.Completed);
            const length = head.headers["content-length"];
            if (length !== undefined) {
                res.setHeader("content-length", length);
            }
            res.writeHead(head.status);
        },
        write: (chunk, onDrain) => {
            const hasRoom = caller.res.write(chunk);
            if (!hasRoom) {
                caller.res.once("drain", onDrain);
            }
            return hasRoom;
        },
    });

    const sendForwarded = (caller: PendingCaller, head: AnswerHead, body: Buffer): void => {
        const { res } = caller;
        if (res.headersSent || res.destroyed) {
            return;
        }
        setEndToEndHeaders(res, head.headers);
        setHeaders(caller, Outcome.Completed);
        for (const name of [fleetHeaders.outcome, fleetHeaders.reason, fleetHeaders.servedBy, "content-length"]) {
            const value = ownValue(head.headers, name);
            if (value !== undefined) {
                res.setHeader(name, value);
            }
        }
        res.writeHead(head.status);
        res.end(body);
    };

    return { sendRefusal, sendComplete, sendReplay, createSink, sendForwarded };
};
