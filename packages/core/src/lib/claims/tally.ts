/** What the replies to one claim amount to. */
import { VerdictKind } from "./claim-message.js";
import type { ClaimAnswer, ClaimReply, FinishedClaim } from "./claim-message.js";
import { majorityOf } from "./roster.js";

export enum TallyKind {
    /** More replies may change the result. */
    Open = "open",
    Granted = "granted",
    Replay = "replay",
    /** The key ran, but its answer was too large to keep. */
    AnswerDropped = "answer-dropped",
    KeyMismatch = "key-mismatch",
    AlreadyStarted = "already-started",
    /** No majority can be had now. */
    NoMajority = "no-majority",
}

export type Tally =
    | { kind: TallyKind.Replay; answer: ClaimAnswer; }
    | { kind: Exclude<TallyKind, TallyKind.Replay>; };

/** Replies by host. */
export type Replies = Map<string, ClaimReply>;

/**
 * Adds a reply and takes out those of processes that have restarted since: their votes are forgotten. Any two majorities
 * share a replica that has either passed such a vote on to the new process or names the new process in its reply.
 */
export const addReply = (replies: Replies, hostId: string, reply: ClaimReply): void => {
    const former = replies.get(hostId);
    const isOlder = former !== undefined && reply.incarnation < former.incarnation;
    const keepsVote = former?.verdict.kind === VerdictKind.Voted && reply.incarnation === former.incarnation;
    if (!isOlder && !keepsVote) {
        replies.set(hostId, reply);
    }
    for (const [otherId, other] of replies) {
        const latest = Math.max(...[...replies.values()].map(({ known }) => known[otherId] ?? 0));
        if (other.incarnation < latest) {
            replies.delete(otherId);
        }
    }
};

const finishedOf = (replies: Replies): FinishedClaim[] =>
    [...replies.values()].flatMap(({ verdict }) => verdict.kind === VerdictKind.Finished ? [verdict.finished] : []);

const countOf = (set: string[], replies: Replies, fits: (reply: ClaimReply) => boolean): number =>
    set.filter(hostId => {
        const reply = replies.get(hostId);
        return reply !== undefined && fits(reply);
    }).length;

const isVote = ({ verdict }: ClaimReply): boolean => verdict.kind === VerdictKind.Voted;

const isHeldFor = (fingerprint: string) => ({ verdict }: ClaimReply): boolean =>
    verdict.kind === VerdictKind.Held && verdict.holders.some(holder => holder.fingerprint === fingerprint);

const isHeldForOthers = (fingerprint: string) => ({ verdict }: ClaimReply): boolean =>
    verdict.kind === VerdictKind.Held && verdict.certain
    && verdict.holders.every(holder => holder.fingerprint !== fingerprint);

const tallyFinished = (finished: FinishedClaim[], fingerprint: string): Tally | undefined => {
    if (finished.some(claim => claim.fingerprint !== fingerprint)) {
        return { kind: TallyKind.KeyMismatch };
    }
    const answer = finished.find(claim => claim.answer !== undefined)?.answer;
    return answer === undefined ? undefined : { kind: TallyKind.Replay, answer };
};

/** Why the key can't be had, once that is sure or the time is up. */
const explain = (sets: string[][], replies: Replies, fingerprint: string): Tally => {
    if (finishedOf(replies).length > 0) {
        return { kind: TallyKind.AnswerDropped };
    }
    if ([...replies.values()].some(isHeldFor(fingerprint))) {
        return { kind: TallyKind.AlreadyStarted };
    }
    // A majority that is held for another request shows that this one has never been granted; fewer shows nothing.
    const isMismatch = sets.some(set => countOf(set, replies, isHeldForOthers(fingerprint)) >= majorityOf(set.length));
    return { kind: isMismatch ? TallyKind.KeyMismatch : TallyKind.NoMajority };
};

/** Judges the replies so far. `sets` holds the replicas of the key in each list of hosts. */
export const tally = (sets: string[][], replies: Replies, fingerprint: string, timeIsUp: boolean): Tally => {
    const known = tallyFinished(finishedOf(replies), fingerprint);
    if (known !== undefined) {
        return known;
    }
    if (sets.every(set => countOf(set, replies, isVote) >= majorityOf(set.length))) {
        return { kind: TallyKind.Granted };
    }
    const isLost = sets.some(set => set.length - countOf(set, replies, reply => !isVote(reply)) < majorityOf(set.length));
    return isLost || timeIsUp ? explain(sets, replies, fingerprint) : { kind: TallyKind.Open };
};
