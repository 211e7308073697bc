/** HTTP server for the announcements of backend servers and for operators. */
import { createPieceBudget, ServerState } from "@cassiapick/core";
import type { Announcement, ClockEcho, PieceBudget } from "@cassiapick/core";
import type { TokenSet } from "@cassiapick/operations";
import { collectBytes, createPiecePacer, createReadGate } from "@cassiapick/wire";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { z } from "zod";

/** Answer to an announcement. */
export interface AnnounceReply {
    /** The backend server must announce itself again within this time, in milliseconds. */
    leaseMs: number;
    /** Whether the backend server must announce again at once, because without an echo of this process no lease is granted. */
    again: boolean;
    /** To be returned with the next announcement; proves that it isn't a delayed one, which must not grant a lease. */
    echo: { incarnation: number; clock: number; };
    /** Admin addresses, as "host:port", of all hosts to announce to from now on; each of them holds the lease. */
    announceTo: string[];
}

/** Options of {@link createAdminServer}. */
export interface AdminServerOptions {
    announceTokens: TokenSet;
    operatorTokens: TokenSet;
    /** Returns the services in the pools table. */
    services: () => string[];
    onAnnounce: (announcement: Announcement, echo: ClockEcho | undefined) => AnnounceReply;
    /** Returns the body of `GET /status`, which is sent as JSON. */
    status: () => unknown;
    /** Returns the metrics in the Prometheus text format. */
    metrics: () => Promise<string>;
}

/** Path prefix at which backend servers announce themselves; their id follows. */
export const announcePath = "/.well-known/cassiapick/backend-servers/";

const maxAnnouncementBytes = 65_536;
const maxSlots = 10_000;
const maxPort = 65_535;

const nameSchema = z.string().regex(/^[\w.-]{1,128}$/, { error: "expected 1 to 128 letters, digits, '.', '_' or '-'" });

const announcementSchema = z.strictObject({
    id: nameSchema,
    host: z.union([z.ipv4(), z.ipv6()], { error: "expected an IP address" }),
    port: z.int().min(1).max(maxPort),
    region: nameSchema,
    availabilityZone: nameSchema,
    services: z.array(nameSchema).min(1, { error: "expected at least one service" }),
    slots: z.int().min(1).max(maxSlots),
    incarnation: z.int().min(0),
    sequence: z.int().min(0),
    state: z.enum(ServerState),
    cold: z.boolean().default(false),
    echo: z.strictObject({ incarnation: z.number(), clock: z.number(), elapsedMs: z.number() }).optional(),
});

const sendJson = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

const bearerTokenOf = (req: IncomingMessage): string => /^Bearer (.+)$/.exec(req.headers.authorization ?? "")?.[1] ?? "";

const readJson = async (req: IncomingMessage, pieceBudget: PieceBudget): Promise<unknown> => {
    const body = await collectBytes(req, {
        maxBytes: maxAnnouncementBytes,
        pacer: createPiecePacer(createReadGate(req.socket), pieceBudget),
    });
    if (body === undefined) {
        throw new Error(`The announcement is larger than ${maxAnnouncementBytes} bytes. Send a smaller one.`);
    }
    return JSON.parse(body.toString("utf8"));
};

const describeIssues = (error: z.ZodError): string =>
    error.issues.map(issue => `${issue.path.join(".") || "announcement"}: ${issue.message}`).join("; ");

/** Creates the server; the caller of this function makes it listen. */
export const createAdminServer = (options: AdminServerOptions): Server => {
    const pieceBudget = createPieceBudget();

    const handleAnnouncement = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        if (!options.announceTokens.accepts(bearerTokenOf(req))) {
            sendJson(res, 401, {
                message: "The token is not valid. Send 'Authorization: Bearer' with a line of the announce token file.",
            });
            return;
        }
        const parsed = announcementSchema.safeParse(await readJson(req, pieceBudget));
        if (!parsed.success) {
            sendJson(res, 400, {
                message: `The announcement is not valid: ${describeIssues(parsed.error)}. Correct it and announce again.`,
            });
            return;
        }
        const { echo, ...announcement } = parsed.data;
        if (announcement.id !== decodeURIComponent((req.url ?? "").slice(announcePath.length))) {
            sendJson(res, 400, { message: "The id in the announcement differs from the id in the path. Make them the same." });
            return;
        }
        const services = options.services();
        const unknownServices = announcement.services.filter(service => !services.includes(service));
        if (unknownServices.length === announcement.services.length) {
            const message = `No pool has the service '${unknownServices.join("', '")}'. Announce one of: ${
                services.join(", ")
            }; or add a pool to the tables.`;
            sendJson(res, 409, { message, retryAfterMs: 1000 });
            return;
        }
        sendJson(res, 200, options.onAnnounce(announcement, echo));
    };

    /** Checks the operator token and answers 401 when it is not valid. */
    const authorizeOperator = (req: IncomingMessage, res: ServerResponse): boolean => {
        const isAuthorized = options.operatorTokens.accepts(bearerTokenOf(req));
        if (!isAuthorized) {
            sendJson(res, 401, {
                message: "The token is not valid. Send 'Authorization: Bearer' with a line of the operator token file.",
            });
        }
        return isAuthorized;
    };

    const handleRequest = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const url = req.url ?? "/";
        if (req.method === "PUT" && url.startsWith(announcePath)) {
            await handleAnnouncement(req, res);
        }
        else if (req.method === "GET" && url === "/status") {
            if (authorizeOperator(req, res)) {
                sendJson(res, 200, options.status());
            }
        }
        else if (req.method === "GET" && url === "/metrics") {
            if (authorizeOperator(req, res)) {
                const text = await options.metrics();
                res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
                res.end(text);
            }
        }
        else {
            sendJson(res, 404, { message: `No resource at '${url}'. GET /status or /metrics, or PUT ${announcePath}ID.` });
        }
    };

    return createServer((req, res) => {
        handleRequest(req, res).catch((err: unknown) => {
            if (!res.headersSent) {
                sendJson(res, 400, { message: `The request can't be read: ${(err as Error).message}` });
            }
        });
    });
};
