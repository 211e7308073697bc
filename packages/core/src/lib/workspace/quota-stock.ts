/**
 * The tokens of workspaces on one entry host. A request takes a token that the host holds, or waits while the host asks its
 * state host; it has not run while it waits.
 */
import { giveBackMs } from "./quota-bound.js";
import { heldTokensMs } from "./quota-bucket.js";
import type { QuotaAskRow, QuotaGrantRow } from "./quota-messages.js";

/** What becomes of a request. */
export type QuotaDecision =
    | { kind: "admitted"; }
    /** The workspace has used up its quota. */
    | { kind: "over-quota"; retryAfterMs: number; }
    /** No state host has answered in time. */
    | { kind: "unknown"; };

/** The tokens of one entry host. Times are in milliseconds. */
export interface QuotaStock {
    /** Replaces the names of the workspaces that have a quota. */
    setWorkspaces(names: Iterable<string>, now: number): void;
    /** Decides a request, now or later; one that is not decided by `waitUntil` is "unknown". Returns a function that withdraws it. */
    request(workspace: string, now: number, waitUntil: number, decide: (decision: QuotaDecision) => void): () => void;
    /** Gives back the token of a request that was admitted at `admittedAt` and was not sent. */
    giveBack(workspace: string, admittedAt: number, now: number): void;
    granted(rows: readonly QuotaGrantRow[], now: number): void;
    /** Returns the asks to send now; an ask is not repeated until it is answered, or `linkChanged`. */
    drainAsks(now: number): QuotaAskRow[];
    /** Forgets open asks, as the state host that had them is left. */
    linkChanged(): void;
    /** Ends the waits that are over. */
    tick(now: number): void;
    /** Number of requests that wait. */
    waiting(): number;
}

/** An entry host likes to hold the tokens for this time, in milliseconds. */
const stockMs = 1500;
/** Time constant of the measured arrivals, in milliseconds. */
const arrivalTimeMs = 3000;

interface WaitingRequest {
    waitUntil: number;
    decide: (decision: QuotaDecision) => void;
}

interface Stock {
    held: number;
    heldUntil: number;
    returned: number;
    arrived: number;
    waiting: WaitingRequest[];
    /** The open ask; `undefined` without one. */
    ask: { at: number; waiting: number; } | undefined;
    arrivalsPerS: number;
    measuredAt: number;
}

/** Creates the stock of a host that knows no quotas. */
export const createQuotaStock = (): QuotaStock => {
    const stocks = new Map<string, Stock>();
    /** The workspaces for which something is to be asked or ended. */
    const active = new Set<string>();

    const recordArrival = (stock: Stock, now: number): void => {
        const decay = Math.exp(-(now - stock.measuredAt) / arrivalTimeMs);
        stock.arrivalsPerS = stock.arrivalsPerS * decay + 1000 / arrivalTimeMs;
        stock.measuredAt = now;
        stock.arrived += 1;
    };

    const dropExpired = (stock: Stock, now: number): void => {
        if (now > stock.heldUntil) {
            stock.held = 0;
        }
    };

    const spareOf = (stock: Stock): number => Math.floor(stock.arrivalsPerS * stockMs / 1000);

    const serveWaiting = (stock: Stock): number => {
        const served = stock.waiting.splice(0, stock.held);
        stock.held -= served.length;
        served.forEach(({ decide }) => decide({ kind: "admitted" }));
        return served.length;
    };

    return {
        setWorkspaces: (names, now) => {
            const next = new Set(names);
            for (const [name, stock] of stocks) {
                if (!next.has(name)) {
                    stocks.delete(name);
                    active.delete(name);
                    stock.waiting.splice(0).forEach(({ decide }) => decide({ kind: "admitted" }));
                }
            }
            for (const name of next) {
                if (!stocks.has(name)) {
                    stocks.set(name, {
                        held: 0,
                        heldUntil: 0,
                        returned: 0,
                        arrived: 0,
                        waiting: [],
                        ask: undefined,
                        arrivalsPerS: 0,
                        measuredAt: now,
                    });
                }
            }
        },
        request: (workspace, now, waitUntil, decide) => {
            const stock = stocks.get(workspace);
            if (stock === undefined) {
                decide({ kind: "admitted" });
                return () => undefined;
            }
            dropExpired(stock, now);
            recordArrival(stock, now);
            if (stock.held > 0 && stock.waiting.length === 0) {
                stock.held -= 1;
                if (stock.held < spareOf(stock) / 3) {
                    active.add(workspace);
                }
                decide({ kind: "admitted" });
                return () => undefined;
            }
            const entry = { waitUntil, decide };
            stock.waiting.push(entry);
            active.add(workspace);
            return () => {
                const index = stock.waiting.indexOf(entry);
                if (index >= 0) {
                    stock.waiting.splice(index, 1);
                }
            };
        },
        giveBack: (workspace, admittedAt, now) => {
            const stock = stocks.get(workspace);
            if (stock !== undefined && now - admittedAt <= giveBackMs) {
                stock.returned += 1;
                active.add(workspace);
            }
        },
        granted: (rows, now) => {
            for (const [workspace, count, retryAfterMs] of rows) {
                const stock = stocks.get(workspace);
                const ask = stock?.ask;
                if (stock === undefined || ask === undefined) {
                    continue;
                }
                stock.ask = undefined;
                dropExpired(stock, now);
                stock.held += now > ask.at + heldTokensMs ? 0 : count;
                stock.heldUntil = ask.at + heldTokensMs;
                const served = serveWaiting(stock);
                const unused = Math.min(stock.held, Math.max(0, Math.min(count, ask.waiting) - served));
                stock.held -= unused;
                stock.returned += unused;
                if (count < ask.waiting) {
                    stock.waiting.splice(0, Math.max(0, ask.waiting - served))
                        .forEach(({ decide }) => decide({ kind: "over-quota", retryAfterMs }));
                }
                active.add(workspace);
            }
        },
        drainAsks: now => {
            const rows: QuotaAskRow[] = [];
            for (const workspace of active) {
                const stock = stocks.get(workspace);
                if (stock === undefined || stock.ask !== undefined) {
                    continue;
                }
                dropExpired(stock, now);
                serveWaiting(stock);
                const wanted = Math.max(0, spareOf(stock) - stock.held);
                const isLow = stock.held < spareOf(stock) / 3;
                active.delete(workspace);
                if (stock.waiting.length === 0 && stock.returned === 0 && !(isLow && stock.arrived > 0)) {
                    continue;
                }
                rows.push([workspace, stock.held, stock.waiting.length, wanted, stock.arrived, stock.returned]);
                stock.ask = { at: now, waiting: stock.waiting.length };
                stock.arrived = 0;
                stock.returned = 0;
            }
            return rows;
        },
        linkChanged: () => {
            for (const [workspace, stock] of stocks) {
                stock.ask = undefined;
                active.add(workspace);
            }
        },
        tick: now => {
            for (const stock of stocks.values()) {
                const due = stock.waiting.filter(({ waitUntil }) => waitUntil <= now);
                if (due.length > 0) {
                    stock.waiting = stock.waiting.filter(({ waitUntil }) => waitUntil > now);
                    due.forEach(({ decide }) => decide({ kind: "unknown" }));
                }
            }
        },
        waiting: () => [...stocks.values()].reduce((sum, { waiting }) => sum + waiting.length, 0),
    };
};
