/** The requests under which servers have ended: the evidence for and against each of them, within a bound. */
import { baseRateWindowsMs, totalEvidence } from "./end-evidence.js";
import type { ServerEnd } from "./end-evidence.js";
import type { EndedServer } from "./request-evidence.js";

/** A request that is held back. Times are in milliseconds of the host's clock. */
export interface Quarantine {
    since: number;
    /** When one attempt may show whether the request still ends servers. */
    trialAt: number;
    /** Trials that have not cleared the request. */
    trials: number;
    /** Servers that have ended under the request. */
    serverCount: number;
}

/** What is known of one request. Times are in milliseconds of the host's clock. */
export interface Suspect {
    key: string;
    service: string;
    /** Ends since the latest complete answer. */
    ends: ServerEnd[];
    /** When a server answered the request completely, if any did lately. */
    survivedAt: number | undefined;
    quarantine: Quarantine | undefined;
    changedAt: number;
}

/** Options of {@link createSuspectTable}. */
export interface SuspectTableCfg {
    /** Number of servers of a service that take requests. */
    serverCount: (service: string) => number;
}

/** The suspected requests on one host. */
export interface SuspectTable {
    find(key: string): Suspect | undefined;
    addEnd(key: string, end: ServerEnd, now: number): void;
    /** Whether the ends are so many, and so unlikely by chance, that the request is their cause. */
    isGuilty(suspect: Suspect): boolean;
    /** Drops the evidence of ends before `survivedAt`, and the quarantine if it began before. */
    survived(key: string, survivedAt: number, now: number): void;
    /** Puts a request into quarantine, or postpones its trial. */
    setQuarantine(key: string, quarantine: Quarantine, now: number): void;
    remove(key: string): void;
    /** Whether another server of the service has ended lately without this request. */
    hasOtherEnds(key: string, service: string, now: number): boolean;
    quarantined(): Suspect[];
    size(): number;
}

/** As many servers must have ended under a request before it is quarantined. */
export const minEndedServers = 3;
/** Evidence from which a request is quarantined, in nats: odds of about 160,000 to 1. */
const quarantineEvidence = 12;
/** The first trial follows this long after the quarantine has begun, in milliseconds; each further one after four times as long. */
const firstTrialDelayMs = 30_000;
const trialDelayGrowth = 4;
/** Longest time until a trial, in milliseconds. */
const maxTrialDelayMs = 6 * 3600 * 1000;
/** Most requests that are remembered; the oldest one that is not quarantined makes room, or else the oldest one. */
const maxSuspects = 1000;
/** Most ends of servers that count for base rates; the oldest one makes room. */
const maxRecentEnds = 300;
/** A suspect that is not quarantined is forgotten after this time without an end, in milliseconds. */
const suspicionMs = 3600 * 1000;

/** Time until the next trial of a request after `trials` that have not cleared it, in milliseconds. */
export const trialDelayMs = (trials: number): number => Math.min(maxTrialDelayMs, firstTrialDelayMs * trialDelayGrowth ** trials);

const longestWindowMs = Math.max(...baseRateWindowsMs);
const msPerSecond = 1000;

/** Creates an empty table. */
export const createSuspectTable = (cfg: SuspectTableCfg): SuspectTable => {
    // A Map iterates in insertion order and a changed suspect moves to the end, so the oldest one comes first.
    const suspects = new Map<string, Suspect>();
    /** Recent ends of servers: the requests that were running, by the server's number. */
    const recentEnds = new Map<number, { service: string; endedAt: number; keys: Set<string>; }>();

    const makeRoom = (now: number): void => {
        for (const { key, quarantine, changedAt } of suspects.values()) {
            if (quarantine === undefined && now - changedAt > suspicionMs) {
                suspects.delete(key);
            }
        }
        if (suspects.size >= maxSuspects) {
            const oldest = [...suspects.values()].find(({ quarantine }) => quarantine === undefined)
                ?? suspects.values().next().value!;
            suspects.delete(oldest.key);
        }
    };

    const obtain = (key: string, service: string, now: number): Suspect => {
        const known = suspects.get(key);
        if (known === undefined) {
            makeRoom(now);
        }
        const suspect = known
            ?? { key, service, ends: [], survivedAt: undefined, quarantine: undefined, changedAt: now };
        suspects.delete(key);
        suspects.set(key, suspect);
        suspect.changedAt = now;
        return suspect;
    };

    /** Times of the ends of servers of the service that did not run the request, as far from `at` as counts. */
    const otherEndTimes = (key: string, service: string, at: number): number[] =>
        [...recentEnds.values()]
            .filter(end => end.service === service && !end.keys.has(key) && Math.abs(end.endedAt - at) <= longestWindowMs)
            .map(({ endedAt }) => endedAt);

    const otherEndsPerS = (key: string, service: string, at: number): number => {
        const times = otherEndTimes(key, service, at);
        return Math.max(
            ...baseRateWindowsMs.map(windowMs =>
                times.filter(time => Math.abs(time - at) <= windowMs).length * msPerSecond / windowMs
            ),
        );
    };

    const recordRecentEnd = (key: string, { number, service }: EndedServer, endedAt: number): void => {
        const end = recentEnds.get(number) ?? { service, endedAt, keys: new Set() };
        end.keys.add(key);
        recentEnds.set(number, end);
        if (recentEnds.size > maxRecentEnds) {
            recentEnds.delete(recentEnds.keys().next().value!);
        }
    };

    const evidenceOf = ({ key, ends, service }: Suspect): number => {
        const weighed = ends.map(end => ({ ...end, otherEndsPerS: otherEndsPerS(key, service, end.endedAt) }));
        return totalEvidence(weighed, cfg.serverCount(service));
    };

    return {
        find: key => suspects.get(key),
        addEnd: (key, end, now) => {
            const { server, endedAt } = end;
            recordRecentEnd(key, server, endedAt);
            const suspect = obtain(key, server.service, now);
            const isKnown = suspect.ends.some(known => known.server.number === server.number);
            if (isKnown || (suspect.survivedAt !== undefined && suspect.survivedAt >= endedAt)) {
                return;
            }
            suspect.ends.push(end);
            if (suspect.quarantine !== undefined) {
                suspect.quarantine.serverCount += 1;
            }
        },
        isGuilty: suspect => suspect.ends.length >= minEndedServers && evidenceOf(suspect) >= quarantineEvidence,
        survived: (key, survivedAt, now) => {
            const suspect = suspects.get(key);
            if (suspect === undefined) {
                return;
            }
            suspect.survivedAt = Math.max(suspect.survivedAt ?? -Infinity, survivedAt);
            suspect.changedAt = now;
            suspect.ends = suspect.ends.filter(({ endedAt }) => endedAt > survivedAt);
            if (suspect.quarantine !== undefined && suspect.quarantine.since < survivedAt) {
                suspect.quarantine = undefined;
            }
        },
        setQuarantine: (key, quarantine, now) => {
            obtain(key, suspects.get(key)?.service ?? "", now).quarantine = quarantine;
        },
        remove: key => {
            suspects.delete(key);
        },
        hasOtherEnds: (key, service, now) => otherEndTimes(key, service, now).length > 0,
        quarantined: () => [...suspects.values()].filter(({ quarantine }) => quarantine !== undefined),
        size: () => suspects.size,
    };
};
