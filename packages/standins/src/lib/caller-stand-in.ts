/** A caller for tests: gets entry host addresses, caches them for their validity, and checks every answer. */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import type { Dispatcher } from "undici";

/** A kind of request that a caller sends. */
export interface CallerRequestKind {
    brand: string;
    kind: string;
    method: "GET" | "POST";
    /** Whether it carries an Idempotency-Key and must run at most once. */
    keyed: boolean;
}

/** Options of {@link startCallerStandIn}. */
export interface CallerStandInOptions {
    /** Caller addresses of the entry hosts to contact first, as "host:port". */
    entryHosts: string[];
    kinds: CallerRequestKind[];
    /** Number of requests in flight. */
    concurrency: number;
    /** Pause of each worker between its requests, in milliseconds. */
    idleMs: number;
    /** Prefix of the marks of this caller's requests; makes them unique among callers. */
    markPrefix: string;
    deadlineMs: number;
}

/** Counts of a caller. */
export interface CallerCounts {
    /** Requests, each counted once however often it is retried. */
    requests: number;
    /** Requests that ended with status 200. */
    wholeAnswers: number;
    /** Requests that failed on every try. */
    failed: number;
    /** Answers with status 200 that were truncated or belonged to another request. */
    cut: number;
    /** Answers with another status than 200; the request is then retried. */
    refusals: number;
    /** Durations of the requests counted in `wholeAnswers`, retries included, in milliseconds. */
    durationsMs: number[];
    /** Marks of all keyed requests. */
    keyedMarks: string[];
    /** Marks of the keyed requests that ended with status 200. */
    confirmedMarks: string[];
    /** Descriptions of the first problems. */
    firstProblems: string[];
}

/** A running caller. */
export interface CallerStandIn {
    counts: CallerCounts;
    /** Finishes the requests in flight, then stops. */
    stop(): Promise<void>;
}

interface CachedAddresses {
    urls: string[];
    expiresAt: number;
}

const maxTries = 40;
const maxRecordedProblems = 5;
const defaultRetryDelayMs = 100;
const maxRetryDelayMs = 500;
const connectTimeoutMs = 500;

/** Starts a caller; it sends requests until it is stopped. */
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
    const cachedAddresses = new Map<string, CachedAddresses>();
    let isStopped = false;
    let nextMark = 1;

    const fetchAddresses = async (entryHost: string, kind: CallerRequestKind): Promise<CachedAddresses | undefined> => {
        try {
            const res = await request(`${entryHost}/.well-known/cassiapick/addresses?brand=${kind.brand}&kind=${kind.kind}`, {
                dispatcher,
            });
            const reply = await res.body.json() as { addresses: { url: string; }[]; validForMs: number; };
            return { urls: reply.addresses.map(address => address.url), expiresAt: performance.now() + reply.validForMs };
        }
        catch {
            return undefined;
        }
    };

    const resolveAddresses = async (kind: CallerRequestKind): Promise<string[]> => {
        const cacheKey = `${kind.brand}/${kind.kind}`;
        const cached = cachedAddresses.get(cacheKey);
        if (cached !== undefined && cached.expiresAt > performance.now()) {
            return cached.urls;
        }
        for (const entryHost of [...cached?.urls ?? [], ...options.entryHosts.map(address => `http://${address}`)]) {
            const fetched = await fetchAddresses(entryHost, kind);
            if (fetched !== undefined && fetched.urls.length > 0) {
                cachedAddresses.set(cacheKey, fetched);
                return fetched.urls;
            }
        }
        return cached?.urls ?? options.entryHosts.map(address => `http://${address}`);
    };

    const recordProblem = (text: string): void => {
        if (counts.firstProblems.length < maxRecordedProblems) {
            counts.firstProblems.push(text);
        }
    };

    const isCompleteAnswer = (text: string, mark: string): boolean => {
        try {
            const answer = JSON.parse(text) as { mark: string; end: string; };
            return answer.mark === mark && answer.end === mark;
        }
        catch {
            return false;
        }
    };

    /** Sends a request once. Returns the delay before the next try in milliseconds, or `undefined` after an answer with status 200. */
    const tryRequest = async (kind: CallerRequestKind, mark: string, url: string): Promise<number | undefined> => {
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
                if (!isCompleteAnswer(text, mark)) {
                    counts.cut += 1;
                    recordProblem(`${mark}: incomplete answer, or the answer to another request: ${text.slice(0, 120)}`);
                }
                return undefined;
            }
            counts.refusals += 1;
            recordProblem(`${mark}: ${res.statusCode} ${text.slice(0, 160)}`);
            return Math.min(
                maxRetryDelayMs,
                (JSON.parse(text) as { retryAfterMs?: number; }).retryAfterMs ?? defaultRetryDelayMs,
            );
        }
        catch (err) {
            recordProblem(`${mark}: ${url} ${(err as Error).message}`);
            return defaultRetryDelayMs;
        }
    };

    const sendUntilAnswered = async (kind: CallerRequestKind): Promise<void> => {
        const mark = `${options.markPrefix}-${nextMark}`;
        nextMark += 1;
        counts.requests += 1;
        if (kind.keyed) {
            counts.keyedMarks.push(mark);
        }
        const startedAt = performance.now();
        for (let tries = 0; tries < maxTries; tries += 1) {
            const urls = await resolveAddresses(kind);
            const retryDelayMs = await tryRequest(kind, mark, urls[tries % urls.length]!);
            if (retryDelayMs === undefined) {
                counts.wholeAnswers += 1;
                counts.durationsMs.push(performance.now() - startedAt);
                if (kind.keyed) {
                    counts.confirmedMarks.push(mark);
                }
                return;
            }
            await sleep(retryDelayMs);
        }
        counts.failed += 1;
        recordProblem(`${mark}: failed after ${maxTries} tries`);
    };

    const sendLoop = async (worker: number): Promise<void> => {
        for (let index = worker; !isStopped; index += 1) {
            await sendUntilAnswered(options.kinds[index % options.kinds.length]!);
            await sleep(options.idleMs);
        }
    };

    const workers = Array.from({ length: options.concurrency }, (_, worker) => sendLoop(worker));

    return {
        counts,
        stop: async () => {
            isStopped = true;
            await Promise.all(workers);
            await dispatcher.close();
        },
    };
};
