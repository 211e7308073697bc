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
    periodMs: number;
}

/** A running announcer. */
export interface Announcer {
    /** Says from now on that the backend server leaves. */
    leave(): void;
    stop(): void;
}

interface Reply {
    again?: boolean;
    echo?: { incarnation: number; clock: number; };
    announceTo?: string[];
}

interface Echo {
    incarnation: number;
    clock: number;
    heardAt: number;
}

const timeoutMs = 1000;

/** Starts announcing. */
export const createAnnouncer = (options: AnnouncerOptions): Announcer => {
    const incarnation = Date.now();
    const echoes = new Map<string, Echo>();
    let holders: string[] = [];
    let isCut = false;
    let sequence = 0;
    let state = ServerState.Ready;
    let first = Math.abs(options.announcement.port) % Math.max(1, options.entryHosts.length);

    const nextSequence = (): number => {
        sequence += 1;
        return sequence;
    };

    const announceTo = async (entryHost: string, body: Announcement): Promise<boolean> => {
        const echo = echoes.get(entryHost);
        const proof = echo === undefined
            ? undefined
            : { incarnation: echo.incarnation, clock: echo.clock, elapsedMs: performance.now() - echo.heardAt };
        try {
            const res = await request(`http://${entryHost}/.well-known/cassiapick/backend-servers/${body.id}`, {
                method: "PUT",
                headers: { "authorization": `Bearer ${options.token}`, "content-type": "application/json" },
                body: JSON.stringify({ ...body, echo: proof }),
                headersTimeout: timeoutMs,
                bodyTimeout: timeoutMs,
            });
            const reply = await res.body.json() as Reply;
            if (res.statusCode !== 200 || reply.echo === undefined) {
                return false;
            }
            echoes.set(entryHost, { ...reply.echo, heardAt: performance.now() });
            holders = reply.announceTo ?? holders;
            return reply.again === true ? await announceTo(entryHost, { ...body, sequence: nextSequence() }) : true;
        }
        catch {
            return false;
        }
    };

    const announce = async (): Promise<void> => {
        const body: Announcement = { ...options.announcement, incarnation, sequence: nextSequence(), state };
        const anyHost = options.entryHosts[first % options.entryHosts.length]!;
        // Any host passes the announcement on; one is added as long as a holder can't be reached.
        const targets = holders.length > 0 && !isCut ? holders : [...new Set([...holders, anyHost])];
        const results = await Promise.all(targets.map(target => announceTo(target, body)));
        isCut = results.includes(false);
        if (isCut) {
            first += 1;
        }
    };

    const timer = setInterval(() => void announce(), options.periodMs);
    void announce();

    return {
        leave: () => {
            state = ServerState.Leaving;
            void announce();
        },
        stop: () => clearInterval(timer),
    };
};
