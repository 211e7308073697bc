/**
 * Decides when an idle server may be probed with a request, to find out whether it has recovered.
 *
 * Pattern: all hosts of an availability zone see the same server become due. If they probe it at once, each of them loses a request
 * before the first failure is known to the others. So every host adds a random time of its own, and a server that keeps failing its
 * probes is probed less and less often.
 */
import type { Random } from "../random.js";

/** What is known about the use of one server, in milliseconds of the host's clock. */
export interface ProbeHistory {
    lastUsedAt: number;
    lastFailureAt: number;
}

/** The probes of one server. */
export interface RecoveryProbes {
    /** Records that a request was sent to the server, or that another host has one in flight on it. */
    used(): void;
    failed(now: number): void;
    succeeded(): void;
    /** Whether a probe is due; in a service that fails many requests, the interval between probes is bounded. */
    isDue(history: ProbeHistory, isDegraded: boolean, now: number): boolean;
    /** Whether this host may give a server its first request, `warmForMs` after its slow start. */
    isFirstRequestDue(warmForMs: number): boolean;
}

/** Tunes {@link createRecoveryProbes}; times are in milliseconds. */
export interface RecoveryProbesCfg {
    /** A server is idle after this long without a request. */
    idleMs: number;
    /** Time after its last failure that a server gets to recover before its first probe. */
    firstDelayMs: number;
    /** Growth of that time with each probe that fails. */
    backoff: number;
    longestDelayMs: number;
    /** Longest delay while the service is degraded, as operators then expect requests on most servers. */
    longestDegradedDelayMs: number;
    /** Upper bound of the random time that a host adds, so that one host probes before the others. */
    spreadMs: number;
}

export const defaultRecoveryProbesCfg: RecoveryProbesCfg = {
    idleMs: 1600,
    firstDelayMs: 2200,
    backoff: 1.5,
    longestDelayMs: 7000,
    longestDegradedDelayMs: 2100,
    spreadMs: 900,
};

/** Failures that are closer than this belong to one probe, or to requests that were in flight together, in milliseconds. */
const sameProbeMs = 1000;

/** Creates the probes of one server at one host. */
export const createRecoveryProbes = (random: Random, cfg: RecoveryProbesCfg = defaultRecoveryProbesCfg): RecoveryProbes => {
    let failedProbes = 0;
    let countedAt = -Infinity;
    let share = random.next();

    return {
        used: () => {
            share = random.next();
        },
        failed: now => {
            if (now - countedAt >= sameProbeMs) {
                failedProbes += 1;
                countedAt = now;
            }
            share = random.next();
        },
        succeeded: () => {
            failedProbes = 0;
        },
        isDue: ({ lastUsedAt, lastFailureAt }, isDegraded, now) => {
            const delayMs = Math.min(
                isDegraded ? cfg.longestDegradedDelayMs : cfg.longestDelayMs,
                cfg.firstDelayMs * cfg.backoff ** Math.max(0, failedProbes - 1),
            );
            const ownShareMs = share * cfg.spreadMs;
            return now - lastUsedAt > cfg.idleMs + ownShareMs && now - lastFailureAt > delayMs + ownShareMs;
        },
        isFirstRequestDue: warmForMs => warmForMs >= share * cfg.spreadMs,
    };
};
