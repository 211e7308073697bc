/** Serves callers over HTTP: reads and routes requests, runs them, and forwards the answers. */
import { maxParsedHeadBytes } from "@cassiapick/core";
import type { ByteBudget, CallerLimits, PieceBudget } from "@cassiapick/core";
import { requestKeyOf, trackConnections } from "@cassiapick/operations";
import type { EventLog } from "@cassiapick/operations";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AnswerWriter } from "./answer-writer.js";
import { ReplyKind } from "./caller-request.js";
import type { AccessLossReply, CallerRequest, Reply, RequestRun } from "./caller-request.js";
import type { AccessLoss, ConfigInForce, RoutingQuery } from "./config-in-force.js";
import { endUnread } from "./end-unread.js";
import type { GatewayMetrics } from "./gateway-metrics.js";
import { endToEndHeaders, headerValue } from "./headers.js";
import type { HeaderNames } from "./headers.js";
import { callerDeadlineMs, keyDigestIn, serverHeaders } from "./incoming-request.js";
import { listenOn } from "./listen-on.js";
import { createOutcomeLog } from "./outcome-log.js";
import { readBody } from "./read-body.js";

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
    headerNames: HeaderNames;
    configInForce: Pick<ConfigInForce, "route" | "waitForRoute" | "accessLoss">;
    run: (req: CallerRequest) => RequestRun;
    answerWriter: AnswerWriter;
    clock: () => number;
    log: EventLog;
    metrics: GatewayMetrics;
    /** The bytes of requests and answers that this host may hold. */
    budget?: ByteBudget;
    /** The short pieces of bodies that this host takes. */
    pieceBudget?: PieceBudget;
}

/** HTTP server for callers. */
export interface CallerServer {
    /** Resolves with the port. */
    listen(host: string, port: number): Promise<number>;
    setLimits(limits: CallerLimits): void;
    /** From now on, answers carry `Connection: close`. */
    startDraining(): void;
    /** Accepts no further connections, and refuses requests that arrive on open ones. */
    stopAccepting(): void;
    /** Refuses the requests that have been sent to no server, and sends none for the first time any more. */
    refuseUnsent(): void;
    /** Number of requests in flight. */
    openRequestCount(): number;
    close(): void;
}

const defaultLimits: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
};
const msPerSecond = 1000;
/** Fraction of the caller's deadline that a request may wait for the newest configuration. */
const maxConfigWaitFraction = 0.3;

/** `Retry-After` of a stopping host, in milliseconds: other hosts take the request at once. */
const stoppingRetryAfterMs = 20;

const statusByReplyKind: Record<Exclude<ReplyKind, ReplyKind.Answer | ReplyKind.CallerDisconnected>, number> = {
    [ReplyKind.Refused]: 503,
    [ReplyKind.OverQuota]: 429,
    [ReplyKind.Unauthorized]: 401,
    [ReplyKind.Failed]: 502,
    [ReplyKind.TimedOut]: 504,
};

const unauthorizedText = "This request needs a key that is in force. Send it with one.";

const replyToAccessLoss = (loss: AccessLoss): AccessLossReply =>
    loss.kind === "unauthorized"
        ? { kind: ReplyKind.Unauthorized, reason: "the key of the request was withdrawn" }
        : { kind: ReplyKind.Refused, retryAfterMs: loss.retryAfterMs, reason: loss.reason };

/** When a request may return whose body found no room, in milliseconds. */
const noRoomRetryAfterMs = 1000;
/** Creates the server for callers. */
export const createCallerServer = (options: CallerServerOptions): CallerServer => {
    const { headerNames, configInForce, clock, log, metrics } = options;
    const openRuns = new Set<RequestRun>();
    let limits = defaultLimits;
    let isDraining = false;
    let isRefusing = false;
    const logOutcome = createOutcomeLog(options);

    const respond = (
        req: IncomingMessage,
        res: ServerResponse,
        status: number,
        text: string,
        retryAfterMs?: number,
        hasUnreadBody = false,
    ): void => {
        if (res.destroyed || res.headersSent) {
            return;
        }
        const requestId = headerValue(req.rawHeaders, headerNames.requestId);
        const retryAfter = retryAfterMs === undefined ? [] : ["Retry-After", (retryAfterMs / msPerSecond).toFixed(2)];
        const body = Buffer.from(`${text}\n`);
        res.writeHead(status, [
            ...(requestId === undefined ? [] : [headerNames.requestId, requestId]),
            ...retryAfter,
            ...(isDraining || hasUnreadBody ? ["Connection", "close"] : []),
            "Content-Type",
            "text/plain",
            "Content-Length",
            String(body.length),
        ]);
        if (hasUnreadBody) {
            res.write(body);
            endUnread(req, res);
        }
        else {
            res.end(body);
        }
    };

    const forwardAnswer = (
        res: ServerResponse,
        answer: Extract<Reply, { kind: ReplyKind.Answer; }>["answer"],
        { route, priority }: CallerRequest,
    ): void => {
        if (res.destroyed) {
            answer.stream?.destroy();
            return;
        }
        const { stream } = answer;
        const headers = endToEndHeaders(answer.headers, stream === undefined ? ["content-length"] : []);
        const length = stream === undefined ? ["Content-Length", String(answer.body.length)] : [];
        res.writeHead(answer.status, [...headers, ...length, ...(isDraining ? ["Connection", "close"] : [])]);
        options.answerWriter.write(res, answer, route.hasLargeAnswers === true ? priority : undefined);
    };

    const runAndRespond = async (req: IncomingMessage, res: ServerResponse, caller: CallerRequest): Promise<void> => {
        const run = options.run(caller);
        res.on("close", () => {
            if (!res.writableFinished) {
                run.cancel();
            }
        });
        openRuns.add(run);
        const reply = await run.reply;
        openRuns.delete(run);
        logOutcome(caller, reply);
        if (reply.kind === ReplyKind.CallerDisconnected) {
            return;
        }
        if (reply.kind === ReplyKind.Answer) {
            forwardAnswer(res, reply.answer, caller);
            return;
        }
        respond(
            req,
            res,
            statusByReplyKind[reply.kind],
            reply.kind === ReplyKind.Unauthorized ? unauthorizedText : reply.reason,
            "retryAfterMs" in reply ? reply.retryAfterMs : undefined,
        );
    };

    const handleRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const arrivedAt = clock();
        const read = await readBody(req, {
            maxBytes: limits.maxBodyBytes,
            budget: options.budget,
            pieceBudget: options.pieceBudget,
        });
        if (read.kind === "too-long") {
            respond(req, res, 413, `The body is longer than ${limits.maxBodyBytes} bytes. Send a shorter one.`, undefined, true);
        }
        if (read.kind === "no-room") {
            const requestId = headerValue(req.rawHeaders, headerNames.requestId);
            log.log("requestRefused", { requestId, reason: "the host holds too many bytes to read the body", target: req.url });
            metrics.increment("cassiapick_requests_total", { route: "", outcome: "no-memory" });
            respond(req, res, 503, "This host holds too many bytes. Send the request again later.", noRoomRetryAfterMs, true);
        }
        if (read.kind !== "complete") {
            return;
        }
        const { body } = read;
        const hasLeft = (): boolean => res.destroyed;
        if (hasLeft()) {
            read.release();
            return;
        }
        res.once("close", read.release);
        const hostHeader = headerValue(req.rawHeaders, "host") ?? "";
        const target = req.url ?? "/";
        const deadlineMs = callerDeadlineMs(req, headerNames);
        const query: RoutingQuery = { hostHeader, target, keyDigest: keyDigestIn(req, headerNames), arrivedAt };
        let routing = configInForce.route(query);
        if (routing.kind === "unsure") {
            const waitMs = Math.min(routing.waitMs, deadlineMs * maxConfigWaitFraction);
            routing = await configInForce.waitForRoute(query, waitMs);
        }
        if (hasLeft()) {
            return;
        }
        const requestId = headerValue(req.rawHeaders, headerNames.requestId);
        if (isRefusing) {
            log.log("requestRefused", { requestId, reason: "the host is stopping", hostHeader, target });
            metrics.increment("cassiapick_requests_total", { route: "", outcome: "stopping" });
            respond(req, res, 503, "This host is stopping. Send the request to another host.", stoppingRetryAfterMs);
            return;
        }
        if (routing.kind === "unrouted") {
            log.log("requestUnrouted", { requestId, hostHeader, target, configNumber: routing.configNumber });
            metrics.increment("cassiapick_requests_total", { route: "", outcome: "unrouted" });
            respond(req, res, 404, "No route takes this request. Check the host name and the path.");
            return;
        }
        const callerAddress = req.socket.remoteAddress ?? "";
        if (routing.kind === "unsure") {
            log.log("requestRefused", { requestId, reason: routing.reason, hostHeader, target });
            metrics.increment("cassiapick_requests_total", { route: "", outcome: "unsure" });
            respond(
                req,
                res,
                503,
                "This host does not know the newest configuration yet. Come back later.",
                routing.retryAfterMs,
            );
            return;
        }
        const { route, configNumber } = routing;
        if (routing.kind === "unauthorized") {
            const { reason } = routing;
            const waitedMs = Math.round(clock() - arrivedAt);
            log.log("requestUnauthorized", {
                requestId,
                route: route.name,
                configNumber,
                reason,
                caller: callerAddress,
                waitedMs,
            });
            metrics.increment("cassiapick_requests_total", { route: route.name, outcome: ReplyKind.Unauthorized });
            respond(req, res, statusByReplyKind[ReplyKind.Unauthorized], unauthorizedText);
            return;
        }
        const { workspace } = routing;
        const method = req.method ?? "GET";
        await runAndRespond(req, res, {
            requestId,
            requestKey: requestKeyOf({ method, host: hostHeader, target, body }),
            callerAddress,
            route,
            configNumber,
            workspace: workspace?.name,
            priority: workspace?.priority ?? route.priority,
            method,
            target,
            headers: serverHeaders(req, body, headerNames, workspace?.name),
            body,
            arrivedAt,
            deadlineAt: arrivedAt + Math.min(route.timeoutMs, deadlineMs),
            accessLoss: () => {
                const loss = configInForce.accessLoss(query, route, workspace?.name);
                return loss === undefined ? undefined : replyToAccessLoss(loss);
            },
        });
    };

    /**
     * Closes the responses to requests that a caller sent before earlier ones were answered. They have no socket yet, so the HTTP
     * library doesn't tell them that the connection is gone.
     */
    const closeQueued = (responses: ReadonlySet<ServerResponse>): void => {
        for (const res of [...responses].filter(({ socket }) => socket === null)) {
            res.destroy();
            res.emit("close");
        }
    };

    const server: Server = createServer({ maxHeaderSize: maxParsedHeadBytes, noDelay: true, requestTimeout: 0 });
    const connections = trackConnections(server, { onClosed: closeQueued });
    server.on("request", (req, res) => {
        handleRequest(req, res).catch((err: unknown) => {
            log.log("internalFault", { message: (err as Error).message, stack: (err as Error).stack });
            respond(req, res, 502, "This host met a fault of its own.");
        });
    });
    server.on("clientError", (_err, socket) => {
        if (socket.writable) {
            socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        }
    });
    server.keepAliveTimeout = defaultLimits.idleTimeoutMs;
    server.headersTimeout = 0;

    return {
        listen: (host, port) => listenOn(server, host, port),
        setLimits: next => {
            limits = next;
            server.keepAliveTimeout = next.idleTimeoutMs;
        },
        startDraining: () => {
            isDraining = true;
        },
        stopAccepting: () => {
            isRefusing = true;
            connections.stopListening();
            connections.closeIdle();
        },
        refuseUnsent: () => {
            const refusal = {
                kind: ReplyKind.Refused,
                retryAfterMs: stoppingRetryAfterMs,
                reason: "the host is stopping",
            } as const;
            for (const run of openRuns) {
                run.refuseUnsent(refusal);
            }
        },
        openRequestCount: connections.openResponseCount,
        close: connections.closeAll,
    };
};
