/** A caller's request that waits for its answer. */
import { Outcome } from "@cassiapick/core";
import type { Refusal, RequestInfo, StoredAnswer } from "@cassiapick/core";
import type { ServerResponse } from "node:http";
import type { AnswerHead, AnswerSink } from "./exchange.js";
import { endToEndHeaders, fleetHeaders } from "./headers.js";
import type { HeaderMap } from "./headers.js";

/** What the adapter keeps of a request while the decisions are made. */
export interface OpenCaller {
    info: RequestInfo;
    path: string;
    headers: HeaderMap;
    body: Buffer;
    res: ServerResponse;
    /** Whether another entry host passed the request on to this one. */
    isPassedOn: boolean;
    arrivedAt: number;
    /** The backend server that was tried last. */
    lastServerId?: string;
}

/** Statuses of refusals by the fleet itself. */
const statusByKind: Readonly<Record<Refusal["kind"], number>> = {
    "unknown-brand": 404,
    "unknown-kind": 404,
    "no-tables": 503,
    "no-capacity": 503,
    "no-servers": 503,
    "deadline-passed": 504,
    "draining": 503,
    "claim-unavailable": 503,
    "already-started": 409,
    "key-mismatch": 422,
    "bad-request": 400,
    "attempt-failed": 502,
};

const msPerSecond = 1000;

const setCommonHeaders = (caller: OpenCaller, outcome: Outcome, hostId: string, closing: boolean): void => {
    const { res, info } = caller;
    res.setHeader(fleetHeaders.outcome, outcome);
    res.setHeader(fleetHeaders.requestId, info.requestId);
    res.setHeader(fleetHeaders.servedBy, hostId);
    if (caller.lastServerId !== undefined && caller.isPassedOn) {
        res.setHeader(fleetHeaders.server, caller.lastServerId);
    }
    if (closing) {
        res.setHeader("connection", "close");
    }
};

/** Writes answers of one host. */
export interface CallerAnswers {
    refuse(caller: OpenCaller, refusal: Refusal): void;
    whole(caller: OpenCaller, head: AnswerHead, body: Buffer): void;
    replay(caller: OpenCaller, answer: StoredAnswer): void;
    /** A sink that passes a large answer on as it comes. */
    sink(caller: OpenCaller): AnswerSink;
    /** Passes on the answer of another entry host, its outcome included. */
    passedOn(caller: OpenCaller, head: AnswerHead, body: Buffer): void;
}

/** Options of {@link createCallerAnswers}. */
export interface CallerAnswersOptions {
    hostId: string;
    isDraining: () => boolean;
}

const writeHeaders = (res: ServerResponse, headers: Record<string, string | string[] | undefined>): void => {
    for (const [name, value] of Object.entries(endToEndHeaders(headers))) {
        res.setHeader(name, value);
    }
};

/** Creates the writer of one host's answers. */
export const createCallerAnswers = (options: CallerAnswersOptions): CallerAnswers => {
    const common = (caller: OpenCaller, outcome: Outcome): void =>
        setCommonHeaders(caller, outcome, options.hostId, options.isDraining());

    const refuse = (caller: OpenCaller, refusal: Refusal): void => {
        const { res } = caller;
        if (res.headersSent || res.destroyed) {
            return;
        }
        common(caller, refusal.outcome);
        res.setHeader(fleetHeaders.reason, refusal.kind);
        res.setHeader("content-type", "application/json");
        if (refusal.retryAfterMs !== undefined) {
            // Retry-After counts whole seconds; the exact time stands in the body.
            res.setHeader("retry-after", Math.max(1, Math.ceil(refusal.retryAfterMs / msPerSecond)));
        }
        const { kind, outcome, retryAfterMs, message } = refusal;
        res.writeHead(statusByKind[kind]);
        res.end(JSON.stringify({ kind, outcome, retryAfterMs, message, requestId: caller.info.requestId }));
    };

    const whole = (caller: OpenCaller, head: AnswerHead, body: Buffer): void => {
        const { res } = caller;
        if (res.headersSent || res.destroyed) {
            return;
        }
        writeHeaders(res, head.headers);
        common(caller, Outcome.Completed);
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

    const replay = (caller: OpenCaller, answer: StoredAnswer): void => {
        caller.res.setHeader("idempotency-replayed", "true");
        const headers: Record<string, string[]> = {};
        for (const [name, value] of answer.headers) {
            headers[name] = [...headers[name] ?? [], value];
        }
        whole(caller, { status: answer.status, headers }, Buffer.from(answer.body));
    };

    const sink = (caller: OpenCaller): AnswerSink => ({
        begin: head => {
            const { res } = caller;
            writeHeaders(res, head.headers);
            common(caller, Outcome.Completed);
            const length = head.headers["content-length"];
            if (length !== undefined) {
                res.setHeader("content-length", length);
            }
            res.writeHead(head.status);
        },
        write: (chunk, onDrain) => {
            const isRoomLeft = caller.res.write(chunk);
            if (!isRoomLeft) {
                caller.res.once("drain", onDrain);
            }
            return isRoomLeft;
        },
    });

    const passedOn = (caller: OpenCaller, head: AnswerHead, body: Buffer): void => {
        const { res } = caller;
        if (res.headersSent || res.destroyed) {
            return;
        }
        writeHeaders(res, head.headers);
        common(caller, Outcome.Completed);
        for (const name of [fleetHeaders.outcome, fleetHeaders.reason, fleetHeaders.servedBy, "content-length"]) {
            const value = head.headers[name];
            if (value !== undefined) {
                res.setHeader(name, value);
            }
        }
        res.writeHead(head.status);
        res.end(body);
    };

    return { refuse, whole, replay, sink, passedOn };
};
