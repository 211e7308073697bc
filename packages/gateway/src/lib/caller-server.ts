/** Serves callers over HTTP: reads requests, has them carried out, and passes answers on. */
import type { CallerLimits, GatewayRoute } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { GatewayMetrics } from "./gateway-metrics.js";
import { endToEnd, valueOf } from "./headers.js";
import type { ExchangeHeaders } from "./headers.js";
import { ReplyKind } from "./request-runner.js";
import type { CallerRequest, Reply, RequestRun } from "./request-runner.js";

/** How a request is routed. */
export type Routing =
    | { kind: "routed"; route: GatewayRoute; configNumber: number; }
    /** No route takes it, by a configuration that is surely the newest. */
    | { kind: "unrouted"; configNumber: number; }
    /** This host can't be sure which configuration is the newest; it may know within `waitMs`. */
    | { kind: "unsure"; retryAfterMs: number; waitMs: number; };

/** Options of {@link createCallerServer}. */
export interface CallerServerOptions {
    names: ExchangeHeaders;
    route: (hostHeader: string, target: string) => Routing;
    /** Resolves when this host knows more of the configurations, and after `waitMs` at the latest. */
    nextConfig: (waitMs: number) => Promise<void>;
    run: (req: CallerRequest) => RequestRun;
    clock: () => number;
    log: EventLog;
    metrics: GatewayMetrics;
}

/** The server of callers. */
export interface CallerServer {
    listen(host: string, port: number): Promise<number>;
    setLimits(limits: CallerLimits): void;
    /** Answers from now on ask callers to close their connections. */
    beginLeaving(): void;
    /** Takes no further connections. */
    stopListening(): void;
    /** Requests that were read and are not answered. */
    pending(): number;
    close(): void;
}

/** Heads beyond what any configuration allows are refused by the parser. */
const maxHeadBytes = 64 * 1024;
const defaultLimits: CallerLimits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 64 * 1024 * 1024,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
};
/** A request without a deadline of its caller waits as long as its route allows. */
const noDeadlineMs = Infinity;
const msPerSecond = 1000;
/** The part of a caller's time that a request may wait for the first configuration. */
const waitShare = 0.3;
/** Served requests that are logged in a second; beyond it they are only counted. */
const servedLinesPerSecond = 20;

const statuses: Record<Exclude<ReplyKind, ReplyKind.Answer | ReplyKind.Abandoned>, number> = {
    [ReplyKind.Refused]: 503,
    [ReplyKind.Failed]: 502,
    [ReplyKind.TimedOut]: 504,
};

/** Creates the server of callers. */
export const createCallerServer = (options: CallerServerOptions): CallerServer => {
    const { names, clock, log, metrics } = options;
    const sockets = new Set<Socket>();
    let limits = defaultLimits;
    let pending = 0;
    let isLeaving = false;
    let servedSecond = 0;
    let servedLines = 0;

    const mayLogServed = (): boolean => {
        const second = Math.floor(clock() / msPerSecond);
        servedLines = second === servedSecond ? servedLines + 1 : 1;
        servedSecond = second;
        return servedLines <= servedLinesPerSecond;
    };

    const end = (req: IncomingMessage, res: ServerResponse, status: number, text: string, retryAfterMs?: number): void => {
        if (res.destroyed || res.headersSent) {
            return;
        }
        const id = valueOf(req.rawHeaders, names.requestId);
        const retryAfter = retryAfterMs === undefined ? [] : ["Retry-After", (retryAfterMs / msPerSecond).toFixed(2)];
        const body = Buffer.from(`${text}\n`);
        res.writeHead(status, [
            ...(id === undefined ? [] : [names.requestId, id]),
            ...retryAfter,
            ...(isLeaving ? ["Connection", "close"] : []),
            "Content-Type",
            "text/plain",
            "Content-Length",
            String(body.length),
        ]);
        res.end(body);
    };

    const passOn = (res: ServerResponse, answer: Extract<Reply, { kind: ReplyKind.Answer; }>["answer"]): void => {
        if (res.destroyed) {
            answer.stream?.destroy();
            return;
        }
        const { stream } = answer;
        const headers = endToEnd(answer.headers, stream === undefined ? ["content-length"] : []);
        const length = stream === undefined ? ["Content-Length", String(answer.body.length)] : [];
        res.writeHead(answer.status, [...headers, ...length, ...(isLeaving ? ["Connection", "close"] : [])]);
        if (stream === undefined) {
            res.end(answer.body);
            return;
        }
        res.write(answer.body);
        // A body that breaks off must not look whole: the caller's connection breaks off too.
        stream.on("error", () => res.destroy());
        stream.on("end", () => {
            if (answer.isWhole?.() === true) {
                res.end();
            }
            else {
                res.destroy();
            }
        });
        stream.on("close", () => {
            if (!stream.complete) {
                res.destroy();
            }
        });
        res.on("close", () => stream.destroy());
        stream.pipe(res, { end: false });
    };

    const logEnd = (caller: CallerRequest, reply: Reply): void => {
        const elapsedMs = Math.round(clock() - caller.arrivedAt);
        const { requestId, route, configNumber } = caller;
        const common = { requestId, route: route.name, configNumber, elapsedMs };
        metrics.count("cassiapick_requests_total", { route: route.name, outcome: reply.kind });
        metrics.time("cassiapick_request_ms", elapsedMs);
        if (reply.kind === ReplyKind.Answer) {
            const { status } = reply.answer;
            if (status >= 400 || mayLogServed()) {
                const { serverId, sends, detail } = reply;
                log.log("requestServed", { ...common, status, serverId, sends, detail });
            }
        }
        else if (reply.kind === ReplyKind.Abandoned) {
            log.log("callerLeft", common);
        }
        else if (reply.kind === ReplyKind.Refused) {
            log.log("requestRefused", { ...common, reason: reply.reason, retryAfterMs: Math.round(reply.retryAfterMs) });
        }
        else {
            log.log("requestFailed", { ...common, outcome: reply.kind, reason: reply.reason });
        }
    };

    const carryOut = async (req: IncomingMessage, res: ServerResponse, caller: CallerRequest): Promise<void> => {
        const run = options.run(caller);
        res.on("close", () => {
            if (!res.writableFinished) {
                run.abandon();
            }
        });
        const reply = await run.reply;
        logEnd(caller, reply);
        if (reply.kind === ReplyKind.Abandoned) {
            return;
        }
        if (reply.kind === ReplyKind.Answer) {
            passOn(res, reply.answer);
            return;
        }
        end(req, res, statuses[reply.kind], reply.reason, reply.kind === ReplyKind.Refused ? reply.retryAfterMs : undefined);
    };

    const deadlineOf = (req: IncomingMessage): number => {
        const text = valueOf(req.rawHeaders, names.deadlineMs);
        const value = text === undefined ? NaN : Number(text);
        return Number.isFinite(value) && value >= 0 ? value : noDeadlineMs;
    };

    const readBody = (req: IncomingMessage, res: ServerResponse): Promise<Buffer | undefined> =>
        new Promise(resolve => {
            const chunks: Buffer[] = [];
            let bytes = 0;
            req.on("data", (chunk: Buffer) => {
                bytes += chunk.length;
                if (bytes > limits.maxBodyBytes) {
                    end(req, res, 413, `The body is longer than ${limits.maxBodyBytes} bytes. Send a shorter one.`);
                    resolve(undefined);
                    req.destroy();
                    return;
                }
                chunks.push(chunk);
            });
            req.on("end", () => resolve(Buffer.concat(chunks)));
            req.on("close", () => resolve(undefined));
            req.on("error", () => resolve(undefined));
        });

    const take = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const arrivedAt = clock();
        const body = await readBody(req, res);
        if (body === undefined) {
            return;
        }
        const hostHeader = valueOf(req.rawHeaders, "host") ?? "";
        const target = req.url ?? "/";
        const deadlineMs = deadlineOf(req);
        let routing = options.route(hostHeader, target);
        if (routing.kind === "unsure" && routing.waitMs > 0) {
            await options.nextConfig(Math.min(routing.waitMs, deadlineMs * waitShare));
            routing = options.route(hostHeader, target);
        }
        if (res.destroyed) {
            return;
        }
        const requestId = valueOf(req.rawHeaders, names.requestId);
        if (routing.kind === "unrouted") {
            log.log("requestUnrouted", { requestId, hostHeader, target, configNumber: routing.configNumber });
            metrics.count("cassiapick_requests_total", { route: "", outcome: "unrouted" });
            end(req, res, 404, "No route takes this request. Check the host name and the path.");
            return;
        }
        if (routing.kind === "unsure") {
            log.log("requestRefused", { requestId, reason: "the newest configuration is not known", hostHeader, target });
            metrics.count("cassiapick_requests_total", { route: "", outcome: "unsure" });
            end(req, res, 503, "This host does not know the newest configuration yet. Come back later.", routing.retryAfterMs);
            return;
        }
        const hasBody = body.length > 0 || valueOf(req.rawHeaders, "content-length") !== undefined;
        const kept = endToEnd(req.rawHeaders, ["content-length", names.deadlineMs, names.expectedServer]);
        const length = hasBody || valueOf(req.rawHeaders, "transfer-encoding") !== undefined;
        const { route, configNumber } = routing;
        await carryOut(req, res, {
            requestId,
            route,
            configNumber,
            method: req.method ?? "GET",
            target,
            headers: length ? [...kept, "Content-Length", String(body.length)] : kept,
            body,
            arrivedAt,
            giveUpAt: arrivedAt + Math.min(route.timeoutMs, deadlineMs),
        });
    };

    const server: Server = createServer({ maxHeaderSize: maxHeadBytes, noDelay: true, requestTimeout: 0 }, (req, res) => {
        pending += 1;
        res.once("close", () => {
            pending -= 1;
        });
        take(req, res).catch((err: unknown) => {
            log.log("internalFault", { message: (err as Error).message, stack: (err as Error).stack });
            end(req, res, 502, "This host met a fault of its own.");
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    server.on("clientError", (_err, socket) => {
        if (socket.writable) {
            socket.end("HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        }
    });
    server.keepAliveTimeout = defaultLimits.idleTimeoutMs;
    server.headersTimeout = 0;

    return {
        listen: (host, port) =>
            new Promise((resolve, reject) => {
                server.once("error", reject);
                server.listen({ port, host, backlog: 1024 }, () => {
                    server.off("error", reject);
                    const address = server.address();
                    resolve(typeof address === "object" && address !== null ? address.port : port);
                });
            }),
        setLimits: next => {
            limits = next;
            server.keepAliveTimeout = next.idleTimeoutMs;
        },
        beginLeaving: () => {
            isLeaving = true;
        },
        stopListening: () => {
            server.close();
            server.closeIdleConnections();
        },
        pending: () => pending,
        close: () => server.closeAllConnections(),
    };
};
