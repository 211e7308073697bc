/** A backend server for tests: runs requests in a few slots, counts them, and injects faults on demand. */
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { createAnnouncer } from "./announcer.js";
import { FaultMode, noFault } from "./fault.js";
import type { Fault } from "./fault.js";

/** Options of {@link startBackendStandIn}. */
export interface BackendStandInOptions {
    id: string;
    host: string;
    /** 0 lets the system choose. */
    port: number;
    region: string;
    availabilityZone: string;
    services: string[];
    slots: number;
    /** Service time of a request, in milliseconds. */
    serviceMs: number;
    /** Admin addresses of entry hosts; when empty, it does not announce itself. */
    entryHosts: string[];
    announceToken: string;
    /** Whether it echoes the attempt id, so that its connections may be reused. */
    echoesAttemptId: boolean;
    /** Bytes of filler in each answer. */
    bodyBytes: number;
}

/** Counts of a stand-in. */
export interface RunCounts {
    /** Requests received, including refused ones. */
    requests: number;
    /** Number of runs by the mark that the caller sent. */
    runs: Record<string, number>;
    /** Requests received more than `maxNewWorkMs` after it announced that it is leaving. */
    lateNewWork: number;
    /** Time from the announcement that it is leaving to the last request received, in milliseconds. */
    lastNewWorkAfterLeaveMs: number;
}

/** A running stand-in. */
export interface BackendStandIn {
    host: string;
    port: number;
    setFault(fault: Fault): void;
    counts(): RunCounts;
    /** Announces that it is leaving, finishes its requests, and stops. */
    leave(): Promise<void>;
    /** Stops at once and closes all connections. */
    kill(): Promise<void>;
}

const announceIntervalMs = 700;
/** Longest time after it announced that it is leaving in which entry hosts may still send new requests. */
const maxNewWorkMs = 3000;
/** How long it keeps serving after it announced that it is leaving. */
const serveAfterLeavingMs = 3500;
const drainPollMs = 20;

const headerOf = (req: IncomingMessage, name: string): string => {
    const value = req.headers[name];
    return (Array.isArray(value) ? value[0] : value) ?? "";
};

/** Reads the body and returns its length in bytes. */
const drainBody = async (req: IncomingMessage): Promise<number> => {
    let bytes = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        bytes += chunk.length;
    }
    return bytes;
};

/** Starts a stand-in; resolves when it is listening. */
export const startBackendStandIn = async (options: BackendStandInOptions): Promise<BackendStandIn> => {
    const counts: RunCounts = { requests: 0, runs: {}, lateNewWork: 0, lastNewWorkAfterLeaveMs: 0 };
    let fault = noFault;
    let busySlots = 0;
    let leavingSince: number | undefined;
    let accumulatedShare = 0;

    /** Selects the affected requests at even intervals instead of at random, so that runs are reproducible. */
    const isFaultDue = (): boolean => {
        accumulatedShare += fault.share;
        if (accumulatedShare >= 1) {
            accumulatedShare -= 1;
            return true;
        }
        return false;
    };

    const countWorkAfterLeaving = (): void => {
        if (leavingSince === undefined) {
            return;
        }
        const sinceLeavingMs = Date.now() - leavingSince;
        counts.lastNewWorkAfterLeaveMs = Math.max(counts.lastNewWorkAfterLeaveMs, sinceLeavingMs);
        counts.lateNewWork += sinceLeavingMs > maxNewWorkMs ? 1 : 0;
    };

    const sendNotRun = (res: ServerResponse): void => {
        res.writeHead(503, { "cassiapick-outcome": "not-run", "content-type": "application/json" });
        res.end(JSON.stringify({ message: "busy" }));
    };

    const createBody = (mark: string): string =>
        JSON.stringify({ mark, server: options.id, filler: "x".repeat(options.bodyBytes), end: mark });

    const answerByFault: Readonly<Record<FaultMode, (req: IncomingMessage, res: ServerResponse, body: string) => void>> = {
        [FaultMode.None]: (_req, res, body) => res.end(body),
        [FaultMode.Slow]: (_req, res, body) => res.end(body),
        [FaultMode.Hang]: () => undefined,
        [FaultMode.Shed]: (_req, res) => sendNotRun(res),
        [FaultMode.ServerError]: (_req, res, body) => {
            res.statusCode = 500;
            res.end(body);
        },
        [FaultMode.CutBody]: (req, res, body) => {
            res.setHeader("content-length", body.length);
            res.write(body.slice(0, body.length / 2), () => req.socket.destroy());
        },
        [FaultMode.WrongLength]: (req, res, body) => {
            res.setHeader("content-length", body.length + 10);
            res.write(body, () => req.socket.end());
        },
        [FaultMode.WrongIdentity]: (_req, res, body) => {
            res.setHeader("cassiapick-attempt", "another/1");
            res.end(body);
        },
        [FaultMode.Surplus]: (req, res, body) => {
            const extraBody = createBody("surplus");
            res.setHeader("content-length", body.length);
            res.end(body, () => {
                req.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${extraBody.length}\r\n\r\n${extraBody}`);
            });
        },
    };

    const handleRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        await drainBody(req);
        counts.requests += 1;
        countWorkAfterLeaving();
        const mark = headerOf(req, "x-mark");
        const mode = isFaultDue() ? fault.mode : FaultMode.None;
        if (busySlots >= options.slots || mode === FaultMode.Shed) {
            sendNotRun(res);
            return;
        }
        busySlots += 1;
        counts.runs[mark] = (counts.runs[mark] ?? 0) + 1;
        try {
            await sleep(options.serviceMs * (mode === FaultMode.Slow ? fault.factor : 1));
        }
        finally {
            busySlots -= 1;
        }
        if (options.echoesAttemptId) {
            res.setHeader("cassiapick-attempt", headerOf(req, "cassiapick-attempt"));
        }
        res.setHeader("content-type", "application/json");
        answerByFault[mode](req, res, createBody(mark));
    };

    const handleControlRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        if (req.url === "/stand-in/counts") {
            res.end(JSON.stringify(counts));
            return;
        }
        const chunks: Buffer[] = [];
        for await (const chunk of req as AsyncIterable<Buffer>) {
            chunks.push(chunk);
        }
        fault = { ...noFault, share: 1, ...JSON.parse(Buffer.concat(chunks).toString("utf8")) as Partial<Fault> };
        res.end(JSON.stringify(fault));
    };

    const server = createServer((req, res) => {
        const handle = req.url?.startsWith("/stand-in/") === true ? handleControlRequest : handleRequest;
        handle(req, res).catch(() => res.destroy());
    });
    const port = await new Promise<number>(resolve => {
        server.listen(options.port, options.host, () => resolve((server.address() as AddressInfo).port));
    });

    const announcer = options.entryHosts.length === 0 ? undefined : createAnnouncer({
        announcement: {
            id: options.id,
            host: options.host,
            port,
            region: options.region,
            availabilityZone: options.availabilityZone,
            services: options.services,
            slots: options.slots,
            cold: false,
        },
        entryHosts: options.entryHosts,
        token: options.announceToken,
        intervalMs: announceIntervalMs,
    });

    const close = (): Promise<void> =>
        new Promise(resolve => {
            announcer?.stop();
            server.close(() => resolve());
            server.closeAllConnections();
        });

    const leave = async (): Promise<void> => {
        leavingSince = Date.now();
        announcer?.announceLeaving();
        await sleep(serveAfterLeavingMs);
        while (busySlots > 0) {
            await sleep(drainPollMs);
        }
        await close();
    };

    return {
        host: options.host,
        port,
        setFault: next => {
            fault = next;
        },
        counts: () => counts,
        leave,
        kill: close,
    };
};
