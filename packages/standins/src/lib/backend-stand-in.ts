/** A backend server that runs requests in a few slots, counts what it ran, and shows faults on demand. */
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
    /** Time that a request takes, in milliseconds. */
    serviceMs: number;
    /** Admin addresses of entry hosts; none means that it does not announce itself. */
    entryHosts: string[];
    announceToken: string;
    /** Whether it echoes the name of the attempt, so that its connections may be kept. */
    echoesAttempt: boolean;
    /** Bytes of filler in each answer. */
    bodyBytes: number;
}

/** What a stand-in counted. */
export interface RunCounts {
    requests: number;
    /** Runs by the mark that the caller gave. */
    runs: Record<string, number>;
    /** Requests that began later than `lateAfterMs` after it said that it leaves. */
    lateNewWork: number;
    /** When it last got new work after it said that it leaves, in milliseconds after that. */
    lastNewWorkAfterLeaveMs: number;
}

/** A running stand-in. */
export interface BackendStandIn {
    host: string;
    port: number;
    setFault(fault: Fault): void;
    counts(): RunCounts;
    /** Leaves gracefully. */
    leave(): Promise<void>;
    /** Stops at once. */
    kill(): Promise<void>;
}

const announcePeriodMs = 700;
/** New work later than this after leaving breaks the promise. */
const lateAfterMs = 3000;
/** How long it goes on serving after it said that it leaves. */
const leaveMs = 3500;
const drainPollMs = 20;

const headerOf = (req: IncomingMessage, name: string): string => {
    const value = req.headers[name];
    return (Array.isArray(value) ? value[0] : value) ?? "";
};

const readAll = async (req: IncomingMessage): Promise<number> => {
    let bytes = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        bytes += chunk.length;
    }
    return bytes;
};

/** Starts a stand-in; resolves when it listens. */
export const startBackendStandIn = async (options: BackendStandInOptions): Promise<BackendStandIn> => {
    const counts: RunCounts = { requests: 0, runs: {}, lateNewWork: 0, lastNewWorkAfterLeaveMs: 0 };
    let fault = noFault;
    let busy = 0;
    let leftAt: number | undefined;
    let met = 0;

    /** Spreads a share evenly instead of drawing it, so that every run shows the same. */
    const meetsFault = (): boolean => {
        met += fault.share;
        if (met >= 1) {
            met -= 1;
            return true;
        }
        return false;
    };

    const countLate = (): void => {
        if (leftAt === undefined) {
            return;
        }
        const after = Date.now() - leftAt;
        counts.lastNewWorkAfterLeaveMs = Math.max(counts.lastNewWorkAfterLeaveMs, after);
        counts.lateNewWork += after > lateAfterMs ? 1 : 0;
    };

    const refuseNotRun = (res: ServerResponse): void => {
        res.writeHead(503, { "cassiapick-outcome": "not-run", "content-type": "application/json" });
        res.end(JSON.stringify({ message: "busy" }));
    };

    const bodyFor = (mark: string): string =>
        JSON.stringify({ mark, server: options.id, filler: "x".repeat(options.bodyBytes), end: mark });

    const answerers: Readonly<Record<FaultMode, (req: IncomingMessage, res: ServerResponse, body: string) => void>> = {
        [FaultMode.None]: (_req, res, body) => res.end(body),
        [FaultMode.Slow]: (_req, res, body) => res.end(body),
        [FaultMode.Hang]: () => undefined,
        [FaultMode.Shed]: (_req, res) => refuseNotRun(res),
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
            const extra = bodyFor("surplus");
            res.setHeader("content-length", body.length);
            res.end(body, () => {
                req.socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${extra.length}\r\n\r\n${extra}`);
            });
        },
    };

    const run = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        await readAll(req);
        counts.requests += 1;
        countLate();
        const mark = headerOf(req, "x-mark");
        const mode = meetsFault() ? fault.mode : FaultMode.None;
        if (busy >= options.slots || mode === FaultMode.Shed) {
            refuseNotRun(res);
            return;
        }
        busy += 1;
        counts.runs[mark] = (counts.runs[mark] ?? 0) + 1;
        try {
            await sleep(options.serviceMs * (mode === FaultMode.Slow ? fault.factor : 1));
        }
        finally {
            busy -= 1;
        }
        if (options.echoesAttempt) {
            res.setHeader("cassiapick-attempt", headerOf(req, "cassiapick-attempt"));
        }
        res.setHeader("content-type", "application/json");
        answerers[mode](req, res, bodyFor(mark));
    };

    const control = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
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
        const handle = req.url?.startsWith("/stand-in/") === true ? control : run;
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
        periodMs: announcePeriodMs,
    });

    const close = (): Promise<void> =>
        new Promise(resolve => {
            announcer?.stop();
            server.close(() => resolve());
            server.closeAllConnections();
        });

    const leave = async (): Promise<void> => {
        leftAt = Date.now();
        announcer?.leave();
        await sleep(leaveMs);
        while (busy > 0) {
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
