/**
 * The tokens of one workspace at one state host: those in its bucket, and those that entry hosts hold. Together they never
 * exceed the host's share of the capacity, so that whatever is lost or late, all hosts spend within the quota.
 */
import type { QuotaAmount } from "./quota-bound.js";

/** An entry host uses tokens for this long after it asked for them, and the state host counts them as long; in milliseconds. */
export const heldTokensMs = 2000;

/** The tokens of one workspace at one state host. Times are in milliseconds. */
export interface QuotaBucket {
    setAmount(amount: QuotaAmount, now: number): void;
    /** Sets the part of the quota that this host hands out, from 0 to 1. */
    setShare(share: number, now: number): void;
    share(): number;
    /** Requests a second that the share covers. */
    ratePerS(): number;
    /** Gives up the share and all tokens. */
    clear(now: number): void;
    /** Records how many tokens an entry host holds. */
    setHeld(hostKey: number, count: number, now: number): void;
    /** Puts tokens back that were not spent. */
    credit(count: number, now: number): void;
    /** Takes up to `waiting` tokens, and up to `spare` more while most of the bucket is full; returns the number. */
    take(hostKey: number, waiting: number, spare: number, now: number): number;
    /** Takes up to `count` tokens for another state host; some stay here. */
    lend(count: number, now: number): number;
    /** Number of tokens that fit in. */
    room(now: number): number;
    /** Part of the share of the capacity that is there. */
    fill(now: number): number;
    /** Time until `count` tokens are there, in milliseconds. */
    dueInMs(count: number, now: number): number;
}

/** Tokens that no request waits for are handed out only while the bucket is fuller than this. */
const spareFromFill = 0.5;
/** Part of what lies above that which one ask may take. */
const sparePart = 0.25;
/** Part of the share of the capacity that is not lent. */
const keptFill = 0.2;

/** Creates an empty bucket without a share. */
export const createQuotaBucket = (initialAmount: QuotaAmount, createdAt: number): QuotaBucket => {
    const heldByHost = new Map<number, { count: number; until: number; }>();
    let amount = initialAmount;
    let share = 0;
    let level = 0;
    /** Whether the next share is the first since the host has lost all. */
    let isNew = true;
    let updatedAt = createdAt;

    const capacity = (): number => share * amount.capacity;
    const rate = (): number => share * amount.ratePerS;

    const heldCount = (now: number): number => {
        let sum = 0;
        for (const [hostKey, { count, until }] of heldByHost) {
            if (now > until) {
                heldByHost.delete(hostKey);
            }
            else {
                sum += count;
            }
        }
        return sum;
    };

    const room = (now: number): number => Math.max(0, capacity() - heldCount(now));

    const refill = (now: number): void => {
        const elapsedMs = Math.max(0, now - updatedAt);
        level = Math.min(room(now), level + rate() * elapsedMs / 1000);
        updatedAt = Math.max(updatedAt, now);
    };

    return {
        setAmount: (next, now) => {
            refill(now);
            amount = next;
            refill(now);
        },
        setShare: (next, now) => {
            refill(now);
            share = next;
            if (isNew && share > 0) {
                isNew = false;
                level = share * amount.initial;
            }
            refill(now);
        },
        share: () => share,
        ratePerS: rate,
        clear: now => {
            isNew = true;
            share = 0;
            level = 0;
            updatedAt = now;
        },
        setHeld: (hostKey, count, now) => {
            refill(now);
            if (count > 0) {
                heldByHost.set(hostKey, { count, until: now + heldTokensMs });
            }
            else {
                heldByHost.delete(hostKey);
            }
            refill(now);
        },
        credit: (count, now) => {
            refill(now);
            level = Math.min(room(now), level + count);
        },
        take: (hostKey, waiting, spare, now) => {
            refill(now);
            const taken = Math.min(waiting, Math.floor(level));
            const above = (level - taken - spareFromFill * capacity()) * sparePart;
            const count = taken + Math.max(0, Math.min(spare, Math.floor(above)));
            level -= count;
            // Requests that wait spend their tokens at once; a host returns those that none waits for any more.
            if (count > taken) {
                const held = heldByHost.get(hostKey)?.count ?? 0;
                heldByHost.set(hostKey, { count: held + count - taken, until: now + heldTokensMs });
            }
            return count;
        },
        lend: (count, now) => {
            refill(now);
            const lent = Math.max(0, Math.min(count, Math.floor(level - keptFill * capacity())));
            level -= lent;
            return lent;
        },
        room: now => {
            refill(now);
            return room(now) - level;
        },
        fill: now => {
            refill(now);
            return share === 0 ? 0 : (level + heldCount(now)) / capacity();
        },
        dueInMs: (count, now) => {
            refill(now);
            return level >= count ? 0 : rate() === 0 ? Infinity : 1000 * (count - level) / rate();
        },
    };
};
