/** A caller that asks for addresses, keeps them for their validity, and checks every answer. */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import type { Dispatcher } from "undici";

/** A kind of request that a caller sends. */
export interface CallerKind {
    brand: string;
    kind: string;
    method: "GET" | "POST";
    /** Whether it carries an Idempotency-Key and must run at most once. */
    keyed: boolean;
}

/** Options of {@link startCallerStandIn}. */
export interface CallerStandInOptions {
    /** Caller addresses of some entry hosts, as "host:port", to ask first. */
    entryHosts: string[];
    kinds: CallerKind[];
    /** Requests that are under way at a time. */
    concurrency: number;
    /** Pause of each of them between requests, in milliseconds. */
    pauseMs: number;
    /** Makes the marks of this caller unique. */
    name: string;
    deadlineMs: number;
}

/** What a caller counted. */
export interface CallerCounts {
    requests: number;
    wholeAnswers: number;
    /** Requests that were given up after every resend. */
    failed: number;
    /** Answers that were cut or belonged to another request. */
    cut: number;
    /** Refusals that were followed by another try. */
    refusals: number;
    /** Times of whole answers, in milliseconds. */
    durationsMs: number[];
    /** Marks of all keyed requests. */
    keyedMarks: string[];
    /** Marks of keyed requests with a whole answer. */
    confirmedMarks: string[];
    firstProblems: string[];
}

/** A running caller. */
export interface CallerStandIn {
    counts: CallerCounts;
    /** Finishes the requests under way. */
    stop(): Promise<void>;
}

interface KeptAddresses {
    urls: string[];
    until: number;
}

const maxTries = 40;
const maxProblems = 5;
const defaultPauseMs = 100;
const maxPauseMs = 500;
const connectTimeoutMs = 500;

/** Starts sending. */
export const startCallerStandIn = (options: CallerStandInOptions): CallerStandIn => {
    const counts: CallerCounts = {
        requests: 0,
        wholeAnswers: 0,
        failed: 0,
        cut: 0,
        refusals: 0,
        durationsMs: [],
        keyedMarks: [],
        confirmedMarks: [],
        firstProblems: [],
    };
    const dispatcher: Dispatcher = new Agent({ connect: { timeout: connectTimeoutMs } });
    const kept = new Map<string, KeptAddresses>();
    let stopped = false;
    let nextMark = 1;

    const ask = async (entryHost: string, kind: CallerKind): Promise<KeptAddresses | undefined> => {
        try {
            const res = await request(`${entryHost}/.well-known/cassiapick/addresses?brand=${kind.brand}&kind=${kind.kind}`, {
                dispatcher,
            });
            const reply = await res.body.json() as { addresses: { url: string; }[]; validForMs: number; };
            return { urls: reply.addresses.map(address => address.url), until: performance.now() + reply.validForMs };
        }
        catch {
            return undefined;
        }
    };

    const addressesFor = async (kind: CallerKind): Promise<string[]> => {
        const name = `${kind.brand}/${kind.kind}`;
        const known = kept.get(name);
        if (known !== undefined && known.until > performance.now()) {
            return known.urls;
        }
        for (const entryHost of [...known?.urls ?? [], ...options.entryHosts.map(address => `http://${address}`)]) {
            const fresh = await ask(entryHost, kind);
            if (fresh !== undefined && fresh.urls.length > 0) {
                kept.set(name, fresh);
                return fresh.urls;
            }
        }
        return known?.urls ?? options.entryHosts.map(address => `http://${address}`);
    };

    const problem = (text: string): void => {
        if (counts.firstProblems.length < maxProblems) {
            counts.firstProblems.push(text);
        }
    };

    const isWhole = (text: string, mark: string): boolean => {
        try {
            const answer = JSON.parse(text) as { mark: string; end: string; };
            return answer.mark === mark && answer.end === mark;
        }
        catch {
            return false;
        }
    };

    /** Sends once. Returns the pause before the next try, or `undefined` when the answer was whole. */
    const tryOnce = async (kind: CallerKind, mark: string, url: string): Promise<number | undefined> => {
        try {
            const res = await request(`${url}/${kind.kind}/${mark}`, {
                dispatcher,
                method: kind.method,
                headers: {
                    "cassiapick-brand": kind.brand,
                    "cassiapick-deadline-ms": String(options.deadlineMs),
                    "x-mark": mark,
                    ...kind.keyed ? { "idempotency-key": mark } : {},
                },
                body: kind.method === "POST" ? JSON.stringify({ mark }) : null,
            });
            const text = await res.body.text();
            if (res.statusCode === 200) {
                if (!isWhole(text, mark)) {
                    counts.cut += 1;
                    problem(`${mark}: not the whole answer to it: ${text.slice(0, 120)}`);
                }
                return undefined;
            }
            counts.refusals += 1;
            problem(`${mark}: ${res.statusCode} ${text.slice(0, 160)}`);
            return Math.min(maxPauseMs, (JSON.parse(text) as { retryAfterMs?: number; }).retryAfterMs ?? defaultPauseMs);
        }
        catch (err) {
            problem(`${mark}: ${url} ${(err as Error).message}`);
            return defaultPauseMs;
        }
    };

    const send = async (kind: CallerKind): Promise<void> => {
        const mark = `${options.name}-${nextMark}`;
        nextMark += 1;
        counts.requests += 1;
        if (kind.keyed) {
            counts.keyedMarks.push(mark);
        }
        const startedAt = performance.now();
        for (let tries = 0; tries < maxTries; tries += 1) {
            const urls = await addressesFor(kind);
            const pauseMs = await tryOnce(kind, mark, urls[tries % urls.length]!);
            if (pauseMs === undefined) {
                counts.wholeAnswers += 1;
                counts.durationsMs.push(performance.now() - startedAt);
                if (kind.keyed) {
                    counts.confirmedMarks.push(mark);
                }
                return;
            }
            await sleep(pauseMs);
        }
        counts.failed += 1;
        problem(`${mark}: gave up after ${maxTries} tries`);
    };

    const loop = async (worker: number): Promise<void> => {
        for (let index = worker; !stopped; index += 1) {
            await send(options.kinds[index % options.kinds.length]!);
            await sleep(options.pauseMs);
        }
    };

    const workers = Array.from({ length: options.concurrency }, (_, worker) => loop(worker));

    return {
        counts,
        stop: async () => {
            stopped = true;
            await Promise.all(workers);
            await dispatcher.close();
        },
    };
};
