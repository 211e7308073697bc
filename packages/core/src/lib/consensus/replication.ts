/** Leader side of log replication: sends entries, advances the commit index and steps down without a majority. */
import { ownValue } from "../own-value.js";
import { EntryKind } from "./log-entry.js";
import type { EntryBody, LogEntry, Snapshot } from "./log-entry.js";
import { otherVoters, quorumSize } from "./node-context.js";
import type { NodeContext } from "./node-context.js";
import { NodeActionKind, PeerMessageKind } from "./node-messages.js";
import type { AppendReplyMessage } from "./node-messages.js";
import { createRoundStarts } from "./round-starts.js";

/** Most entries in one message; a longer backlog is sent in several messages. */
const maxEntriesPerMessage = 64;
/** Number of heartbeat intervals without a repeated join request after which the request expires. */
const joinExpiryHeartbeats = 30;

/** Replication progress of one peer. */
interface Progress {
    /** The disk incarnation of the peer; `undefined` until the first reply of a host that is not a voter. */
    incarnation: number | undefined;
    nextIndex: number;
    /** The last index known to match this host's log. */
    matchIndex: number;
    /** The latest heartbeat round that the peer replied to. */
    round: number;
    lastReceivedAt: number;
    /** When the latest round that the peer replied to was started: the peer followed this leader at that time or later. */
    confirmedAt: number;
    /** The commit index in the last message to the peer. */
    sentCommitIndex: number;
    /** Whether a message is unacknowledged. */
    isAwaitingReply: boolean;
    /**
     * The last index of the entries, or of the snapshot, that were sent last and are neither acknowledged nor known to be lost;
     * further ones wait. Links keep the order of messages, so a heartbeat that follows them shows whether they have arrived.
     */
    inFlightIndex: number | undefined;
}

/** The request of a host with a new disk to become a voter. */
interface JoinRequest {
    incarnation: number;
    /** The heartbeat round started at the request; a reply to it proves that the host still uses this disk. */
    round: number;
    lastReceivedAt: number;
}

/** Leader side of log replication. */
export interface Replication {
    /** Starts a term as leader. */
    start(): void;
    /** Sends due heartbeats and processes voter changes; steps down without a majority. */
    tick(): void;
    /** Appends an entry, replicates it and returns its index. */
    propose(body: EntryBody): number;
    receiveReply(from: string, message: AppendReplyMessage): void;
    /** Handles the request of a host with a new disk to become a voter. */
    receiveJoin(from: string, incarnation: number): void;
    /**
     * Time since the start of the latest heartbeat round that a majority replied to, in milliseconds: replies that were held up on
     * their way, or wait while this host is paused, don't make it recent. `Infinity` until an entry of the current term is committed,
     * as an earlier leader may have acknowledged entries that are not known to be committed before that.
     */
    quorumAgeMs(): number;
    /** Starts a heartbeat round and returns its number; replies of a majority prove that this host led when it started. */
    startRound(): number;
    /** Whether a majority has replied to `round` or a later one. */
    isConfirmed(round: number): boolean;
    /** Whether an entry of the current term is committed, so that `commitIndex` covers everything committed before. */
    isCaughtUp(): boolean;
    /** The up-to-date voter to transfer leadership to: the one that replied last. */
    transferTarget(): string | undefined;
}

/** Callbacks of replication. */
export interface ReplicationHooks {
    /** Called after `commitIndex` has grown. */
    commitAdvanced: () => void;
    /** Called when no majority has replied within twice the election timeout. */
    lostQuorum: () => void;
    /** Returns the snapshot to send to a peer whose entries were compacted. */
    latestSnapshot: () => Snapshot;
}

/** Creates the leader side of one host. */
export const createReplication = (ctx: NodeContext, hooks: ReplicationHooks): Replication => {
    let progress = new Map<string, Progress>();
    let joins = new Map<string, JoinRequest>();
    let round = 0;
    const roundStarts = createRoundStarts();
    let nextHeartbeatAt = 0;
    let termStartIndex = 0;

    const isCaughtUp = (): boolean => ctx.commitIndex >= termStartIndex;

    const quorumAgeMs = (): number => {
        if (!isCaughtUp()) {
            return Infinity;
        }
        const confirmedTimes = Object.entries(ctx.log.voters()).map(([hostId, incarnation]) => {
            if (hostId === ctx.hostId) {
                return ctx.now;
            }
            const peer = progress.get(hostId);
            return peer?.incarnation === incarnation ? peer.confirmedAt : -Infinity;
        });
        confirmedTimes.sort((a, b) => b - a);
        return ctx.now - (confirmedTimes[quorumSize(ctx.log.voters()) - 1] ?? -Infinity);
    };

    /** Sends an append message without entries, or with those after `previousIndex`. */
    const sendAppend = (hostId: string, previousIndex: number, entries: LogEntry[]): void => {
        ctx.send(hostId, {
            kind: PeerMessageKind.Append,
            term: ctx.hardState.term,
            previousIndex,
            previousTerm: ctx.log.termAt(previousIndex)!,
            entries,
            commitIndex: ctx.commitIndex,
            quorumAgeMs: quorumAgeMs(),
            round,
        });
    };

    /** Sends the entries that the peer lacks, or the snapshot if they are compacted; only a heartbeat while some are in flight. */
    const sendTo = (hostId: string, peer: Progress): void => {
        peer.isAwaitingReply = true;
        peer.sentCommitIndex = ctx.commitIndex;
        if (peer.inFlightIndex !== undefined) {
            sendAppend(hostId, Math.max(peer.inFlightIndex, ctx.log.baseIndex()), []);
            return;
        }
        const previousIndex = peer.nextIndex - 1;
        if (ctx.log.termAt(previousIndex) === undefined) {
            const snapshot = hooks.latestSnapshot();
            peer.inFlightIndex = snapshot.index;
            ctx.send(hostId, { kind: PeerMessageKind.InstallSnapshot, term: ctx.hardState.term, snapshot, round });
            return;
        }
        const entries = ctx.log.slice(peer.nextIndex, maxEntriesPerMessage);
        peer.inFlightIndex = entries.at(-1)?.index;
        sendAppend(hostId, previousIndex, entries);
    };

    const broadcast = (): void => {
        nextHeartbeatAt = ctx.now + ctx.timing.heartbeatMs;
        for (const [hostId, peer] of progress) {
            sendTo(hostId, peer);
        }
    };

    /** Counts the voters whose progress satisfies `predicate`, including this host. */
    const countVoters = (predicate: (peer: Progress) => boolean): number =>
        Object.entries(ctx.log.voters()).filter(([hostId, incarnation]) => {
            if (hostId === ctx.hostId) {
                return incarnation === ctx.hardState.incarnation;
            }
            const peer = progress.get(hostId);
            return peer?.incarnation === incarnation && predicate(peer);
        }).length;

    const hasQuorum = (predicate: (peer: Progress) => boolean): boolean => countVoters(predicate) >= quorumSize(ctx.log.voters());

    /** Sends the commit index to peers with a complete log at once, instead of with the next heartbeat. */
    const sendCommitIndex = (): void => {
        for (const [hostId, peer] of progress) {
            if (!peer.isAwaitingReply && peer.matchIndex === ctx.log.lastIndex() && peer.sentCommitIndex < ctx.commitIndex) {
                sendTo(hostId, peer);
            }
        }
    };

    const advanceCommitIndex = (): void => {
        let index = ctx.log.lastIndex();
        while (index > ctx.commitIndex && !hasQuorum(peer => peer.matchIndex >= index)) {
            index -= 1;
        }
        // Only an entry of the current term is committed by counting replicas; it commits the earlier entries too.
        if (index > ctx.commitIndex && ctx.log.termAt(index) === ctx.hardState.term) {
            ctx.commitIndex = index;
            hooks.commitAdvanced();
            sendCommitIndex();
        }
    };

    const propose = (body: EntryBody): number => {
        const entry = { index: ctx.log.lastIndex() + 1, term: ctx.hardState.term, body };
        ctx.log.append([entry]);
        ctx.emit({ kind: NodeActionKind.Append, entries: [entry] });
        for (const [hostId, peer] of progress) {
            if (peer.inFlightIndex === undefined) {
                sendTo(hostId, peer);
            }
        }
        advanceCommitIndex();
        return entry.index;
    };

    /** One voter change at a time, and none before an entry of the current term is committed: any two quorums then overlap. */
    const mayChangeVoters = (): boolean => isCaughtUp() && ctx.log.lastVoterChangeIndex() <= ctx.commitIndex;

    /** Whether the new disk replied after its request, not only in a delayed message, and holds all committed entries. */
    const isReadyToJoin = (hostId: string, join: JoinRequest): boolean => {
        const peer = progress.get(hostId);
        return peer?.incarnation === join.incarnation && peer.round >= join.round && peer.matchIndex >= ctx.commitIndex;
    };

    const createProgress = (incarnation: number | undefined): Progress => ({
        incarnation,
        nextIndex: ctx.log.lastIndex() + 1,
        matchIndex: 0,
        round: 0,
        lastReceivedAt: ctx.now,
        confirmedAt: -Infinity,
        sentCommitIndex: 0,
        isAwaitingReply: false,
        inFlightIndex: undefined,
    });

    /** Tracks the voters and the hosts that request to become voters; entries are sent to both. */
    const refreshProgress = (): void => {
        const voters = ctx.log.voters();
        for (const hostId of [...otherVoters(ctx), ...joins.keys()].filter(id => !progress.has(id))) {
            progress.set(hostId, createProgress(ownValue(voters, hostId)));
        }
        for (const hostId of progress.keys()) {
            if (ownValue(voters, hostId) === undefined && !joins.has(hostId)) {
                progress.delete(hostId);
            }
        }
    };

    /**
     * Removes the voter with the longest silence, one at a time and only while enough others reply: those alone tolerate the
     * loss of as many disks as before. Other absent voters don't delay the removal, or two of them would stay for good.
     */
    const removeAbsentVoter = (): void => {
        const { replacement } = ctx;
        if (replacement === undefined || !mayChangeVoters()) {
            return;
        }
        const silenceMs = (hostId: string): number =>
            hostId === ctx.hostId ? 0 : ctx.now - (progress.get(hostId)?.lastReceivedAt ?? ctx.now);
        const [longestSilent, ...others] = Object.keys(ctx.log.voters()).sort((a, b) => silenceMs(b) - silenceMs(a));
        const reachable = others.filter(hostId => silenceMs(hostId) < 2 * ctx.timing.heartbeatMs + ctx.timing.electionTimeoutMs);
        if (
            longestSilent !== undefined && silenceMs(longestSilent) >= replacement.absenceTimeoutMs
            && reachable.length >= replacement.minVoters
        ) {
            propose({ kind: EntryKind.RemoveVoter, hostId: longestSilent });
        }
    };

    const processJoins = (): void => {
        for (const [hostId, join] of joins) {
            const voterIncarnation = ownValue(ctx.log.voters(), hostId);
            const isExpired = ctx.now - join.lastReceivedAt > joinExpiryHeartbeats * ctx.timing.heartbeatMs;
            if (voterIncarnation === join.incarnation || isExpired) {
                joins.delete(hostId);
                continue;
            }
            if (!mayChangeVoters()) {
                return;
            }
            if (isReadyToJoin(hostId, join)) {
                const { incarnation } = join;
                propose(
                    voterIncarnation === undefined
                        ? { kind: EntryKind.AddVoter, hostId, incarnation }
                        : { kind: EntryKind.RemoveVoter, hostId },
                );
            }
        }
    };

    const startRound = (): number => {
        round += 1;
        roundStarts.record(round, ctx.now);
        broadcast();
        return round;
    };

    const receiveJoin = (from: string, incarnation: number): void => {
        const pendingJoin = joins.get(from);
        if (pendingJoin?.incarnation === incarnation) {
            pendingJoin.lastReceivedAt = ctx.now;
        }
        else {
            joins.set(from, { incarnation, round: round + 1, lastReceivedAt: ctx.now });
            refreshProgress();
            startRound();
        }
        processJoins();
    };

    const start = (): void => {
        progress = new Map();
        joins = new Map();
        refreshProgress();
        termStartIndex = ctx.log.lastIndex() + 1;
        nextHeartbeatAt = ctx.now + ctx.timing.heartbeatMs;
        roundStarts.clear();
        roundStarts.record(round, ctx.now);
        propose({ kind: EntryKind.Noop });
    };

    const tick = (): void => {
        if (!hasQuorum(peer => ctx.now - peer.lastReceivedAt < 2 * ctx.timing.electionTimeoutMs)) {
            hooks.lostQuorum();
            return;
        }
        if (ctx.now >= nextHeartbeatAt) {
            startRound();
        }
        processJoins();
        refreshProgress();
        removeAbsentVoter();
    };

    const receiveReply = (from: string, message: AppendReplyMessage): void => {
        const peer = progress.get(from);
        if (peer === undefined || message.term !== ctx.hardState.term) {
            return;
        }
        if (peer.incarnation !== message.incarnation) {
            peer.incarnation = message.incarnation;
            peer.matchIndex = 0;
            peer.round = 0;
            peer.confirmedAt = -Infinity;
            peer.inFlightIndex = undefined;
        }
        peer.lastReceivedAt = ctx.now;
        peer.confirmedAt = Math.max(peer.confirmedAt, roundStarts.startOf(message.round));
        peer.isAwaitingReply = false;
        peer.round = Math.max(peer.round, message.round);
        if (message.ok) {
            peer.matchIndex = Math.max(peer.matchIndex, message.index);
            peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex, ctx.log.lastIndex() + 1));
            if (peer.matchIndex >= (peer.inFlightIndex ?? 0)) {
                peer.inFlightIndex = undefined;
            }
        }
        else {
            peer.inFlightIndex = undefined;
            peer.nextIndex = Math.max(1, Math.min(message.index, ctx.log.lastIndex() + 1));
        }
        advanceCommitIndex();
        if (
            (peer.inFlightIndex === undefined && peer.nextIndex <= ctx.log.lastIndex())
            || (peer.matchIndex === ctx.log.lastIndex() && peer.sentCommitIndex < ctx.commitIndex)
        ) {
            sendTo(from, peer);
        }
    };

    return {
        start,
        tick,
        propose,
        receiveReply,
        receiveJoin,
        quorumAgeMs,
        startRound,
        isConfirmed: confirmedRound => hasQuorum(peer => peer.round >= confirmedRound),
        isCaughtUp,
        transferTarget: () => {
            const voters = ctx.log.voters();
            const ready = [...progress].filter(([hostId, { incarnation, matchIndex }]) =>
                incarnation !== undefined && ownValue(voters, hostId) === incarnation && matchIndex === ctx.log.lastIndex()
            );
            ready.sort(([, a], [, b]) => b.lastReceivedAt - a.lastReceivedAt);
            return ready[0]?.[0];
        },
    };
};
