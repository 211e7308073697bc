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

interface Echo {
    incarnation: number;
    clock: number;
    heardAt: number;
}

/** Entry hosts that are told each time. */
const copies = 2;
const timeoutMs = 1000;

/** Starts announcing. */
export const createAnnouncer = (options: AnnouncerOptions): Announcer => {
    const incarnation = Date.now();
    const echoes = new Map<string, Echo>();
    let sequence = 0;
    let state = ServerState.Ready;
    let first = Math.abs(options.announcement.port) % Math.max(1, options.entryHosts.length);

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
            const reply = await res.body.json() as { echo?: { incarnation: number; clock: number; }; };
            if (res.statusCode !== 200 || reply.echo === undefined) {
                return false;
            }
            echoes.set(entryHost, { ...reply.echo, heardAt: performance.now() });
            return true;
        }
        catch {
            return false;
        }
    };

    const announce = async (): Promise<void> => {
        sequence += 1;
        const body: Announcement = { ...options.announcement, incarnation, sequence, state };
        const targets = Array.from(
            { length: Math.min(copies, options.entryHosts.length) },
            (_, index) => options.entryHosts[(first + index) % options.entryHosts.length]!,
        );
        const results = await Promise.all(targets.map(target => announceTo(target, body)));
        if (results.includes(false)) {
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
