/**
 * Divides the quotas among the state hosts, on their leader. A share is raised only by what others have confirmed to have given
 * up, or what is free; so the shares never sum to more than 1, whatever messages are lost and whoever leads.
 */
import type { ConfigNumber } from "../gateway/config-number.js";
import type { QuotaAmount } from "./quota-bound.js";
import { createQuotaNames, quotaLeaseMs } from "./quota-lease.js";
import type { QuotaDemand, QuotaShares } from "./quota-messages.js";
import { quotaTargets } from "./quota-targets.js";

/** Options of {@link createQuotaDivision}. */
export interface QuotaDivisionOptions {
    /** The host itself; it lends tokens to the others. */
    hostId: string;
    send: (hostId: string, message: QuotaShares) => void;
    /** Takes tokens from what this host hands out itself; returns the number. */
    lend: (workspace: string, count: number, now: number) => number;
}

/** The division on one state host. Times are in milliseconds of a clock that no jump of the time of day changes. */
export interface QuotaDivision {
    setQuotas(configNumber: ConfigNumber, amounts: ReadonlyMap<string, QuotaAmount>): void;
    /** Sets the term in which this host leads, or `undefined`. */
    setTerm(term: number | undefined, now: number): void;
    /** Sets the voters; only after all have stated their shares is what nobody stated free. */
    setVoters(hostIds: readonly string[], now: number): void;
    /**
     * Handles a message of a state host. `viewAgeMs` is the time since a majority confirmed this leader; a leader that may have a
     * successor answers nothing.
     */
    demand(hostId: string, message: QuotaDemand, viewAgeMs: number, now: number): void;
    /** Drops the shares of silent hosts, and divides again what has become free. */
    tick(viewAgeMs: number, now: number): void;
    isSettled(now: number): boolean;
}

/** A leader that was not confirmed for longer grants nothing, in milliseconds. */
export const maxLeaderAgeMs = 1000;
/** A host that has told nothing of a quota, as it is not short, is taken to use this part of an even share. */
const untoldPart = 0.15;
/** Shares that a host has not confirmed are sent again after this time, in milliseconds. */
const repeatMs = 400;
/** A message that changes nothing is answered only after this time, in milliseconds; the lease is renewed well before its end. */
const minAnswerIntervalMs = 1000;
/** Shares are sent with this precision. */
const shareSteps = 10_000;

/** Messages of hosts are handled at once; what has ended is looked for at this interval, in milliseconds. */
const minTickIntervalMs = 100;

/** Shares are whole steps; what is a step but for the error of a computation stays one. */
const roundDown = (share: number): number => Math.floor(share * shareSteps + 1e-6) / shareSteps;

interface HeldShare {
    /** The most that the host may use: the highest share that it was told since the last one that it has confirmed. */
    bound: number;
    /** What it was told last. */
    sent: number;
    target: number;
    /** `undefined` before the host has told it. */
    demandPerS: number | undefined;
    isShort: boolean;
    /** Tokens that the host would borrow. */
    wanted: number;
    toldSaturated: boolean;
    /** Version of the host's shares that told it this one last. */
    version: number;
}

interface Holder {
    epoch: number;
    until: number;
    lastSequence: number;
    version: number;
    confirmedVersion: number;
    answeredAt: number;
    /** When the first shares that are not confirmed were sent. */
    unconfirmedSince: number;
    shares: Map<string, HeldShare>;
}

/** Creates the division of a host that doesn't lead. */
export const createQuotaDivision = ({ hostId: ownId, send, lend }: QuotaDivisionOptions): QuotaDivision => {
    const names = createQuotaNames();
    const holders = new Map<string, Holder>();
    /** The hosts that have stated their shares in this term. */
    const statedHosts = new Set<string>();
    /** What may be divided of each quota before all is known: the shares that hosts have stated. */
    const statedSums = new Map<string, number>();
    let quotas: ReadonlyMap<string, QuotaAmount> = new Map();
    let order: readonly string[] = [];
    let configNumber: ConfigNumber = 0;
    let leadingTerm: number | undefined;
    let leadingSince = 0;
    let voters: readonly string[] = [];
    let votersChangedAt = -Infinity;
    let tickedAt = -Infinity;

    const isSettled = (now: number): boolean => {
        const waitMs = quotaLeaseMs + maxLeaderAgeMs;
        return now - leadingSince > waitMs
            || (voters.length > 0 && now - votersChangedAt > waitMs && voters.every(hostId => statedHosts.has(hostId)));
    };

    const shareOf = (holder: Holder, name: string): HeldShare => {
        const known = holder.shares.get(name);
        if (known !== undefined) {
            return known;
        }
        const share = {
            bound: 0,
            sent: 0,
            target: 0,
            demandPerS: undefined,
            isShort: false,
            wanted: 0,
            toldSaturated: false,
            version: 0,
        };
        holder.shares.set(name, share);
        return share;
    };

    const register = (hostId: string, message: QuotaDemand, now: number): Holder => {
        const holder: Holder = {
            epoch: message.e,
            until: now + quotaLeaseMs,
            lastSequence: 0,
            version: 0,
            confirmedVersion: 0,
            answeredAt: -Infinity,
            unconfirmedSince: Infinity,
            shares: new Map(),
        };
        const isFirst = !statedHosts.has(hostId);
        for (const [index, value] of message.h ?? []) {
            const name = names.of(message.c)?.[index];
            if (name !== undefined) {
                Object.assign(shareOf(holder, name), { bound: value, sent: value, target: value });
                statedSums.set(name, (statedSums.get(name) ?? 0) + (isFirst ? value : 0));
            }
        }
        statedHosts.add(hostId);
        holders.set(hostId, holder);
        return holder;
    };

    const saturated = new Set<string>();

    /** Sets the targets of one quota. */
    const divide = (name: string, ratePerS: number): void => {
        const hostIds = [...holders.keys()];
        const rows = [...holders.values()].map(holder => shareOf(holder, name));
        const { isSaturated, shares } = quotaTargets(
            ratePerS,
            rows.map(({ demandPerS, isShort, target }, index) => ({
                isLender: hostIds[index] === ownId,
                demandPerS: demandPerS ?? untoldPart * ratePerS / rows.length,
                isShort,
                share: target,
            })),
        );
        if (isSaturated) {
            saturated.add(name);
        }
        else {
            saturated.delete(name);
        }
        shares?.forEach((share, index) => {
            rows[index]!.target = roundDown(share);
        });
    };

    const freePart = (name: string, now: number): number => {
        let sum = 0;
        for (const holder of holders.values()) {
            const share = holder.shares.get(name);
            sum += share?.bound ?? 0;
        }
        return (isSettled(now) ? 1 : Math.min(1, statedSums.get(name) ?? 0)) - sum;
    };

    /** Sets what one host is told next about a quota; returns the row, or `undefined` if nothing changes. */
    const nextRow = (
        share: HeldShare,
        holderVersion: number,
        name: string,
        index: number,
        now: number,
    ): QuotaShares["r"][number] | undefined => {
        const raise = share.target - share.sent;
        const isSaturated = saturated.has(name);
        if (Math.abs(raise) * shareSteps < 0.5 && isSaturated === share.toldSaturated) {
            return undefined;
        }
        const free = raise > 0 ? Math.max(0, freePart(name, now)) : 0;
        const next = raise > 0 ? Math.max(share.sent, roundDown(Math.min(share.target, share.sent + free))) : share.target;
        if (next === share.sent && isSaturated === share.toldSaturated) {
            return undefined;
        }
        share.sent = next;
        share.bound = Math.max(share.bound, share.sent);
        share.toldSaturated = isSaturated;
        share.version = holderVersion;
        return [index, share.sent, isSaturated ? 1 : 0];
    };

    const lendTo = (holder: Holder, now: number): [workspace: number, tokens: number][] =>
        order.flatMap((name, index) => {
            const share = shareOf(holder, name);
            const count = share.wanted > 0 && !saturated.has(name) ? lend(name, share.wanted, now) : 0;
            share.wanted = 0;
            return count > 0 ? [[index, count]] : [];
        });

    /** Sends a host what has changed, or an answer that renews its lease. */
    const tell = (hostId: string, holder: Holder, answered: number, now: number): void => {
        const rows: QuotaShares["r"] = [];
        // What the host may lack is sent again.
        const isRepeated = answered > 0 && holder.confirmedVersion < holder.version && now - holder.unconfirmedSince > repeatMs;
        let isChanged = false;
        for (const [index, name] of order.entries()) {
            const share = shareOf(holder, name);
            const row = nextRow(share, holder.version + 1, name, index, now);
            isChanged ||= row !== undefined;
            if (row !== undefined) {
                rows.push(row);
            }
            else if (isRepeated && share.version > holder.confirmedVersion) {
                rows.push([index, share.sent, share.toldSaturated ? 1 : 0]);
            }
        }
        if (isChanged) {
            holder.version += 1;
        }
        const loans = hostId === ownId ? [] : lendTo(holder, now);
        const isRenewalDue = answered > 0 && now - holder.answeredAt > minAnswerIntervalMs;
        if (rows.length === 0 && loans.length === 0 && !isRenewalDue) {
            return;
        }
        if (rows.length > 0) {
            holder.unconfirmedSince = isRepeated ? now : Math.min(holder.unconfirmedSince, now);
        }
        holder.answeredAt = answered > 0 ? now : holder.answeredAt;
        const { epoch: e, version: v } = holder;
        const changes = isChanged ? 1 : 0;
        // A host that lacks a change must not take a message without it for complete.
        const covered = isRepeated ? v - holder.confirmedVersion : changes;
        send(hostId, {
            t: leadingTerm!,
            s: answered,
            e,
            v,
            c: configNumber,
            r: rows,
            ...(covered === 1 ? {} : { d: covered }),
            ...(loans.length === 0 ? {} : { l: loans }),
        });
    };

    /** Tells those that give up a share first. */
    const tellOthers = (exceptId: string | undefined, now: number): void => {
        for (const [hostId, holder] of holders) {
            if (hostId !== exceptId) {
                tell(hostId, holder, 0, now);
            }
        }
    };

    const applyDemand = (holder: Holder, message: QuotaDemand, now: number): void => {
        if (message.a > holder.confirmedVersion) {
            holder.confirmedVersion = message.a;
            holder.unconfirmedSince = message.a >= holder.version ? Infinity : now;
            holder.shares.forEach(share => {
                share.bound = share.version <= message.a ? share.sent : share.bound;
            });
        }
        const messageNames = names.of(message.c) ?? [];
        for (const [index, demandPerS, wanted] of message.r) {
            const name = messageNames[index];
            if (name !== undefined) {
                Object.assign(shareOf(holder, name), { demandPerS, isShort: wanted > 0, wanted });
            }
        }
    };

    const divideAll = (): void => {
        for (const [name, { ratePerS }] of quotas) {
            divide(name, ratePerS);
        }
    };

    return {
        setQuotas: (nextNumber, amounts) => {
            quotas = amounts;
            order = [...amounts.keys()];
            configNumber = nextNumber;
            names.add(nextNumber, order);
        },
        setTerm: (term, now) => {
            if (term !== leadingTerm) {
                leadingTerm = term;
                leadingSince = now;
                holders.clear();
                statedHosts.clear();
                statedSums.clear();
                saturated.clear();
            }
        },
        setVoters: (hostIds, now) => {
            if ([...hostIds].sort().join() !== [...voters].sort().join()) {
                votersChangedAt = voters.length === 0 ? votersChangedAt : now;
                voters = [...hostIds];
            }
        },
        demand: (hostId, message, viewAgeMs, now) => {
            if (message.t !== leadingTerm || viewAgeMs > maxLeaderAgeMs || names.of(message.c) === undefined) {
                return;
            }
            let holder = holders.get(hostId);
            if (holder !== undefined && message.e < holder.epoch) {
                return;
            }
            if (holder?.epoch !== message.e || now > holder.until) {
                if (message.h === undefined) {
                    send(hostId, { t: message.t, s: 0, e: message.e, v: 0, c: configNumber, r: [], x: true });
                    return;
                }
                holder = register(hostId, message, now);
            }
            if (message.s < holder.lastSequence) {
                return;
            }
            holder.lastSequence = message.s;
            holder.until = now + quotaLeaseMs;
            applyDemand(holder, message, now);
            divideAll();
            tell(hostId, holder, message.s, now);
            tellOthers(hostId, now);
        },
        tick: (viewAgeMs, now) => {
            if (now - tickedAt < minTickIntervalMs) {
                return;
            }
            tickedAt = now;
            for (const [hostId, { until }] of holders) {
                if (now > until) {
                    holders.delete(hostId);
                }
            }
            if (leadingTerm !== undefined && viewAgeMs <= maxLeaderAgeMs && holders.size > 0) {
                divideAll();
                tellOthers(undefined, now);
            }
        },
        isSettled,
    };
};
