/** Raft leader election: a pre-vote, so that an isolated host does not disrupt a working leader, then votes saved to disk. */
import { StateRole } from "../state-messages.js";
import { isVoter, otherVoters, passiveRole, quorumSize } from "./node-context.js";
import type { NodeContext } from "./node-context.js";
import { PeerMessageKind } from "./node-messages.js";
import type { VoteReplyMessage, VoteRequestMessage } from "./node-messages.js";

/** Decides when to start an election and which candidate gets this host's vote. */
export interface Election {
    /** Starts a pre-vote when the election timeout has expired. */
    tick(): void;
    /** Restarts the randomized election timeout. */
    resetTimeout(): void;
    /** Steps down to follower in `term`, which is at least the current term. */
    becomeFollower(term: number, leaderId: string | undefined): void;
    /** Starts an election without a pre-vote, because the leader transfers its leadership to this host. */
    startNow(): void;
    receiveVoteRequest(from: string, message: VoteRequestMessage): void;
    receiveVoteReply(from: string, message: VoteReplyMessage): void;
}

/** Callbacks of the election. */
export interface ElectionHooks {
    /** Called when this host has become the leader. */
    elected: () => void;
    /** Called when this host is no longer the leader. */
    steppedDown: () => void;
}

/**
 * Shortest delay of the first election after a start, as a fraction of half the election timeout; a random part of up to
 * half the election timeout is added.
 */
const firstElectionFraction = 0.1;
/**
 * Shortest delay before an attempt without a majority is retried, as a fraction of the election timeout; the longest is
 * twice that. A pre-vote disrupts no leader; the replies of a split vote arrive within one round trip, a tenth of the election
 * timeout.
 */
const retryFraction = { preVote: 0.2, vote: 0.4 } as const;

/** Creates the leader election of one host. */
export const createElection = (ctx: NodeContext, hooks: ElectionHooks): Election => {
    /** Hosts that granted the pre-vote under way, and those that voted for this host in its term, with their incarnations. */
    let preVotes = new Map<string, number>();
    let votes = new Map<string, number>();
    let isPreVoting = false;
    let electionDeadline: number | undefined;
    let hasYielded = false;

    const resetTimeout = (): void => {
        electionDeadline = ctx.now + ctx.timing.electionTimeoutMs * (1 + ctx.random.next());
    };

    const scheduleRetry = (fraction: number): void => {
        electionDeadline = ctx.now + ctx.timing.electionTimeoutMs * fraction * (1 + ctx.random.next());
    };

    /** Postpones this host's next attempt by the time in which a vote becomes durable, as no vote is sent before. */
    const waitForSave = (): void => {
        electionDeadline = (electionDeadline ?? ctx.now) + ctx.saveTime.estimateMs(ctx.now);
    };

    const becomeFollower = (term: number, leaderId: string | undefined): void => {
        const wasLeader = ctx.role === StateRole.Leader;
        if (term > ctx.hardState.term) {
            ctx.saveHardState({ term, votedFor: undefined });
        }
        isPreVoting = false;
        ctx.role = passiveRole(ctx);
        ctx.leaderId = leaderId;
        resetTimeout();
        if (wasLeader) {
            hooks.steppedDown();
        }
    };

    const isMajority = (incarnations: ReadonlyMap<string, number>): boolean => {
        const voters = ctx.log.voters();
        const granted = Object.entries(voters).filter(([hostId, incarnation]) => incarnations.get(hostId) === incarnation);
        return granted.length >= quorumSize(voters);
    };

    const requestVotes = (preVote: boolean, transfer: boolean): void => {
        const message: VoteRequestMessage = {
            kind: PeerMessageKind.VoteRequest,
            term: preVote ? ctx.hardState.term + 1 : ctx.hardState.term,
            preVote,
            transfer,
            lastIndex: ctx.log.lastIndex(),
            lastTerm: ctx.log.lastTerm(),
        };
        for (const hostId of otherVoters(ctx)) {
            ctx.send(hostId, message);
        }
    };

    const becomeLeader = (): void => {
        isPreVoting = false;
        ctx.role = StateRole.Leader;
        ctx.leaderId = ctx.hostId;
        hooks.elected();
    };

    const startElection = (transfer: boolean): void => {
        isPreVoting = false;
        ctx.role = StateRole.Candidate;
        ctx.leaderId = undefined;
        ctx.saveHardState({ term: ctx.hardState.term + 1, votedFor: ctx.hostId });
        votes = new Map([[ctx.hostId, ctx.hardState.incarnation]]);
        scheduleRetry(retryFraction.vote);
        waitForSave();
        requestVotes(false, transfer);
        if (isMajority(votes)) {
            becomeLeader();
        }
    };

    const startPreVote = (): void => {
        isPreVoting = true;
        hasYielded = false;
        ctx.role = StateRole.Candidate;
        ctx.leaderId = undefined;
        preVotes = new Map([[ctx.hostId, ctx.hardState.incarnation]]);
        scheduleRetry(retryFraction.preVote);
        requestVotes(true, false);
        if (isMajority(preVotes)) {
            startElection(false);
        }
    };

    const tick = (): void => {
        if (electionDeadline === undefined) {
            // No leader is known after a start. The pre-vote can't depose a working leader, so an early attempt is harmless.
            electionDeadline = ctx.now + ctx.timing.electionTimeoutMs * (ctx.random.next() + firstElectionFraction) / 2;
            return;
        }
        if (ctx.now < electionDeadline || ctx.role === StateRole.Leader) {
            return;
        }
        if (isVoter(ctx)) {
            startPreVote();
            return;
        }
        ctx.leaderId = undefined;
        resetTimeout();
    };

    const isUpToDate = (message: VoteRequestMessage): boolean =>
        message.lastTerm > ctx.log.lastTerm()
        || (message.lastTerm === ctx.log.lastTerm() && message.lastIndex >= ctx.log.lastIndex());

    /**
     * Whether this host leads or received a message of its leader within the election timeout. It then rejects vote requests,
     * except those of a leadership transfer.
     */
    const hasActiveLeader = (): boolean =>
        ctx.role === StateRole.Leader || ctx.now - ctx.leaderLastReceivedAt < ctx.timing.electionTimeoutMs;

    const sendVoteReply = (to: string, message: VoteRequestMessage, isGranted: boolean): void => {
        ctx.send(to, {
            kind: PeerMessageKind.VoteReply,
            term: isGranted ? message.term : ctx.hardState.term,
            preVote: message.preVote,
            granted: isGranted,
            incarnation: ctx.hardState.incarnation,
        });
    };

    /**
     * Yields to another host's pre-vote to avoid a split vote. Of two hosts in pre-vote, the one with the smaller host id
     * continues. A host that has not started a pre-vote delays its own once; only once, because the other host may be able
     * to send without receiving replies.
     */
    const yieldTo = (from: string): void => {
        if (isPreVoting) {
            if (from < ctx.hostId) {
                isPreVoting = false;
                ctx.role = passiveRole(ctx);
                scheduleRetry(retryFraction.preVote);
                waitForSave();
            }
            return;
        }
        if (!hasYielded) {
            hasYielded = true;
            scheduleRetry(retryFraction.preVote);
            waitForSave();
        }
    };

    const receiveVoteRequest = (from: string, message: VoteRequestMessage): void => {
        if (ctx.hardState.founding || message.term < ctx.hardState.term || (!message.transfer && hasActiveLeader())) {
            sendVoteReply(from, message, false);
            return;
        }
        if (message.preVote) {
            const isGranted = message.term > ctx.hardState.term && isUpToDate(message);
            if (isGranted) {
                yieldTo(from);
            }
            sendVoteReply(from, message, isGranted);
            return;
        }
        if (message.term > ctx.hardState.term) {
            becomeFollower(message.term, undefined);
        }
        const canVote = ctx.hardState.votedFor === undefined || ctx.hardState.votedFor === from;
        const isGranted = canVote && isUpToDate(message);
        if (isGranted && ctx.hardState.votedFor === undefined) {
            ctx.saveHardState({ votedFor: from });
        }
        if (isGranted) {
            resetTimeout();
            waitForSave();
        }
        sendVoteReply(from, message, isGranted);
    };

    const receiveVoteReply = (from: string, message: VoteReplyMessage): void => {
        if (!message.granted && message.term > ctx.hardState.term) {
            becomeFollower(message.term, undefined);
            return;
        }
        if (ctx.role !== StateRole.Candidate || !message.granted) {
            return;
        }
        if (message.preVote) {
            if (isPreVoting && message.term === ctx.hardState.term + 1) {
                preVotes.set(from, message.incarnation);
                if (isMajority(preVotes)) {
                    startElection(false);
                }
            }
            return;
        }
        // A vote that comes late counts too: this host's own is for itself until its term changes.
        if (message.term === ctx.hardState.term && ctx.hardState.votedFor === ctx.hostId) {
            votes.set(from, message.incarnation);
            if (isMajority(votes)) {
                becomeLeader();
            }
        }
    };

    return { tick, resetTimeout, becomeFollower, startNow: () => startElection(true), receiveVoteRequest, receiveVoteReply };
};
