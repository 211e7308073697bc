/** The HTTP server for backend servers and operators. */
import type { Announcement, ClockEcho } from "@cassiapick/core";
import { ServerState } from "@cassiapick/core";
import type { TokenSet } from "@cassiapick/operations";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { z } from "zod";

/** What the host answers to an announcement. */
export interface AnnounceReply {
    /** The backend server must announce itself again within this time. */
    leaseMs: number;
    /** Whether this announcement granted no lease, for want of an echo of this process; announce again at once. */
    again: boolean;
    /** To be sent back with the next announcement, so that a late one grants no lease. */
    echo: { incarnation: number; clock: number; };
    /** Admin addresses, as "host:port", of the hosts to announce to from now on; each of them, since each holds the lease. */
    announceTo: string[];
}

/** Options of {@link createAdminServer}. */
export interface AdminServerOptions {
    announceTokens: TokenSet;
    operatorTokens: TokenSet;
    /** The services that the pools table names. */
    services: () => string[];
    onAnnounce: (announcement: Announcement, echo: ClockEcho | undefined) => AnnounceReply;
    status: () => unknown;
    metrics: () => Promise<string>;
}

/** The path at which backend servers announce themselves; the id follows. */
export const announcePath = "/.well-known/cassiapick/backend-servers/";

const maxAnnouncementBytes = 65_536;
const maxSlots = 10_000;
const maxPort = 65_535;

const name = z.string().regex(/^[\w.-]{1,128}$/, { error: "expected 1 to 128 letters, digits, '.', '_' or '-'" });

const announcementSchema = z.strictObject({
    id: name,
    host: z.union([z.ipv4(), z.ipv6()], { error: "expected an IP address" }),
    port: z.int().min(1).max(maxPort),
    region: name,
    availabilityZone: name,
    services: z.array(name).min(1, { error: "expected at least one service" }),
    slots: z.int().min(1).max(maxSlots),
    incarnation: z.int().min(0),
    sequence: z.int().min(0),
    state: z.enum(ServerState),
    cold: z.boolean().default(false),
    echo: z.strictObject({ incarnation: z.number(), clock: z.number(), elapsedMs: z.number() }).optional(),
});

const answer = (res: ServerResponse, status: number, body: unknown): void => {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(body));
};

const bearerOf = (req: IncomingMessage): string => /^Bearer (.+)$/.exec(req.headers.authorization ?? "")?.[1] ?? "";

const readJson = async (req: IncomingMessage): Promise<unknown> => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    for await (const chunk of req as AsyncIterable<Buffer>) {
        bytes += chunk.length;
        if (bytes > maxAnnouncementBytes) {
            throw new Error(`The announcement is larger than ${maxAnnouncementBytes} bytes.`);
        }
        chunks.push(chunk);
    }
    return JSON.parse(Buffer.concat(chunks).toString("utf8"));
};

const describeIssues = (error: z.ZodError): string =>
    error.issues.map(issue => `${issue.path.join(".") || "announcement"}: ${issue.message}`).join("; ");

/** Creates the server; it does not listen yet. */
export const createAdminServer = (options: AdminServerOptions): Server => {
    const announce = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        if (!options.announceTokens.accepts(bearerOf(req))) {
            answer(res, 401, {
                message: "The token is not valid. Send 'Authorization: Bearer' with a line of the announce token file.",
            });
            return;
        }
        const parsed = announcementSchema.safeParse(await readJson(req));
        if (!parsed.success) {
            answer(res, 400, {
                message: `The announcement is not valid: ${describeIssues(parsed.error)}. Correct it and announce again.`,
            });
            return;
        }
        const { echo, ...announcement } = parsed.data;
        if (announcement.id !== decodeURIComponent((req.url ?? "").slice(announcePath.length))) {
            answer(res, 400, { message: "The id of the announcement is not the one in the path. Make them the same." });
            return;
        }
        const services = options.services();
        const unknown = announcement.services.filter(service => !services.includes(service));
        if (unknown.length === announcement.services.length) {
            const message = `No pool is served by '${unknown.join("', '")}'. Announce one of: ${
                services.join(", ")
            }; or add a pool to the tables.`;
            answer(res, 409, { message, retryAfterMs: 1000 });
            return;
        }
        answer(res, 200, options.onAnnounce(announcement, echo));
    };

    const forOperator = (req: IncomingMessage, res: ServerResponse): boolean => {
        const isAccepted = options.operatorTokens.accepts(bearerOf(req));
        if (!isAccepted) {
            answer(res, 401, {
                message: "The token is not valid. Send 'Authorization: Bearer' with a line of the operator token file.",
            });
        }
        return isAccepted;
    };

    const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
        const url = req.url ?? "/";
        if (req.method === "PUT" && url.startsWith(announcePath)) {
            await announce(req, res);
        }
        else if (req.method === "GET" && url === "/status") {
            if (forOperator(req, res)) {
                answer(res, 200, options.status());
            }
        }
        else if (req.method === "GET" && url === "/metrics") {
            if (forOperator(req, res)) {
                const text = await options.metrics();
                res.writeHead(200, { "content-type": "text/plain; version=0.0.4" });
                res.end(text);
            }
        }
        else {
            answer(res, 404, { message: `There is nothing at '${url}'. Ask for /status or /metrics, or PUT ${announcePath}ID.` });
        }
    };

    return createServer((req, res) => {
        serve(req, res).catch((err: unknown) => {
            if (!res.headersSent) {
                answer(res, 400, { message: `The request can't be read: ${(err as Error).message}` });
            }
        });
    });
};
