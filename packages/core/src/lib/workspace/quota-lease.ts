/**
 * The shares of all quotas that one state host has from the leader. They hold for a limited time after the last message that
 * the leader answered; the leader counts them as long, so that no part of a quota is handed out twice.
 */
import type { ConfigNumber } from "../gateway/config-number.js";
import type { QuotaDemand, QuotaShares } from "./quota-messages.js";

/** Shares hold for this long after the message that was answered last, in milliseconds. */
export const quotaLeaseMs = 4000;
/** Names of the workspaces with a quota are kept for this many configurations. */
const keptConfigs = 8;

/** The names that rows of recent configurations refer to. */
export interface QuotaNames {
    add(configNumber: ConfigNumber, names: readonly string[]): void;
    of(configNumber: ConfigNumber): readonly string[] | undefined;
}

/** Creates the names of no configuration. */
export const createQuotaNames = (): QuotaNames => {
    const kept = new Map<ConfigNumber, readonly string[]>();
    return {
        add: (configNumber, names) => {
            kept.set(configNumber, names);
            while (kept.size > keptConfigs) {
                kept.delete(kept.keys().next().value!);
            }
        },
        of: configNumber => kept.get(configNumber),
    };
};

/** The lease of one state host. Times are in milliseconds. */
export interface QuotaLease {
    /** Ends the lease if its time is over; returns whether it has just ended. */
    expire(now: number): boolean;
    /** Creates the next message to the leader of `term`. `stated` are the shares in force, by place in the configuration. */
    demand(
        term: number,
        configNumber: ConfigNumber,
        stated: [workspace: number, share: number][],
        rows: QuotaDemand["r"],
        now: number,
    ): QuotaDemand;
    /** Whether a message of the leader is to be applied. */
    accept(message: QuotaShares): boolean;
    /** Records that a message was applied. */
    applied(message: QuotaShares): void;
    /** Gives up all shares, as the leader no longer counts them. */
    drop(): void;
    /** Whether the next message to the leader of `term` states the shares for the first time. */
    startsStatement(term: number): boolean;
    isHeld(): boolean;
    /** Version of the shares, for logs. */
    version(): number;
}

const maxOpenMessages = 32;

/** Creates the lease of a state host that has no shares; `firstSequence` is higher than in earlier lives of the host. */
export const createQuotaLease = (firstSequence: number): QuotaLease => {
    const sentAt = new Map<number, number>();
    let sequence = firstSequence;
    let term = -1;
    let epoch = 0;
    let version = 0;
    let leaseUntil = -Infinity;
    /** Whether the leader has answered a message that states the shares. */
    let isStated = false;

    /** Answers to the messages sent so far no longer count. */
    const restart = (): void => {
        isStated = false;
        sentAt.clear();
        epoch = 0;
        version = 0;
    };

    const drop = (): void => {
        leaseUntil = -Infinity;
        restart();
    };

    return {
        expire: now => {
            if (leaseUntil === -Infinity || now <= leaseUntil) {
                return false;
            }
            drop();
            return true;
        },
        drop,
        startsStatement: leaderTerm => leaderTerm !== term || epoch === 0,
        demand: (leaderTerm, configNumber, stated, rows, now) => {
            sequence += 1;
            if (leaderTerm !== term) {
                term = leaderTerm;
                restart();
            }
            if (epoch === 0) {
                epoch = sequence;
            }
            sentAt.set(sequence, now);
            while (sentAt.size > maxOpenMessages) {
                sentAt.delete(sentAt.keys().next().value!);
            }
            const message = { t: term, s: sequence, e: epoch, a: version, c: configNumber, r: rows };
            // Repeated until the leader answers; the shares don't change meanwhile.
            return isStated ? message : { ...message, h: stated };
        },
        accept: ({ t, e, v, d = 1 }) =>
            t === term && e === epoch && epoch !== 0
            // What is older than the shares, or lacks a change before it, is left; the leader sends it again.
            && v >= version && v - d <= version,
        applied: ({ s, v }) => {
            const answeredAt = sentAt.get(s);
            version = Math.max(version, v);
            isStated = true;
            if (answeredAt !== undefined) {
                leaseUntil = Math.max(leaseUntil, answeredAt + quotaLeaseMs);
            }
        },
        isHeld: () => leaseUntil !== -Infinity,
        version: () => version,
    };
};
