/** The leader's side: sends entries, counts what a majority holds, and steps down when it hears no majority. */
import { EntryKind } from "./log-entry.js";
import type { EntryBody, Snapshot } from "./log-entry.js";
import { quorumOf } from "./node-context.js";
import type { NodeContext } from "./node-context.js";
import { NodeActionKind, PeerMessageKind } from "./node-messages.js";
import type { AppendReplyMessage } from "./node-messages.js";

/** Most entries of one message, so that a long log is sent in pieces. */
const entriesPerMessage = 64;

interface Progress {
    incarnation: number | undefined;
    nextIndex: number;
    matchIndex: number;
    round: number;
    heardAt: number;
    /** A message with entries is on its way; the next waits for its reply or the next heartbeat. */
    busy: boolean;
}

/** A new disk that asks to vote. */
interface Join {
    incarnation: number;
    /** The round of heartbeats that began when it asked; its reply shows that the disk is still the host's. */
    round: number;
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

    const sendTo = (hostId: string, peer: Progress): void => {
        peer.busy = true;
        const previousIndex = peer.nextIndex - 1;
        const previousTerm = ctx.log.termAt(previousIndex);
        if (previousTerm === undefined) {
            const snapshot = hooks.snapshot();
            ctx.send(hostId, { kind: PeerMessageKind.InstallSnapshot, term: ctx.hard.term, snapshot, round });
            return;
        }
        ctx.send(hostId, {
            kind: PeerMessageKind.Append,
            term: ctx.hard.term,
            previousIndex,
            previousTerm,
            entries: ctx.log.slice(peer.nextIndex, entriesPerMessage),
            commitIndex: ctx.commitIndex,
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

    const advance = (): void => {
        let index = ctx.log.lastIndex();
        while (index > ctx.commitIndex && !hasQuorum(peer => peer.matchIndex >= index)) {
            index -= 1;
        }
        // Only an entry of the own term can be counted; it commits the earlier ones with it.
        if (index > ctx.commitIndex && ctx.log.termAt(index) === ctx.hard.term) {
            ctx.commitIndex = index;
            hooks.committed();
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

    const settleJoins = (): void => {
        for (const [hostId, join] of joins) {
            const voting = ctx.log.voters()[hostId];
            if (voting === join.incarnation) {
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
        if (joins.get(from)?.incarnation !== incarnation) {
            joins.set(from, { incarnation, round: startRound() });
        }
        settleJoins();
    };

    const start = (): void => {
        const voters = ctx.log.voters();
        const fresh = (hostId: string): Progress => ({
            incarnation: voters[hostId],
            nextIndex: ctx.log.lastIndex() + 1,
            matchIndex: 0,
            round: 0,
            heardAt: ctx.now,
            busy: false,
        });
        progress = new Map(ctx.others.map(hostId => [hostId, fresh(hostId)]));
        joins = new Map();
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
        if (peer.nextIndex <= ctx.log.lastIndex()) {
            sendTo(from, peer);
        }
    };

    return {
        start,
        tick,
        propose,
        receiveReply,
        receiveJoin,
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
