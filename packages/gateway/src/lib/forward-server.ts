/**
 * Accepts requests of other entry hosts that have lost their path to the backend servers, and makes one attempt for each at a
 * server. It never asks a further host, so requests don't go round.
 */
import { Admission, AttemptOutcome } from "@cassiapick/core";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AnswerWriter } from "./answer-writer.js";
import type { Attempt, AttemptResult } from "./attempt.js";
import { endUnread } from "./end-unread.js";
import { decodeForwardRequest, encodeForwardResult, forwardResultHeader, forwardTarget } from "./forward-protocol.js";
import type { ForwardRequest, ForwardResult } from "./forward-protocol.js";
import type { GatewayMetrics } from "./gateway-metrics.js";
import { listenOn } from "./listen-on.js";
import { readBody } from "./read-body.js";
import { startServerAttempt } from "./server-attempt.js";
import type { ServerAttemptDependencies } from "./server-attempt.js";

/** Options of {@link createForwardServer}. */
export interface ForwardServerOptions extends ServerAttemptDependencies {
    metrics: GatewayMetrics;
    /** Longest body of a caller's request, in bytes. */
    maxBodyBytes: () => number;
    answerWriter: AnswerWriter;
}

/** Server for other entry hosts. */
export interface ForwardServer {
    /** Resolves with the port. */
    listen(host: string, port: number): Promise<number>;
    /** From now on, requests are turned away before they are read. */
    startDraining(): void;
    /** Number of requests in flight. */
    openRequestCount(): number;
    close(): void;
}

/** Most requests of other hosts at the same time, so that callers of this host are served too. */
const maxOpenRequests = 200;
/** Bytes of a request beyond the caller's body: its head and the other fields. */
const envelopeBytes = 128 * 1024;

const unavailable = (detail: string): ForwardResult => ({ outcome: AttemptOutcome.NotSent, detail, isUnavailable: true });

const sendResult = (res: ServerResponse, result: ForwardResult, bodyLength?: number): void => {
    res.writeHead(200, [
        forwardResultHeader,
        encodeForwardResult(result),
        ...(bodyLength === undefined ? [] : ["Content-Length", String(bodyLength)]),
        "Connection",
        "close",
    ]);
};

/** Creates the server of one entry host. */
export const createForwardServer = (options: ForwardServerOptions): ForwardServer => {
    const { clock, log, metrics, pool, path } = options;
    let openRequestCount = 0;
    let isDraining = false;

    const end = (res: ServerResponse, result: ForwardResult): void => {
        sendResult(res, result, 0);
        res.end();
    };

    const deliver = (res: ServerResponse, result: AttemptResult, hasServerEnded: boolean): void => {
        const { outcome, detail, server, isLeaving, answer } = result;
        if (res.destroyed) {
            answer?.stream?.destroy();
            return;
        }
        if (answer === undefined) {
            end(res, { outcome, detail, server, isLeaving, hasServerEnded });
            return;
        }
        const { status, headers, body, stream } = answer;
        sendResult(
            res,
            { outcome, detail, server, isLeaving, answer: { status, headers: [...headers] } },
            stream === undefined ? body.length : undefined,
        );
        options.answerWriter.write(res, answer);
    };

    /** Starts the attempt; returns the result without one if no server takes the request. */
    const startAttempt = (forwarded: ForwardRequest): Attempt | ForwardResult => {
        const { service, repeatability, remainingMs, latencyObjectiveMs, routeName, method, target } = forwarded;
        const { requestKey } = forwarded;
        if (requestKey !== undefined && options.quarantine.admit(requestKey, clock()).admission === Admission.Quarantined) {
            return unavailable("the request is quarantined");
        }
        if (forwarded.hasLargeAnswer === true && options.answerBudget?.isShort() === true) {
            return { ...unavailable("the host holds too many bytes of answers"), isShortOfMemory: true };
        }
        const choice = pool.choose(service, repeatability, new Set(forwarded.excluded), clock());
        if (choice === undefined) {
            return unavailable(path.isServiceLost(service) ? "no path to the servers" : "no server takes requests");
        }
        return startServerAttempt(
            {
                requestId: forwarded.requestId,
                requestKey: forwarded.requestKey,
                routeName,
                latencyObjectiveMs,
                service,
                repeatability,
                hasLargeAnswer: forwarded.hasLargeAnswer,
                method,
                target,
                headers: forwarded.headers,
                body: Buffer.from(forwarded.body.buffer, forwarded.body.byteOffset, forwarded.body.byteLength),
                deadlineAt: clock() + remainingMs,
            },
            choice,
            options,
        );
    };

    const handle = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const maxBytes = options.maxBodyBytes() + envelopeBytes;
        const read = await readBody(req, { maxBytes, budget: options.answerBudget, pieceBudget: options.pieceBudget });
        if (read.kind === "complete" && res.destroyed) {
            read.release();
        }
        if (read.kind === "cut" || res.destroyed) {
            return;
        }
        if (read.kind === "no-room") {
            sendResult(res, { ...unavailable("the host holds too many bytes"), isShortOfMemory: true }, 0);
            endUnread(req, res);
            return;
        }
        if (read.kind === "complete") {
            res.once("close", read.release);
        }
        const forwarded = read.kind === "complete" ? decodeForwardRequest(read.body) : undefined;
        if (forwarded === undefined) {
            log.log("peerRejected", {
                reason: "A request of another entry host can't be read.",
                address: req.socket.remoteAddress,
            });
            res.writeHead(400, ["Connection", "close"]).end();
            return;
        }
        const attempt = startAttempt(forwarded);
        const { routeName: route, requestId } = forwarded;
        if (!("result" in attempt)) {
            metrics.increment("cassiapick_forwarded_total", { route, outcome: "unavailable" });
            log.log("forwardRefused", { requestId, route, reason: attempt.detail });
            end(res, attempt);
            return;
        }
        res.on("close", () => attempt.cancel());
        const result = await attempt.result;
        metrics.increment("cassiapick_forwarded_total", { route, outcome: result.outcome });
        // Only a broken attempt, which has no answer, waits for the check of its server.
        deliver(res, result, result.answer === undefined && await attempt.hasServerEnded);
    };

    const accept = (req: IncomingMessage, res: ServerResponse): void => {
        if (req.method !== "POST" || req.url !== forwardTarget) {
            res.writeHead(404, ["Connection", "close"]).end();
            return;
        }
        if (isDraining || openRequestCount >= maxOpenRequests) {
            end(res, unavailable(isDraining ? "the host is stopping" : "too many requests of other hosts"));
            return;
        }
        openRequestCount += 1;
        res.once("close", () => {
            openRequestCount -= 1;
        });
        res.writeContinue();
        handle(req, res).catch((err: unknown) => {
            log.log("internalFault", { message: (err as Error).message, stack: (err as Error).stack });
            res.destroy();
        });
    };

    const server = createServer({ noDelay: true, requestTimeout: 0 });
    server.on("checkContinue", accept);
    // Without the confirmation a request could run after the other host has given it up.
    server.on("request", (_req, res) => res.writeHead(417, ["Connection", "close"]).end());

    return {
        listen: (host, port) => listenOn(server, host, port),
        startDraining: () => {
            isDraining = true;
        },
        openRequestCount: () => openRequestCount,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
};
