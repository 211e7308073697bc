/** Elections: pre-votes first, so that an isolated host disturbs nobody, then votes that are remembered on disk. */
import { StateRole } from "../state-messages.js";
import { isVoter, otherVoters, passiveRole, quorumOf } from "./node-context.js";
import type { NodeContext } from "./node-context.js";
import { PeerMessageKind } from "./node-messages.js";
import type { VoteMessage, VoteReplyMessage } from "./node-messages.js";

/** Decides when to stand for election and whom to vote for. */
export interface Election {
    tick(): void;
    /** Puts the next election off, because the leader was heard. */
    postpone(): void;
    /** Follows `term`, which is at least the own term. */
    follow(term: number, leaderId: string | undefined): void;
    /** Stands at once, because the leader asked for it. */
    standNow(): void;
    receiveVote(from: string, message: VoteMessage): void;
    receiveVoteReply(from: string, message: VoteReplyMessage): void;
}

/** What the election tells the other parts. */
export interface ElectionHooks {
    won: () => void;
    /** The host no longer leads. */
    deposed: () => void;
}

/** The first election after a start begins within this share to half of an election's time. */
const firstTryShare = 0.1;
/**
 * A try without a majority is made again within this to twice this share of an election's time. A pre-vote disturbs nobody;
 * votes that were split between candidates come back in a round trip, a tenth of an election's time.
 */
const retryShare = { preVote: 0.2, vote: 0.4 } as const;

/** Creates the elections of one host. */
export const createElection = (ctx: NodeContext, hooks: ElectionHooks): Election => {
    let granted = new Map<string, number>();
    let preVoting = false;
    let deadline: number | undefined;
    let hasDeferred = false;

    const postpone = (): void => {
        deadline = ctx.now + ctx.timing.electionMs * (1 + ctx.random.next());
    };

    const tryAgainLater = (share: number): void => {
        deadline = ctx.now + ctx.timing.electionMs * share * (1 + ctx.random.next());
    };

    const follow = (term: number, leaderId: string | undefined): void => {
        const led = ctx.role === StateRole.Leader;
        if (term > ctx.hard.term) {
            ctx.saveHard({ term, votedFor: undefined });
        }
        preVoting = false;
        ctx.role = passiveRole(ctx);
        ctx.leaderId = leaderId;
        postpone();
        if (led) {
            hooks.deposed();
        }
    };

    const countsAsWon = (): boolean => {
        const voters = ctx.log.voters();
        const votes = Object.entries(voters).filter(([hostId, incarnation]) => granted.get(hostId) === incarnation);
        return votes.length >= quorumOf(voters);
    };

    const ask = (preVote: boolean, transfer: boolean): void => {
        const message: VoteMessage = {
            kind: PeerMessageKind.Vote,
            term: preVote ? ctx.hard.term + 1 : ctx.hard.term,
            preVote,
            transfer,
            lastIndex: ctx.log.lastIndex(),
            lastTerm: ctx.log.lastTerm(),
        };
        for (const hostId of otherVoters(ctx)) {
            ctx.send(hostId, message);
        }
    };

    const win = (): void => {
        ctx.role = StateRole.Leader;
        ctx.leaderId = ctx.hostId;
        hooks.won();
    };

    const stand = (transfer: boolean): void => {
        preVoting = false;
        ctx.role = StateRole.Candidate;
        ctx.leaderId = undefined;
        ctx.saveHard({ term: ctx.hard.term + 1, votedFor: ctx.hostId });
        granted = new Map([[ctx.hostId, ctx.hard.incarnation]]);
        tryAgainLater(retryShare.vote);
        ask(false, transfer);
        if (countsAsWon()) {
            win();
        }
    };

    const preVote = (): void => {
        preVoting = true;
        hasDeferred = false;
        ctx.role = StateRole.Candidate;
        ctx.leaderId = undefined;
        granted = new Map([[ctx.hostId, ctx.hard.incarnation]]);
        tryAgainLater(retryShare.preVote);
        ask(true, false);
        if (countsAsWon()) {
            stand(false);
        }
    };

    const tick = (): void => {
        if (deadline === undefined) {
            // After a start nobody is known to lead. The pre-vote keeps a leader that does, so an early try costs nothing.
            deadline = ctx.now + ctx.timing.electionMs * (ctx.random.next() + firstTryShare) / 2;
            return;
        }
        if (ctx.now < deadline || ctx.role === StateRole.Leader) {
            return;
        }
        if (isVoter(ctx)) {
            preVote();
            return;
        }
        ctx.leaderId = undefined;
        postpone();
    };

    const isUpToDate = (message: VoteMessage): boolean =>
        message.lastTerm > ctx.log.lastTerm()
        || (message.lastTerm === ctx.log.lastTerm() && message.lastIndex >= ctx.log.lastIndex());

    /** A host that hears its leader, or leads, keeps to it: only the leader itself can ask for an earlier election. */
    const keepsLeader = (): boolean => ctx.role === StateRole.Leader || ctx.now - ctx.leaderHeardAt < ctx.timing.electionMs;

    const answer = (to: string, message: VoteMessage, isGranted: boolean): void => {
        ctx.send(to, {
            kind: PeerMessageKind.VoteReply,
            term: isGranted ? message.term : ctx.hard.term,
            preVote: message.preVote,
            granted: isGranted,
            incarnation: ctx.hard.incarnation,
        });
    };

    /**
     * Of hosts that try at the same time one goes on, so that votes are not split: the first by name. A host that has not
     * tried yet waits once for the other's outcome; only once, because that one may send without hearing any reply.
     */
    const giveWay = (from: string): void => {
        if (preVoting) {
            if (from < ctx.hostId) {
                preVoting = false;
                ctx.role = passiveRole(ctx);
                tryAgainLater(retryShare.preVote);
            }
            return;
        }
        if (!hasDeferred) {
            hasDeferred = true;
            tryAgainLater(retryShare.preVote);
        }
    };

    const receiveVote = (from: string, message: VoteMessage): void => {
        if (ctx.hard.founding || message.term < ctx.hard.term || (!message.transfer && keepsLeader())) {
            answer(from, message, false);
            return;
        }
        if (message.preVote) {
            const grants = message.term > ctx.hard.term && isUpToDate(message);
            if (grants) {
                giveWay(from);
            }
            answer(from, message, grants);
            return;
        }
        if (message.term > ctx.hard.term) {
            follow(message.term, undefined);
        }
        const isFree = ctx.hard.votedFor === undefined || ctx.hard.votedFor === from;
        const grants = isFree && isUpToDate(message);
        if (grants && ctx.hard.votedFor === undefined) {
            ctx.saveHard({ votedFor: from });
        }
        if (grants) {
            postpone();
        }
        answer(from, message, grants);
    };

    const receiveVoteReply = (from: string, message: VoteReplyMessage): void => {
        if (!message.granted && message.term > ctx.hard.term) {
            follow(message.term, undefined);
            return;
        }
        const isCurrent = message.preVote === preVoting
            && message.term === (preVoting ? ctx.hard.term + 1 : ctx.hard.term);
        if (ctx.role !== StateRole.Candidate || !message.granted || !isCurrent) {
            return;
        }
        granted.set(from, message.incarnation);
        if (!countsAsWon()) {
            return;
        }
        if (preVoting) {
            stand(false);
            return;
        }
        win();
    };

    return { tick, postpone, follow, standNow: () => stand(true), receiveVote, receiveVoteReply };
};
