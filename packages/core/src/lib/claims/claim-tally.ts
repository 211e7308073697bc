/** Tallies the replies to one claim. */
import { ownValue } from "../own-value.js";
import { VerdictKind } from "./claim-message.js";
import type { ClaimAnswer, ClaimReply, FinishedClaim } from "./claim-message.js";
import { majorityOf } from "./roster.js";

export enum TallyKind {
    /** More replies may change the result. */
    Open = "open",
    Granted = "granted",
    Replay = "replay",
    /** A request with the key has run, but its answer was too large to keep or was evicted. */
    AnswerDropped = "answer-dropped",
    KeyMismatch = "key-mismatch",
    AlreadyStarted = "already-started",
    /** No majority can be reached now. */
    NoMajority = "no-majority",
}

export type ClaimTally =
    | { kind: TallyKind.Replay; answer: ClaimAnswer; }
    | { kind: Exclude<TallyKind, TallyKind.Replay>; };

/** Replies by host ID. */
export type Replies = Map<string, ClaimReply>;

/**
 * Adds a reply and removes those of processes that have restarted since, because their votes are lost. Any two majorities
 * share a replica that has either sent such a vote to the new process in its catch-up or reports the new incarnation in its
 * reply.
 */
export const addReply = (replies: Replies, hostId: string, reply: ClaimReply): void => {
    const previous = replies.get(hostId);
    const isOlder = previous !== undefined && reply.incarnation < previous.incarnation;
    const keepsVote = previous?.verdict.kind === VerdictKind.Voted && reply.incarnation === previous.incarnation;
    if (!isOlder && !keepsVote) {
        replies.set(hostId, reply);
    }
    for (const [otherId, other] of replies) {
        const latest = Math.max(...[...replies.values()].map(({ known }) => ownValue(known, otherId) ?? 0));
        if (other.incarnation < latest) {
            replies.delete(otherId);
        }
    }
};

const finishedOf = (replies: Replies): FinishedClaim[] =>
    [...replies.values()].flatMap(({ verdict }) => verdict.kind === VerdictKind.Finished ? [verdict.finished] : []);

const countOf = (replicaSet: string[], replies: Replies, matches: (reply: ClaimReply) => boolean): number =>
    replicaSet.filter(hostId => {
        const reply = replies.get(hostId);
        return reply !== undefined && matches(reply);
    }).length;

const isVote = ({ verdict }: ClaimReply): boolean => verdict.kind === VerdictKind.Voted;

const isHeldFor = (fingerprint: string) => ({ verdict }: ClaimReply): boolean =>
    verdict.kind === VerdictKind.Held && verdict.holders.some(holder => holder.fingerprint === fingerprint);

const isHeldOnlyForOthers = (fingerprint: string) => ({ verdict }: ClaimReply): boolean =>
    verdict.kind === VerdictKind.Held && verdict.certain
    && verdict.holders.every(holder => holder.fingerprint !== fingerprint);

const tallyFinished = (finished: FinishedClaim[], fingerprint: string): ClaimTally | undefined => {
    if (finished.some(claim => claim.fingerprint !== fingerprint)) {
        return { kind: TallyKind.KeyMismatch };
    }
    const answer = finished.find(claim => claim.answer !== undefined)?.answer;
    return answer === undefined ? undefined : { kind: TallyKind.Replay, answer };
};

/** Returns why the claim is refused, once it can't be granted or has timed out. */
const explainRefusal = (replicaSets: string[][], replies: Replies, fingerprint: string): ClaimTally => {
    if (finishedOf(replies).length > 0) {
        return { kind: TallyKind.AnswerDropped };
    }
    if ([...replies.values()].some(isHeldFor(fingerprint))) {
        return { kind: TallyKind.AlreadyStarted };
    }
    // A majority that holds the key for another request proves that this one was never granted; a minority proves nothing.
    const isMismatch = replicaSets.some(set => countOf(set, replies, isHeldOnlyForOthers(fingerprint)) >= majorityOf(set.length));
    return { kind: isMismatch ? TallyKind.KeyMismatch : TallyKind.NoMajority };
};

/** Returns the result of the replies so far. `replicaSets` holds the replicas of the key in each host list. */
export const tallyReplies = (replicaSets: string[][], replies: Replies, fingerprint: string, isTimedOut: boolean): ClaimTally => {
    const decided = tallyFinished(finishedOf(replies), fingerprint);
    if (decided !== undefined) {
        return decided;
    }
    if (replicaSets.every(set => countOf(set, replies, isVote) >= majorityOf(set.length))) {
        return { kind: TallyKind.Granted };
    }
    const cannotReachMajority = replicaSets.some(set =>
        set.length - countOf(set, replies, reply => !isVote(reply)) < majorityOf(set.length)
    );
    return cannotReachMajority || isTimedOut ? explainRefusal(replicaSets, replies, fingerprint) : { kind: TallyKind.Open };
};
