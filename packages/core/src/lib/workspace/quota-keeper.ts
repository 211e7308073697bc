/**
 * Hands out tokens of workspaces to the entry hosts of one state host, from its share of each quota, and tells the leader how
 * much it needs.
 */
import type { ConfigNumber } from "../gateway/config-number.js";
import type { QuotaAmount } from "./quota-bound.js";
import { createQuotaBucket } from "./quota-bucket.js";
import type { QuotaBucket } from "./quota-bucket.js";
import { createQuotaDemandMeter } from "./quota-demand.js";
import type { QuotaDemandMeter } from "./quota-demand.js";
import { createQuotaLease, createQuotaNames } from "./quota-lease.js";
import type { QuotaAskRow, QuotaDemand, QuotaGrantRow, QuotaShares } from "./quota-messages.js";

/** Options of {@link createQuotaKeeper}. */
export interface QuotaKeeperOptions {
    /** Higher than in earlier lives of the state host, as the time of its start is. */
    firstSequence: number;
    /** Answers an entry host. */
    sendGrant: (hostKey: number, row: QuotaGrantRow) => void;
}

/** The quotas at one state host. Times are in milliseconds. */
export interface QuotaKeeper {
    setQuotas(configNumber: ConfigNumber, amounts: ReadonlyMap<string, QuotaAmount>, now: number): void;
    ask(hostKey: number, row: QuotaAskRow, now: number): void;
    removeHost(hostKey: number): void;
    /** Answers the asks that waited. */
    tick(now: number): void;
    /** Returns the message to the leader of `term` that is due, or `undefined`. */
    demandDue(term: number, now: number): QuotaDemand | undefined;
    /** Applies a message of the leader; returns whether `demandDue` has to confirm it at once. */
    setShares(message: QuotaShares, now: number): boolean;
    /** Takes tokens of a workspace for another state host; returns the number. */
    lend(workspace: string, count: number, now: number): number;
    isLeaseHeld(): boolean;
    /** Version of the shares. */
    version(): number;
    /** The share of a quota; 0 without one. */
    shareOf(workspace: string): number;
    /** Number of workspaces that run short of tokens here. */
    shortCount(): number;
}

/**
 * An ask waits for tokens at most this long, in milliseconds, unless all of the quota is known to be wanted: the leader moves shares
 * and lends within that time, and a short wait costs a caller less than a refusal within the quota.
 */
const maxAskWaitMs = 1000;
/** Without shares, as after a start, nothing shows that a quota is used up; then an ask waits as long as entry hosts do, in milliseconds. */
const maxWaitWithoutSharesMs = 2000;
/** The lease is renewed at this interval, in milliseconds. */
const renewalMs = 1200;
/** Shortest time between two messages to the leader, in milliseconds, except for one that confirms. */
const minDemandIntervalMs = 100;
/** A workspace whose bucket is less full than this is short. */
const shortBelowFill = 0.4;
/** Change of a demand that is told while the workspace is short. */
const shortChange = 0.15;
/** Shortest time after which the leader is told again of the same quota without being asked, in milliseconds. */
const minRetellMs = 150;
/** Part of the room in a bucket for which tokens are borrowed, besides those that requests wait for. */
const borrowedPart = 0.5;
const maxBorrowed = 200;
/** Smaller changes of a demand are not told while the workspace is not short, in requests a second. */
const minToldChangePerS = 0.3;
const minRetryAfterMs = 100;
const maxRetryAfterMs = 5000;

interface WaitingAsk {
    hostKey: number;
    waiting: number;
    spare: number;
    askedAt: number;
}

interface KeptQuota {
    index: number;
    bucket: QuotaBucket;
    meter: QuotaDemandMeter;
    asks: WaitingAsk[];
    isSaturated: boolean;
    toldPerS: number;
    toldShort: boolean;
    toldAt: number;
}

/** Creates the keeper of a state host that knows no quotas. */
export const createQuotaKeeper = ({ firstSequence, sendGrant }: QuotaKeeperOptions): QuotaKeeper => {
    const quotas = new Map<string, KeptQuota>();
    const names = createQuotaNames();
    const lease = createQuotaLease(firstSequence);
    let configNumber: ConfigNumber = 0;
    let lastDemandAt = -Infinity;
    let mustConfirm = false;
    let toldTerm = -1;

    const answer = (name: string, quota: KeptQuota, ask: WaitingAsk, now: number): boolean => {
        const count = quota.bucket.take(ask.hostKey, ask.waiting, ask.spare, now);
        const refused = Math.max(0, ask.waiting - count);
        const waitMs = lease.isHeld() ? maxAskWaitMs : maxWaitWithoutSharesMs;
        const isRefusalSure = lease.isHeld() && quota.isSaturated;
        if (count === 0 && refused > 0 && !isRefusalSure && now < ask.askedAt + waitMs) {
            return false;
        }
        const dueMs = refused === 0 ? 0 : quota.bucket.dueInMs(refused, now);
        sendGrant(ask.hostKey, [
            name,
            count,
            refused === 0 ? 0 : Math.round(Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, dueMs))),
        ]);
        return true;
    };

    const answerWaiting = (name: string, quota: KeptQuota, now: number): void => {
        while (quota.asks[0] !== undefined && answer(name, quota, quota.asks[0], now)) {
            quota.asks.shift();
        }
    };

    const isShort = (quota: KeptQuota, now: number): boolean =>
        quota.asks.length > 0 || (quota.bucket.fill(now) < shortBelowFill && quota.meter.surePerS(now) > quota.bucket.ratePerS());

    /** Whether the leader has to know at once. */
    const isUrgent = (quota: KeptQuota, now: number): boolean => {
        const demandPerS = quota.meter.surePerS(now);
        return isShort(quota, now) && now - quota.toldAt >= minRetellMs
            && (!quota.toldShort || (quota.asks.length > 0 && !quota.isSaturated)
                || demandPerS - quota.toldPerS > shortChange * Math.max(1, quota.toldPerS));
    };

    /** Whether the leader's knowledge is too old, when something is sent anyway. */
    const isWorthTelling = (quota: KeptQuota, now: number): boolean => {
        if (isUrgent(quota, now) || (quota.toldShort && !isShort(quota, now))) {
            return true;
        }
        const demandPerS = quota.meter.slowPerS(now);
        const noise = 2 * Math.sqrt(Math.max(demandPerS, quota.toldPerS) / 5);
        return Math.abs(demandPerS - quota.toldPerS) > Math.max(minToldChangePerS, noise, shortChange * quota.bucket.ratePerS());
    };

    const tellRow = (quota: KeptQuota, now: number): QuotaDemand["r"][number] => {
        const short = isShort(quota, now);
        quota.toldShort = short;
        quota.toldAt = now;
        quota.toldPerS = short ? quota.meter.surePerS(now) : quota.meter.slowPerS(now);
        const waiting = quota.asks.reduce((sum, ask) => sum + ask.waiting, 0);
        const wanted = short ? Math.max(1, Math.min(waiting + Math.ceil(borrowedPart * quota.bucket.room(now)), maxBorrowed)) : 0;
        return [quota.index, Math.round(quota.toldPerS * 10) / 10, wanted];
    };

    const clearShares = (now: number): void => {
        for (const { bucket } of quotas.values()) {
            bucket.clear(now);
        }
    };

    const expireLease = (now: number): void => {
        if (lease.expire(now)) {
            clearShares(now);
        }
    };

    /** Forgets quotas that have ended; the leader learns of no share of them. */
    const forgetEnded = (): void => {
        for (const [name, { index }] of quotas) {
            if (index < 0) {
                quotas.delete(name);
            }
        }
    };

    const shared = (): [number, number][] =>
        [...quotas.values()].filter(({ index, bucket }) => index >= 0 && bucket.share() > 0)
            .map(({ index, bucket }) => [index, bucket.share()]);

    return {
        setQuotas: (nextNumber, amounts, now) => {
            configNumber = nextNumber;
            const order = [...amounts.keys()];
            names.add(nextNumber, order);
            for (const [name, quota] of quotas) {
                if (!amounts.has(name)) {
                    quota.index = -1;
                }
            }
            order.forEach((name, index) => {
                const amount = amounts.get(name)!;
                const quota = quotas.get(name);
                if (quota === undefined) {
                    const bucket = createQuotaBucket(amount, now);
                    const meter = createQuotaDemandMeter(now);
                    quotas.set(name, {
                        index,
                        bucket,
                        meter,
                        asks: [],
                        isSaturated: false,
                        toldPerS: 0,
                        toldShort: false,
                        toldAt: -Infinity,
                    });
                }
                else {
                    quota.index = index;
                    quota.bucket.setAmount(amount, now);
                }
            });
        },
        ask: (hostKey, [name, held, waiting, spare, arrived, returned], now) => {
            expireLease(now);
            const quota = quotas.get(name);
            if (quota === undefined) {
                // The entry host has a newer configuration; the quota follows within its time limit.
                sendGrant(hostKey, [name, 0, minRetryAfterMs]);
                return;
            }
            quota.meter.record(arrived, now);
            quota.bucket.setHeld(hostKey, held, now);
            quota.bucket.credit(returned, now);
            const ask = { hostKey, waiting, spare, askedAt: now };
            if (quota.asks.length > 0 || !answer(name, quota, ask, now)) {
                quota.asks.push(ask);
            }
        },
        removeHost: hostKey => {
            for (const quota of quotas.values()) {
                quota.asks = quota.asks.filter(ask => ask.hostKey !== hostKey);
            }
        },
        tick: now => {
            expireLease(now);
            for (const [name, quota] of quotas) {
                answerWaiting(name, quota, now);
            }
        },
        demandDue: (term, now) => {
            if (configNumber === 0) {
                return undefined;
            }
            expireLease(now);
            const active = [...quotas.values()].filter(({ index }) => index >= 0);
            const elapsedMs = now - lastDemandAt;
            const isNewTerm = term !== toldTerm;
            const isDue = mustConfirm || elapsedMs >= renewalMs || (isNewTerm && elapsedMs >= minDemandIntervalMs)
                || (elapsedMs >= minDemandIntervalMs && (!lease.isHeld() || active.some(quota => isUrgent(quota, now))));
            if (!isDue) {
                return undefined;
            }
            if (lease.startsStatement(term)) {
                forgetEnded();
            }
            lastDemandAt = now;
            mustConfirm = false;
            toldTerm = term;
            const told = active.filter(quota => isNewTerm ? quota.meter.slowPerS(now) > 0 : isWorthTelling(quota, now));
            return lease.demand(term, configNumber, shared(), told.map(quota => tellRow(quota, now)), now);
        },
        setShares: (message, now) => {
            const order = names.of(message.c);
            expireLease(now);
            if (!lease.accept(message) || order === undefined) {
                return false;
            }
            if (message.x === true) {
                lease.drop();
                clearShares(now);
                return true;
            }
            lease.applied(message);
            let isLowered = false;
            for (const [index, share, isSaturated] of message.r) {
                const quota = quotas.get(order[index] ?? "");
                if (quota !== undefined) {
                    isLowered ||= share < quota.bucket.share();
                    quota.bucket.setShare(share, now);
                    quota.isSaturated = isSaturated === 1;
                    answerWaiting(order[index]!, quota, now);
                }
            }
            for (const [index, count] of message.l ?? []) {
                const quota = quotas.get(order[index] ?? "");
                if (quota !== undefined) {
                    quota.bucket.credit(count, now);
                    answerWaiting(order[index]!, quota, now);
                }
            }
            // The leader raises no other share before it knows that this one is lowered.
            mustConfirm ||= isLowered;
            return isLowered;
        },
        lend: (workspace, count, now) => quotas.get(workspace)?.bucket.lend(count, now) ?? 0,
        isLeaseHeld: () => lease.isHeld(),
        version: () => lease.version(),
        shareOf: name => quotas.get(name)?.bucket.share() ?? 0,
        shortCount: () => [...quotas.values()].filter(({ toldShort }) => toldShort).length,
    };
};
