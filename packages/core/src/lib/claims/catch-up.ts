/** Rebuilds the votes of a restarted replica from its peers, and decides for which keys it may vote again. */
import { ownValue, setOwnValue } from "../own-value.js";
import type { ClaimLimits } from "./claim-contract.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { AddressedMessage, CatchUpPage, Incarnations } from "./claim-message.js";
import type { ClaimStore } from "./claim-store.js";
import { majorityOf } from "./roster.js";
import type { ReplicaPlacement } from "./roster.js";

/** Options of {@link createCatchUp}. */
export interface CatchUpCfg {
    hostId: string;
    incarnation: number;
    limits: ClaimLimits;
    store: ClaimStore;
}

/** The requesting side of catch-up on one host. Times are in milliseconds. */
export interface CatchUp {
    /** The incarnation of this process that its peers see. */
    incarnation(): number;
    /** The highest incarnation of each other host that this host knows of. */
    knownIncarnations: Incarnations;
    /** The placement in force; `undefined` before the first roster. */
    placement(): ReplicaPlacement | undefined;
    /** Sets the placement; unless every earlier vote is known, requests the records that are still missing. */
    setPlacement(placement: ReplicaPlacement, now: number): AddressedMessage[];
    /** Records that, according to the state hosts, no earlier process of this host ever voted. */
    confirmFirstStart(): void;
    /** Whether the replica may vote on a key: it knows every vote that an earlier process may have given for it. */
    mayVote(claimId: string, now: number): boolean;
    /** Hosts that have completed no catch-up session yet; empty when no catch-up is needed. */
    pendingHosts(now: number): string[];
    /**
     * The third replicas of the sets {this host, `hostId`, third replica} whose records this host knows completely;
     * `undefined` for all of them.
     */
    vouchedFor(hostId: string, now: number): string[] | undefined;
    /** Merges a page and requests the next one. */
    receivePage(page: CatchUpPage, fromHostId: string, now: number): AddressedMessage[];
    /** Opens another session, because the sender has lost this one, for example by a restart. */
    restartSession(session: string, fromHostId: string, now: number): AddressedMessage[];
    /** Raises the incarnation and starts over, because an earlier process of this host used one that is not lower. */
    raiseIncarnation(highest: number, now: number): AddressedMessage[];
    /** Repeats the requests that are due. */
    tick(now: number): AddressedMessage[];
}

/** The state of the catch-up from one host. */
interface CatchUpProgress {
    session: string | undefined;
    /** The number of records of the session that have arrived. */
    cursor: number;
    /** Whether the host has sent all its records and knew all its own votes when it did. */
    complete: boolean;
    /** The third replicas for which the host has vouched. */
    vouchedFor: Set<string>;
    requestedAt: number;
    /** Doubles while no reply arrives, so that an unreachable host costs little. */
    retryDelayMs: number;
}

/** The incarnation of a process without a predecessor. */
const firstIncarnation = 0;
/** The longest delay between two requests to a host, as a multiple of `resendMs`. */
const maxRetryDelayFactor = 10;

/** Creates the catch-up state of a process that has just started. */
export const createCatchUp = (cfg: CatchUpCfg): CatchUp => {
    const knownIncarnations: Incarnations = {};
    const sources = new Map<string, CatchUpProgress>();
    /** The host lists under which an earlier process of this host may have voted. */
    const initialListIds = new Set<string>();
    let placement: ReplicaPlacement | undefined;
    let incarnation = cfg.incarnation;
    let startedAt: number | undefined;
    let noVotesLost = false;

    /** After a whole horizon every earlier vote has expired. */
    const knowsAllVotes = (now: number): boolean =>
        noVotesLost || (startedAt !== undefined && now - startedAt >= cfg.limits.horizonMs);

    /** Whether `hostId` has sent all records of this replica set. */
    const hasCaughtUpFrom = (hostId: string, replicaSet: string[]): boolean => {
        const source = sources.get(hostId);
        if (source === undefined) {
            return false;
        }
        const thirdReplicas = replicaSet.filter(other => other !== hostId && other !== cfg.hostId);
        const requiredReplicas = thirdReplicas.length === 0 ? [hostId] : thirdReplicas;
        return source.complete || requiredReplicas.every(third => source.vouchedFor.has(third));
    };

    /** Every majority that an earlier process of this host was part of must share a host with the complete sources. */
    const hasCaughtUpOn = (replicaSet: string[]): boolean => {
        const completeSources = replicaSet.filter(hostId => hostId !== cfg.hostId && hasCaughtUpFrom(hostId, replicaSet));
        return completeSources.length >= replicaSet.length - majorityOf(replicaSet.length) + 1;
    };

    const mayVote = (claimId: string, now: number): boolean => {
        if (placement === undefined) {
            return false;
        }
        return knowsAllVotes(now) || placement.hostLists.every(list => {
            // An earlier process can't have voted under a list that is newer than this process.
            if (!initialListIds.has(list.id)) {
                return true;
            }
            const replicaSet = list.replicasOf(claimId);
            return !replicaSet.includes(cfg.hostId) || hasCaughtUpOn(replicaSet);
        });
    };

    /** A host that was in no list at the start: this process has seen every vote of every replica set that includes it. */
    const joinedLater = (hostId: string): boolean => hostId !== cfg.hostId && !sources.has(hostId);

    /** To vouch for a set of two hosts, this host names itself. */
    const vouchedFor = (hostId: string, now: number): string[] | undefined => {
        if (knowsAllVotes(now)) {
            return undefined;
        }
        const hostIds = new Set(placement?.hostLists.flatMap(list => list.hostIds));
        const canVouchFor = (third: string): boolean => hasCaughtUpOn([...new Set([cfg.hostId, hostId, third])]);
        return [...hostIds].filter(third => joinedLater(hostId) || joinedLater(third) || canVouchFor(third));
    };

    const requestPage = (hostId: string, source: CatchUpProgress, now: number): AddressedMessage => {
        source.requestedAt = now;
        source.retryDelayMs = Math.min(source.retryDelayMs * 2, cfg.limits.resendMs * maxRetryDelayFactor);
        const rosterVersion = placement?.roster.version ?? 0;
        const { session, cursor, vouchedFor: { size: vouched } } = source;
        return { hostId, message: { kind: ClaimMessageKind.CatchUp, rosterVersion, incarnation, session, cursor, vouched } };
    };

    const registerSources = (first: ReplicaPlacement, now: number): void => {
        startedAt = now;
        for (const list of first.hostLists) {
            initialListIds.add(list.id);
            for (const hostId of list.hostIds.filter(other => other !== cfg.hostId)) {
                sources.set(hostId, {
                    session: undefined,
                    cursor: 0,
                    complete: false,
                    vouchedFor: new Set(),
                    requestedAt: now,
                    retryDelayMs: cfg.limits.resendMs / 2,
                });
            }
        }
    };

    const requestPages = (now: number): AddressedMessage[] =>
        [...sources].filter(([, source]) => !source.complete).map(([hostId, source]) => requestPage(hostId, source, now));

    const setPlacement = (next: ReplicaPlacement, now: number): AddressedMessage[] => {
        const isFirst = placement === undefined;
        placement = next;
        if (isFirst) {
            registerSources(next, now);
        }
        return knowsAllVotes(now) ? [] : requestPages(now);
    };

    const recordIncarnations = (fromHostId: string, page: CatchUpPage): void => {
        for (const [hostId, knownIncarnation] of [...Object.entries(page.known), [fromHostId, page.incarnation] as const]) {
            setOwnValue(knownIncarnations, hostId, Math.max(ownValue(knownIncarnations, hostId) ?? 0, knownIncarnation));
        }
    };

    const isExpectedPage = (source: CatchUpProgress, page: CatchUpPage): boolean =>
        page.forIncarnation === incarnation && !source.complete && source.cursor === page.cursor
        && (source.session ?? page.session) === page.session;

    const resetSession = (source: CatchUpProgress): void => {
        source.session = undefined;
        source.cursor = 0;
    };

    const receivePage = (page: CatchUpPage, fromHostId: string, now: number): AddressedMessage[] => {
        const source = sources.get(fromHostId);
        if (source === undefined || !isExpectedPage(source, page)) {
            return [];
        }
        recordIncarnations(fromHostId, page);
        source.retryDelayMs = cfg.limits.resendMs;
        for (const record of page.records) {
            cfg.store.merge(record, now);
        }
        if (page.next !== undefined) {
            source.session = page.session;
            source.cursor = page.next;
            return [requestPage(fromHostId, source, now)];
        }
        resetSession(source);
        source.complete = page.vouchedFor === undefined;
        for (const third of page.vouchedFor ?? []) {
            source.vouchedFor.add(third);
        }
        return [];
    };

    const restartSession = (session: string, fromHostId: string, now: number): AddressedMessage[] => {
        const source = sources.get(fromHostId);
        if (source?.session !== session) {
            return [];
        }
        resetSession(source);
        return [requestPage(fromHostId, source, now)];
    };

    const resetSources = (): void => {
        for (const source of sources.values()) {
            resetSession(source);
            source.complete = false;
            source.vouchedFor.clear();
        }
    };

    const confirmFirstStart = (): void => {
        noVotesLost = true;
        // An incarnation that no other host has seen must be lower than that of any later process, even if the clock goes back.
        incarnation = placement === undefined ? firstIncarnation : incarnation;
    };

    const pendingHosts = (now: number): string[] => {
        const pending = [...sources].filter(([, source]) => !source.complete && source.vouchedFor.size === 0);
        return knowsAllVotes(now) ? [] : pending.map(([hostId]) => hostId);
    };

    const raiseIncarnation = (highest: number, now: number): AddressedMessage[] => {
        if (highest <= incarnation) {
            return [];
        }
        incarnation = highest + 1;
        resetSources();
        return requestPages(now);
    };

    /** A source that could not vouch for all sets gets further requests: it may have caught up since. */
    const isDue = (source: CatchUpProgress, now: number): boolean =>
        !source.complete && now - source.requestedAt >= source.retryDelayMs;

    const tick = (now: number): AddressedMessage[] => {
        if (placement === undefined || knowsAllVotes(now)) {
            return [];
        }
        const due = [...sources].filter(([, source]) => isDue(source, now));
        return due.map(([hostId, source]) => requestPage(hostId, source, now));
    };

    return {
        incarnation: () => incarnation,
        knownIncarnations,
        placement: () => placement,
        setPlacement,
        confirmFirstStart,
        mayVote,
        pendingHosts,
        vouchedFor,
        receivePage,
        restartSession,
        raiseIncarnation,
        tick,
    };
};
