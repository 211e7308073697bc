/** Announces a backend stand-in to entry hosts until it is stopped. */
import { ServerState } from "@cassiapick/core";
import type { Announcement } from "@cassiapick/core";
import { request } from "undici";

/** Options of {@link createAnnouncer}. */
export interface AnnouncerOptions {
    announcement: Omit<Announcement, "sequence" | "state" | "incarnation">;
    /** Admin addresses of entry hosts, as "host:port". */
    entryHosts: string[];
    token: string;
    /** Interval between announcements, in milliseconds. */
    intervalMs: number;
}

/** A running announcer. */
export interface Announcer {
    /** Announces from now on that the backend server is leaving. */
    announceLeaving(): void;
    stop(): void;
}

interface AnnounceReply {
    again?: boolean;
    echo?: { incarnation: number; clock: number; };
    announceTo?: string[];
}

/** An echo of an entry host, with the time at which it was received. */
interface ReceivedEcho {
    incarnation: number;
    clock: number;
    /** In milliseconds of the local monotonic clock. */
    receivedAt: number;
}

const requestTimeoutMs = 1000;

/** Announces the backend server at once and then at each interval. */
export const createAnnouncer = (options: AnnouncerOptions): Announcer => {
    const incarnation = Date.now();
    const echoes = new Map<string, ReceivedEcho>();
    let leaseHolders: string[] = [];
    let hasFailure = false;
    let sequence = 0;
    let state = ServerState.Ready;
    let entryHostIndex = Math.abs(options.announcement.port) % Math.max(1, options.entryHosts.length);

    const nextSequence = (): number => {
        sequence += 1;
        return sequence;
    };

    const sendAnnouncement = async (entryHost: string, body: Announcement): Promise<boolean> => {
        const echo = echoes.get(entryHost);
        const echoField = echo === undefined
            ? undefined
            : { incarnation: echo.incarnation, clock: echo.clock, elapsedMs: performance.now() - echo.receivedAt };
        try {
            const res = await request(`http://${entryHost}/.well-known/cassiapick/backend-servers/${body.id}`, {
                method: "PUT",
                headers: { "authorization": `Bearer ${options.token}`, "content-type": "application/json" },
                body: JSON.stringify({ ...body, echo: echoField }),
                headersTimeout: requestTimeoutMs,
                bodyTimeout: requestTimeoutMs,
            });
            const reply = await res.body.json() as AnnounceReply;
            if (res.statusCode !== 200 || reply.echo === undefined) {
                return false;
            }
            echoes.set(entryHost, { ...reply.echo, receivedAt: performance.now() });
            leaseHolders = reply.announceTo ?? leaseHolders;
            return reply.again === true ? await sendAnnouncement(entryHost, { ...body, sequence: nextSequence() }) : true;
        }
        catch {
            return false;
        }
    };

    const announce = async (): Promise<void> => {
        const body: Announcement = { ...options.announcement, incarnation, sequence: nextSequence(), state };
        const fallbackHost = options.entryHosts[entryHostIndex % options.entryHosts.length]!;
        // Any entry host relays an announcement, so another one is added while a lease holder can't be reached.
        const targets = leaseHolders.length > 0 && !hasFailure ? leaseHolders : [...new Set([...leaseHolders, fallbackHost])];
        const results = await Promise.all(targets.map(target => sendAnnouncement(target, body)));
        hasFailure = results.includes(false);
        if (hasFailure) {
            entryHostIndex += 1;
        }
    };

    const timer = setInterval(() => void announce(), options.intervalMs);
    void announce();

    return {
        announceLeaving: () => {
            state = ServerState.Leaving;
            void announce();
        },
        stop: () => clearInterval(timer),
    };
};
