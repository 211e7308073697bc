/** Serves callers over HTTP: reads and routes requests, runs them, and forwards the answers. */
import type { CallerLimits, GatewayRoute } from "@cassiapick/core";
import { requestKeyOf } from "@cassiapick/operations";
import type { EventLog } from "@cassiapick/operations";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { AnswerWriter } from "./answer-writer.js";
import type { GatewayMetrics } from "./gateway-metrics.js";
import { endToEndHeaders, headerValue } from "./headers.js";
import type { HeaderNames } from "./headers.js";
import { listenOn } from "./listen-on.js";
import { readBody } from "./read-body.js";
import { ReplyKind } from "./request-runner.js";
import type { CallerRequest, Reply, RequestRun } from "./request-runner.js";

/** Result of routing a request. */
export type RoutingResult =
    | { kind: "routed"; route: GatewayRoute; configNumber: number; }
    /** No route matches in a configuration that is known to be the newest. */
    | { kind: "unrouted"; configNumber: number; }
    /** The newest configuration is unknown; it may arrive within `waitMs`. */
    | { kind: "unsure"; retryAfterMs: number; waitMs: number; };

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
    headerNames: HeaderNames;
    route: (hostHeader: string, target: string) => RoutingResult;
    /** Resolves when a newer configuration is in force, or after `waitMs`. */
    waitForNextConfig: (waitMs: number) => Promise<void>;
    run: (req: CallerRequest) => RequestRun;
    answerWriter: AnswerWriter;
    clock: () => number;
    log: EventLog;
    metrics: GatewayMetrics;
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
    /** Number of requests in flight. */
    openRequestCount(): number;
    close(): void;
}

/** The parser rejects larger request heads, whatever the configuration allows. */
const maxParsedHeadBytes = 64 * 1024;
const defaultLimits: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
};
/** Without a caller's deadline, only the route's timeout applies. */
const noDeadlineMs = Infinity;
const msPerSecond = 1000;
/** Fraction of the caller's deadline that a request may wait for the first configuration. */
const maxConfigWaitFraction = 0.3;
/** Most served requests that are logged per second; the others are only counted. */
const maxServedLogsPerSecond = 20;

/** `Retry-After` of a stopping host, in milliseconds: other hosts take the request at once. */
const stoppingRetryAfterMs = 20;

const statusByReplyKind: Record<Exclude<ReplyKind, ReplyKind.Answer | ReplyKind.CallerDisconnected>, number> = {
    [ReplyKind.Refused]: 503,
    [ReplyKind.OverQuota]: 429,
    [ReplyKind.Failed]: 502,
    [ReplyKind.TimedOut]: 504,
};

/** Creates the server for callers. */
export const createCallerServer = (options: CallerServerOptions): CallerServer => {
    const { headerNames, clock, log, metrics } = options;
    /** The responses that are not finished, by connection. */
    const openResponses = new Map<Socket, Set<ServerResponse>>();
    let limits = defaultLimits;
    let openRequestCount = 0;
    let isDraining = false;
    let isRefusing = false;
    let logSecond = 0;
    let logsInSecond = 0;

    const mayLogServed = (): boolean => {
        const second = Math.floor(clock() / msPerSecond);
        logsInSecond = second === logSecond ? logsInSecond + 1 : 1;
        logSecond = second;
        return logsInSecond <= maxServedLogsPerSecond;
    };

    const respond = (req: IncomingMessage, res: ServerResponse, status: number, text: string, retryAfterMs?: number): void => {
        if (res.destroyed || res.headersSent) {
            return;
        }
        const requestId = headerValue(req.rawHeaders, headerNames.requestId);
        const retryAfter = retryAfterMs === undefined ? [] : ["Retry-After", (retryAfterMs / msPerSecond).toFixed(2)];
        const body = Buffer.from(`${text}\n`);
        res.writeHead(status, [
            ...(requestId === undefined ? [] : [headerNames.requestId, requestId]),
            ...retryAfter,
            ...(isDraining ? ["Connection", "close"] : []),
            "Content-Type",
            "text/plain",
            "Content-Length",
            String(body.length),
        ]);
        res.end(body);
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

    const logOutcome = (caller: CallerRequest, reply: Reply): void => {
        const elapsedMs = Math.round(clock() - caller.arrivedAt);
        const { requestId, requestKey, callerAddress, route, configNumber } = caller;
        const commonFields = { requestId, route: route.name, configNumber, elapsedMs };
        metrics.increment("cassiapick_requests_total", { route: route.name, outcome: reply.kind });
        metrics.observe("cassiapick_request_ms", elapsedMs);
        if (reply.kind === ReplyKind.Answer) {
            const { status } = reply.answer;
            if (status >= 400 || mayLogServed()) {
                const { serverId, attemptCount, detail } = reply;
                log.log("requestServed", { ...commonFields, status, serverId, sends: attemptCount, detail });
            }
        }
        else if (reply.kind === ReplyKind.CallerDisconnected) {
            log.log("callerLeft", commonFields);
        }
        else if (reply.kind === ReplyKind.Refused || reply.kind === ReplyKind.OverQuota) {
            log.log("requestRefused", {
                ...commonFields,
                requestKey,
                caller: callerAddress,
                reason: reply.reason,
                retryAfterMs: Math.round(reply.retryAfterMs),
            });
        }
        else {
            log.log("requestFailed", {
                ...commonFields,
                requestKey,
                caller: callerAddress,
                outcome: reply.kind,
                reason: reply.reason,
            });
        }
    };

    const runAndRespond = async (req: IncomingMessage, res: ServerResponse, caller: CallerRequest): Promise<void> => {
        const run = options.run(caller);
        res.on("close", () => {
            if (!res.writableFinished) {
                run.cancel();
            }
        });
        const reply = await run.reply;
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
            reply.reason,
            "retryAfterMs" in reply ? reply.retryAfterMs : undefined,
        );
    };

    const callerDeadlineMs = (req: IncomingMessage): number => {
        const text = headerValue(req.rawHeaders, headerNames.deadlineMs);
        const value = text === undefined ? NaN : Number(text);
        return Number.isFinite(value) && value >= 0 ? value : noDeadlineMs;
    };

    const handleRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const arrivedAt = clock();
        const read = await readBody(req, limits.maxBodyBytes);
        if (read.kind === "too-long") {
            respond(req, res, 413, `The body is longer than ${limits.maxBodyBytes} bytes. Send a shorter one.`);
            req.destroy();
        }
        if (read.kind !== "complete") {
            return;
        }
        const { body } = read;
        const hostHeader = headerValue(req.rawHeaders, "host") ?? "";
        const target = req.url ?? "/";
        const deadlineMs = callerDeadlineMs(req);
        let routing = options.route(hostHeader, target);
        if (routing.kind === "unsure" && routing.waitMs > 0) {
            await options.waitForNextConfig(Math.min(routing.waitMs, deadlineMs * maxConfigWaitFraction));
            routing = options.route(hostHeader, target);
        }
        if (res.destroyed) {
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
        if (routing.kind === "unsure") {
            log.log("requestRefused", { requestId, reason: "the newest configuration is not known", hostHeader, target });
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
        const hasBody = body.length > 0 || headerValue(req.rawHeaders, "content-length") !== undefined;
        const forwardedHeaders = endToEndHeaders(req.rawHeaders, [
            "content-length",
            headerNames.deadlineMs,
            headerNames.expectedServer,
        ]);
        const hasContentLength = hasBody || headerValue(req.rawHeaders, "transfer-encoding") !== undefined;
        const { route, configNumber } = routing;
        const method = req.method ?? "GET";
        const callerAddress = req.socket.remoteAddress ?? "";
        await runAndRespond(req, res, {
            requestId,
            requestKey: requestKeyOf({ method, host: hostHeader, target, body }),
            callerAddress,
            route,
            configNumber,
            priority: route.priority,
            method,
            target,
            headers: hasContentLength ? [...forwardedHeaders, "Content-Length", String(body.length)] : forwardedHeaders,
            body,
            arrivedAt,
            deadlineAt: arrivedAt + Math.min(route.timeoutMs, deadlineMs),
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

    const server: Server = createServer({ maxHeaderSize: maxParsedHeadBytes, noDelay: true, requestTimeout: 0 }, (req, res) => {
        openRequestCount += 1;
        const siblings = openResponses.get(req.socket);
        siblings?.add(res);
        res.once("close", () => {
            openRequestCount -= 1;
            siblings?.delete(res);
        });
        handleRequest(req, res).catch((err: unknown) => {
            log.log("internalFault", { message: (err as Error).message, stack: (err as Error).stack });
            respond(req, res, 502, "This host met a fault of its own.");
        });
    });
    server.on("connection", socket => {
        const responses = new Set<ServerResponse>();
        openResponses.set(socket, responses);
        socket.on("close", () => {
            openResponses.delete(socket);
            closeQueued(responses);
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
            server.close();
            server.closeIdleConnections();
        },
        openRequestCount: () => openRequestCount,
        close: () => server.closeAllConnections(),
    };
};
