/** How a restarted replica learns what it may have voted, and for which keys it knows enough to vote again. */
import type { ClaimLimits } from "./claim-contract.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { Addressed, CatchUpPage, Incarnations } from "./claim-message.js";
import type { ClaimStore } from "./claim-store.js";
import { majorityOf } from "./roster.js";
import type { Membership } from "./roster.js";

/** Options of {@link createCatchUp}. */
export interface CatchUpCfg {
    hostId: string;
    incarnation: number;
    limits: ClaimLimits;
    store: ClaimStore;
}

/** The catch-up of one host. */
export interface CatchUp {
    /** This process, as the others know it. */
    incarnation(): number;
    known: Incarnations;
    membership(): Membership | undefined;
    setRoster(membership: Membership, now: number): Addressed[];
    /** The state hosts say that no earlier process of this host ever voted. */
    firstStart(): void;
    /** Whether the replica may vote on a key: it knows all that an earlier process may have voted for. */
    mayVote(claimId: string, now: number): boolean;
    /** Hosts that have sent nothing yet; none where nothing is needed. */
    missing(now: number): string[];
    /** The third replicas for which this host may answer the catch-up of `hostId`; `undefined` for all. */
    vouchedFor(hostId: string, now: number): string[] | undefined;
    page(page: CatchUpPage, fromHostId: string, now: number): Addressed[];
    /** The session is lost, for example with a restart of the host that sent it. */
    restart(session: string, fromHostId: string, now: number): Addressed[];
    /** An earlier process of this host used a number that is not lower. */
    incarnationUsed(highest: number, now: number): Addressed[];
    /** Asks again where pages are missing. */
    tick(now: number): Addressed[];
}

/** A host from which records arrive. */
interface Source {
    session: string | undefined;
    cursor: number;
    /** Whether it has sent all that it knows and will never forget a part of that. */
    complete: boolean;
    /** The third replicas that it has vouched for. */
    vouchedFor: Set<string>;
    askedAt: number;
    /** Grows while nothing comes back, so that a host that stays away costs little. */
    pauseMs: number;
}

/** The longest pause between two questions, in times of sending again. */
const maxPauses = 10;

/** Creates the catch-up of a process that has just started. */
export const createCatchUp = (cfg: CatchUpCfg): CatchUp => {
    const known: Incarnations = {};
    const sources = new Map<string, Source>();
    /** The lists that an earlier process of this host may have voted under. */
    const listsAtStart = new Set<string>();
    let membership: Membership | undefined;
    let incarnation = cfg.incarnation;
    let startedAt: number | undefined;
    let clean = false;

    const isClean = (now: number): boolean => clean || (startedAt !== undefined && now - startedAt >= cfg.limits.horizonMs);

    const heardFrom = (hostId: string, set: string[]): boolean => {
        const source = sources.get(hostId);
        if (source === undefined) {
            return false;
        }
        const thirds = set.filter(other => other !== hostId && other !== cfg.hostId);
        const needed = thirds.length === 0 ? [hostId] : thirds;
        return source.complete || needed.every(third => source.vouchedFor.has(third));
    };

    /**
     * Any majority that an earlier process of this host was part of must share a host with those that were heard.
     */
    const knowsSet = (set: string[]): boolean => {
        const heard = set.filter(hostId => hostId !== cfg.hostId && heardFrom(hostId, set));
        return heard.length >= set.length - majorityOf(set.length) + 1;
    };

    const mayVote = (claimId: string, now: number): boolean => {
        if (membership === undefined) {
            return false;
        }
        return isClean(now) || membership.lists.every(list => {
            // A list that is newer than this process was never voted under by an earlier one.
            if (!listsAtStart.has(list.id)) {
                return true;
            }
            const set = list.replicasOf(claimId);
            return !set.includes(cfg.hostId) || knowsSet(set);
        });
    };

    /** A set of two is vouched for by naming the answering host itself. */
    const vouchedFor = (hostId: string, now: number): string[] | undefined => {
        if (isClean(now)) {
            return undefined;
        }
        const hostIds = new Set(membership?.lists.flatMap(list => list.hostIds));
        return [...hostIds].filter(third => knowsSet([...new Set([cfg.hostId, hostId, third])]));
    };

    const ask = (hostId: string, source: Source, now: number): Addressed => {
        source.askedAt = now;
        source.pauseMs = Math.min(source.pauseMs * 2, cfg.limits.resendMs * maxPauses);
        const rosterVersion = membership?.roster.version ?? 0;
        const { session, cursor, vouchedFor: { size: vouched } } = source;
        return { hostId, message: { kind: ClaimMessageKind.CatchUp, rosterVersion, incarnation, session, cursor, vouched } };
    };

    const rememberStart = (first: Membership, now: number): void => {
        startedAt = now;
        for (const list of first.lists) {
            listsAtStart.add(list.id);
            for (const hostId of list.hostIds.filter(other => other !== cfg.hostId)) {
                sources.set(hostId, {
                    session: undefined,
                    cursor: 0,
                    complete: false,
                    vouchedFor: new Set(),
                    askedAt: now,
                    pauseMs: cfg.limits.resendMs / 2,
                });
            }
        }
    };

    const askAll = (now: number): Addressed[] =>
        [...sources].filter(([, source]) => !source.complete).map(([hostId, source]) => ask(hostId, source, now));

    const setRoster = (next: Membership, now: number): Addressed[] => {
        const isFirst = membership === undefined;
        membership = next;
        if (isFirst) {
            rememberStart(next, now);
        }
        return isClean(now) ? [] : askAll(now);
    };

    const learn = (fromHostId: string, page: CatchUpPage): void => {
        for (const [hostId, number] of [...Object.entries(page.known), [fromHostId, page.incarnation] as const]) {
            known[hostId] = Math.max(known[hostId] ?? 0, number);
        }
    };

    const isWanted = (source: Source, received: CatchUpPage): boolean =>
        received.forIncarnation === incarnation && !source.complete && source.cursor === received.cursor
        && (source.session ?? received.session) === received.session;

    const restartSource = (source: Source): void => {
        source.session = undefined;
        source.cursor = 0;
    };

    const page = (received: CatchUpPage, fromHostId: string, now: number): Addressed[] => {
        const source = sources.get(fromHostId);
        if (source === undefined || !isWanted(source, received)) {
            return [];
        }
        learn(fromHostId, received);
        source.pauseMs = cfg.limits.resendMs;
        for (const record of received.records) {
            cfg.store.merge(record, now);
        }
        if (received.next !== undefined) {
            source.session = received.session;
            source.cursor = received.next;
            return [ask(fromHostId, source, now)];
        }
        restartSource(source);
        source.complete = received.vouchedFor === undefined;
        for (const third of received.vouchedFor ?? []) {
            source.vouchedFor.add(third);
        }
        return [];
    };

    const restart = (session: string, fromHostId: string, now: number): Addressed[] => {
        const source = sources.get(fromHostId);
        if (source?.session !== session) {
            return [];
        }
        restartSource(source);
        return [ask(fromHostId, source, now)];
    };

    const restartSources = (): void => {
        for (const source of sources.values()) {
            restartSource(source);
            source.complete = false;
            source.vouchedFor.clear();
        }
    };

    const missing = (now: number): string[] => {
        const silent = [...sources].filter(([, source]) => !source.complete && source.vouchedFor.size === 0);
        return isClean(now) ? [] : silent.map(([hostId]) => hostId);
    };

    const incarnationUsed = (highest: number, now: number): Addressed[] => {
        if (highest <= incarnation) {
            return [];
        }
        incarnation = highest + 1;
        restartSources();
        return askAll(now);
    };

    /** A source that could not vouch for everything is asked again: it may have caught up since. */
    const isDue = (source: Source, now: number): boolean => !source.complete && now - source.askedAt >= source.pauseMs;

    const tick = (now: number): Addressed[] => {
        if (membership === undefined || isClean(now)) {
            return [];
        }
        const due = [...sources].filter(([, source]) => isDue(source, now));
        return due.map(([hostId, source]) => ask(hostId, source, now));
    };

    return {
        incarnation: () => incarnation,
        known,
        membership: () => membership,
        setRoster,
        firstStart: () => {
            clean = true;
        },
        mayVote,
        missing,
        vouchedFor,
        page,
        restart,
        incarnationUsed,
        tick,
    };
};
