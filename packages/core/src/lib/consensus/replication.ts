/** The leader's side: sends entries, counts what a majority holds, and steps down when it hears no majority. */
import { EntryKind } from "./log-entry.js";
import type { EntryBody, Snapshot } from "./log-entry.js";
import { otherVoters, quorumOf } from "./node-context.js";
import type { NodeContext } from "./node-context.js";
import { NodeActionKind, PeerMessageKind } from "./node-messages.js";
import type { AppendReplyMessage } from "./node-messages.js";

/** Most entries of one message, so that a long log is sent in pieces. */
const entriesPerMessage = 64;
/** A host that has not asked to vote for this many heartbeats has given up. */
const joinExpiryRounds = 30;

interface Progress {
    incarnation: number | undefined;
    nextIndex: number;
    matchIndex: number;
    round: number;
    heardAt: number;
    /** The commit position that the peer was last told. */
    toldCommit: number;
    /** A message with entries is on its way; the next waits for its reply or the next heartbeat. */
    busy: boolean;
}

/** A new disk that asks to vote. */
interface Join {
    incarnation: number;
    /** The round of heartbeats that began when it asked; its reply shows that the disk is still the host's. */
    round: number;
    heardAt: number;
}

/** The leader's side of the log. */
export interface Replication {
    /** Begins a term as leader. */
    start(): void;
    tick(): void;
    /** Appends an entry and sends it on; returns its index. */
    propose(body: EntryBody): number;
    receiveReply(from: string, message: AppendReplyMessage): void;
    /** A host asks for its new disk to vote. */
    receiveJoin(from: string, incarnation: number): void;
    /** How long ago a majority was heard, in milliseconds. */
    quorumAgeMs(): number;
    /** Starts a round of heartbeats; once a majority answered it, this host was the leader when it began. */
    startRound(): number;
    isConfirmed(round: number): boolean;
    /** Whether an entry of the own term is committed, so that `commitIndex` is the newest there is. */
    isCaughtUp(): boolean;
    /** The most advanced voter to hand leadership to. */
    successor(): string | undefined;
}

/** What replication tells the other parts. */
export interface ReplicationHooks {
    committed: () => void;
    lostQuorum: () => void;
    snapshot: () => Snapshot;
}

/** Creates the leader's side of one host. */
export const createReplication = (ctx: NodeContext, hooks: ReplicationHooks): Replication => {
    let progress = new Map<string, Progress>();
    let joins = new Map<string, Join>();
    let round = 0;
    let heartbeatAt = 0;
    let termStart = 0;

    const quorumAgeMs = (): number => {
        const heard = Object.entries(ctx.log.voters()).map(([hostId, incarnation]) => {
            if (hostId === ctx.hostId) {
                return ctx.now;
            }
            const peer = progress.get(hostId);
            return peer?.incarnation === incarnation ? peer.heardAt : -Infinity;
        });
        heard.sort((a, b) => b - a);
        return ctx.now - (heard[quorumOf(ctx.log.voters()) - 1] ?? -Infinity);
    };

    const sendTo = (hostId: string, peer: Progress): void => {
        peer.busy = true;
        const previousIndex = peer.nextIndex - 1;
        const previousTerm = ctx.log.termAt(previousIndex);
        if (previousTerm === undefined) {
            const snapshot = hooks.snapshot();
            peer.toldCommit = ctx.commitIndex;
            ctx.send(hostId, { kind: PeerMessageKind.InstallSnapshot, term: ctx.hard.term, snapshot, round });
            return;
        }
        peer.toldCommit = ctx.commitIndex;
        ctx.send(hostId, {
            kind: PeerMessageKind.Append,
            term: ctx.hard.term,
            previousIndex,
            previousTerm,
            entries: ctx.log.slice(peer.nextIndex, entriesPerMessage),
            commitIndex: ctx.commitIndex,
            quorumAgeMs: quorumAgeMs(),
            round,
        });
    };

    const broadcast = (): void => {
        heartbeatAt = ctx.now + ctx.timing.heartbeatMs;
        for (const [hostId, peer] of progress) {
            sendTo(hostId, peer);
        }
    };

    /** Counts the voters whose progress satisfies `test`, this host included. */
    const countVoters = (test: (peer: Progress) => boolean): number =>
        Object.entries(ctx.log.voters()).filter(([hostId, incarnation]) => {
            if (hostId === ctx.hostId) {
                return incarnation === ctx.hard.incarnation;
            }
            const peer = progress.get(hostId);
            return peer?.incarnation === incarnation && test(peer);
        }).length;

    const hasQuorum = (test: (peer: Progress) => boolean): boolean => countVoters(test) >= quorumOf(ctx.log.voters());

    /** Tells voters that hold everything what is committed now, so that they need not wait for the next heartbeat. */
    const tellCommit = (): void => {
        for (const [hostId, peer] of progress) {
            if (!peer.busy && peer.matchIndex === ctx.log.lastIndex() && peer.toldCommit < ctx.commitIndex) {
                sendTo(hostId, peer);
            }
        }
    };

    const advance = (): void => {
        let index = ctx.log.lastIndex();
        while (index > ctx.commitIndex && !hasQuorum(peer => peer.matchIndex >= index)) {
            index -= 1;
        }
        // Only an entry of the own term can be counted; it commits the earlier ones with it.
        if (index > ctx.commitIndex && ctx.log.termAt(index) === ctx.hard.term) {
            ctx.commitIndex = index;
            hooks.committed();
            tellCommit();
        }
    };

    const propose = (body: EntryBody): number => {
        const entry = { index: ctx.log.lastIndex() + 1, term: ctx.hard.term, body };
        ctx.log.append([entry]);
        ctx.emit({ kind: NodeActionKind.Append, entries: [entry] });
        for (const [hostId, peer] of progress) {
            if (!peer.busy) {
                sendTo(hostId, peer);
            }
        }
        advance();
        return entry.index;
    };

    const isCaughtUp = (): boolean => ctx.commitIndex >= termStart;

    /** One change of voters at a time, and none before the own term has committed: two quorums then always meet. */
    const mayChangeVoters = (): boolean => isCaughtUp() && ctx.log.votersIndex() <= ctx.commitIndex;

    /** Whether the new disk is alive now, not only in a late message, and holds all that is committed. */
    const isReadyToJoin = (hostId: string, join: Join): boolean => {
        const peer = progress.get(hostId);
        return peer?.incarnation === join.incarnation && peer.round >= join.round && peer.matchIndex >= ctx.commitIndex;
    };

    const createProgress = (incarnation: number | undefined): Progress => ({
        incarnation,
        nextIndex: ctx.log.lastIndex() + 1,
        matchIndex: 0,
        round: 0,
        heardAt: ctx.now,
        toldCommit: 0,
        busy: false,
    });

    /** Entries are sent to the voters and to the hosts that want to vote. */
    const refreshProgress = (): void => {
        const voters = ctx.log.voters();
        for (const hostId of [...otherVoters(ctx), ...joins.keys()]) {
            if (!progress.has(hostId)) {
                progress.set(hostId, createProgress(voters[hostId]));
            }
        }
        for (const hostId of progress.keys()) {
            if (voters[hostId] === undefined && !joins.has(hostId)) {
                progress.delete(hostId);
            }
        }
    };

    /**
     * Takes out the voter that has been silent for longest, one at a time and only while all others are heard, so that the
     * voters that are left bear the loss of as many disks as before.
     */
    const replaceAbsent = (): void => {
        const { replacement } = ctx;
        const voters = Object.keys(ctx.log.voters());
        if (replacement === undefined || voters.length <= replacement.minVoters || !mayChangeVoters()) {
            return;
        }
        const silentMs = (hostId: string): number =>
            hostId === ctx.hostId ? 0 : ctx.now - (progress.get(hostId)?.heardAt ?? ctx.now);
        const [longest, ...rest] = voters.sort((a, b) => silentMs(b) - silentMs(a));
        const othersAreHeard = rest.every(hostId => silentMs(hostId) < 2 * ctx.timing.heartbeatMs + ctx.timing.electionMs);
        if (longest !== undefined && silentMs(longest) >= replacement.absentMs && othersAreHeard) {
            propose({ kind: EntryKind.RemoveVoter, hostId: longest });
        }
    };

    const settleJoins = (): void => {
        for (const [hostId, join] of joins) {
            const voting = ctx.log.voters()[hostId];
            const hasLeft = ctx.now - join.heardAt > joinExpiryRounds * ctx.timing.heartbeatMs;
            if (voting === join.incarnation || hasLeft) {
                joins.delete(hostId);
                continue;
            }
            if (!mayChangeVoters()) {
                return;
            }
            if (isReadyToJoin(hostId, join)) {
                const { incarnation } = join;
                propose(
                    voting === undefined
                        ? { kind: EntryKind.AddVoter, hostId, incarnation }
                        : { kind: EntryKind.RemoveVoter, hostId },
                );
            }
        }
    };

    const startRound = (): number => {
        round += 1;
        broadcast();
        return round;
    };

    const receiveJoin = (from: string, incarnation: number): void => {
        const known = joins.get(from);
        if (known?.incarnation === incarnation) {
            known.heardAt = ctx.now;
        }
        else {
            joins.set(from, { incarnation, round: round + 1, heardAt: ctx.now });
            refreshProgress();
            startRound();
        }
        settleJoins();
    };

    const start = (): void => {
        progress = new Map();
        joins = new Map();
        refreshProgress();
        termStart = ctx.log.lastIndex() + 1;
        heartbeatAt = ctx.now + ctx.timing.heartbeatMs;
        propose({ kind: EntryKind.Noop });
    };

    const tick = (): void => {
        if (!hasQuorum(peer => ctx.now - peer.heardAt < 2 * ctx.timing.electionMs)) {
            hooks.lostQuorum();
            return;
        }
        if (ctx.now >= heartbeatAt) {
            broadcast();
        }
        settleJoins();
        refreshProgress();
        replaceAbsent();
    };

    const receiveReply = (from: string, message: AppendReplyMessage): void => {
        const peer = progress.get(from);
        if (peer === undefined || message.term !== ctx.hard.term) {
            return;
        }
        if (peer.incarnation !== message.incarnation) {
            peer.incarnation = message.incarnation;
            peer.matchIndex = 0;
            peer.round = 0;
        }
        peer.heardAt = ctx.now;
        peer.busy = false;
        peer.round = Math.max(peer.round, message.round);
        if (message.ok) {
            peer.matchIndex = Math.max(peer.matchIndex, message.index);
            peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex, ctx.log.lastIndex() + 1));
        }
        else {
            peer.nextIndex = Math.max(1, Math.min(message.index, ctx.log.lastIndex() + 1));
        }
        advance();
        if (
            peer.nextIndex <= ctx.log.lastIndex()
            || (peer.matchIndex === ctx.log.lastIndex() && peer.toldCommit < ctx.commitIndex)
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
        isConfirmed: asked => hasQuorum(peer => peer.round >= asked),
        isCaughtUp,
        successor: () => {
            const voters = ctx.log.voters();
            const ready = [...progress].filter(([hostId, peer]) =>
                peer.incarnation !== undefined && voters[hostId] === peer.incarnation && peer.matchIndex === ctx.log.lastIndex()
            );
            ready.sort(([, a], [, b]) => b.heardAt - a.heardAt);
            return ready[0]?.[0];
        },
    };
};
