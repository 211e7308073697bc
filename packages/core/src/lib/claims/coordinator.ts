/** The coordinator: asks the replicas of a key and grants, replays or refuses the request. */
import type { Random } from "../random.js";
import { ClaimActionKind } from "./claim-contract.js";
import type { ClaimAction, ClaimLimits, ClaimWanted } from "./claim-contract.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { ClaimAnswer, ClaimMessage, ClaimReply } from "./claim-message.js";
import { deadlineRefusal, keyTooLongRefusal, maxKeyLength, refusalOf } from "./claim-refusals.js";
import { answerBytes } from "./claim-store.js";
import type { Membership } from "./roster.js";
import { createSettlements } from "./settlements.js";
import { addReply, tally, TallyKind } from "./tally.js";
import type { Replies, Tally } from "./tally.js";

/** Options of {@link createCoordinator}. */
export interface CoordinatorCfg {
    hostId: string;
    incarnation: number;
    random: Random;
    limits: ClaimLimits;
}

/** The coordinator side of a claim node. */
export interface Coordinator {
    want(event: ClaimWanted, membership: Membership | undefined, now: number): ClaimAction[];
    reply(reply: ClaimReply, fromHostId: string, now: number): ClaimAction[];
    finished(requestId: string, answer: ClaimAnswer, now: number): ClaimAction[];
    notRun(requestId: string, now: number): ClaimAction[];
    forget(requestId: string): void;
    settled(attemptId: string, fromHostId: string): void;
    /** Starts the claims that are not granted yet again, under the new roster. */
    rosterChanged(membership: Membership, now: number): ClaimAction[];
    tick(now: number): ClaimAction[];
    /** Settlements that wait for a replica. */
    unsettled(): number;
}

interface Attempt {
    wanted: ClaimWanted;
    claimId: string;
    attemptId: string;
    membership: Membership;
    sets: string[][];
    hostIds: string[];
    replies: Replies;
    giveUpAt: number;
    sentAt: number;
}

const nonceLimit = 2 ** 48;
const radix = 36;

const send = (hostId: string, message: ClaimMessage): ClaimAction => ({ kind: ClaimActionKind.Send, hostId, message });

/** Creates the coordinator of one process. */
export const createCoordinator = (cfg: CoordinatorCfg): Coordinator => {
    const { limits } = cfg;
    const process = [cfg.hostId, cfg.incarnation.toString(radix), cfg.random.below(nonceLimit).toString(radix)].join("/");
    const settlements = createSettlements({ resendMs: limits.resendMs });
    const pending = new Map<string, Attempt>();
    /** Granted attempts by request: only these may run, and each is granted once. */
    const granted = new Map<string, Attempt>();
    let attempts = 0;

    const settle = (attempt: Attempt, message: ClaimMessage, now: number): ClaimAction[] =>
        settlements.start(attempt.attemptId, message, attempt.hostIds, now).map(({ hostId, message: sent }) =>
            send(hostId, sent)
        );

    const release = (attempt: Attempt, now: number): ClaimAction[] => {
        // An attempt that is no longer pending ignores late votes, so giving them back is safe whenever it arrives.
        pending.delete(attempt.attemptId);
        const { claimId, attemptId } = attempt;
        return settle(attempt, { kind: ClaimMessageKind.Release, claimId, attemptId }, now);
    };

    const ask = (attempt: Attempt, now: number): ClaimAction[] => {
        attempt.sentAt = now;
        const { claimId, attemptId, wanted: { fingerprint }, membership: { roster: { version: rosterVersion } } } = attempt;
        const holder = { attemptId, fingerprint };
        return attempt.hostIds
            .filter(hostId => !attempt.replies.has(hostId))
            .map(hostId => send(hostId, { kind: ClaimMessageKind.Claim, rosterVersion, claimId, holder }));
    };

    const begin = (wanted: ClaimWanted, membership: Membership, giveUpAt: number, now: number): ClaimAction[] => {
        attempts += 1;
        const claimId = JSON.stringify([wanted.brand, wanted.key]);
        const attempt: Attempt = {
            wanted,
            claimId,
            attemptId: `${process}/${attempts.toString(radix)}`,
            membership,
            sets: membership.setsOf(claimId),
            hostIds: membership.replicasOf(claimId),
            replies: new Map(),
            giveUpAt,
            sentAt: now,
        };
        pending.set(attempt.attemptId, attempt);
        return ask(attempt, now);
    };

    const refuse = (wanted: ClaimWanted, kind: Parameters<typeof refusalOf>[0]): ClaimAction => {
        const context = { retryAfterMs: limits.retryAfterMs, firstSending: wanted.firstSending === true };
        return { kind: ClaimActionKind.Refused, requestId: wanted.requestId, refusal: refusalOf(kind, context) };
    };

    const want = (wanted: ClaimWanted, membership: Membership | undefined, now: number): ClaimAction[] => {
        if (wanted.key.length > maxKeyLength) {
            return [{ kind: ClaimActionKind.Refused, requestId: wanted.requestId, refusal: keyTooLongRefusal }];
        }
        if (membership === undefined || membership.roster.hosts.length === 0) {
            return [refuse(wanted, TallyKind.NoMajority)];
        }
        if (now >= wanted.deadlineAt) {
            const refusal = deadlineRefusal(wanted.firstSending === true);
            return [{ kind: ClaimActionKind.Refused, requestId: wanted.requestId, refusal }];
        }
        return begin(wanted, membership, Math.min(wanted.deadlineAt, now + limits.claimTimeoutMs), now);
    };

    const grant = (attempt: Attempt, now: number): ClaimAction[] => {
        const { requestId, deadlineAt } = attempt.wanted;
        // A process that was frozen wakes late, when the replicas may be about to forget the key.
        if (now >= Math.min(deadlineAt, attempt.giveUpAt + limits.claimTimeoutMs)) {
            // No one else could hold the key beside this majority, so "not run" is sure even for a key that was sent before.
            return [{ kind: ClaimActionKind.Refused, requestId, refusal: deadlineRefusal(true) }, ...release(attempt, now)];
        }
        pending.delete(attempt.attemptId);
        granted.set(requestId, attempt);
        return [{ kind: ClaimActionKind.Granted, requestId }];
    };

    const conclude = (attempt: Attempt, result: Tally, now: number): ClaimAction[] => {
        const { requestId } = attempt.wanted;
        switch (result.kind) {
            case TallyKind.Open:
                return [];
            case TallyKind.Granted:
                return grant(attempt, now);
            case TallyKind.Replay:
                return [{ kind: ClaimActionKind.Replay, requestId, answer: result.answer }, ...release(attempt, now)];
            default:
                return [refuse(attempt.wanted, result.kind), ...release(attempt, now)];
        }
    };

    const judge = (attempt: Attempt, now: number): ClaimAction[] => {
        const { sets, replies, wanted: { fingerprint } } = attempt;
        return conclude(attempt, tally(sets, replies, fingerprint, now >= attempt.giveUpAt), now);
    };

    const reply = (received: ClaimReply, fromHostId: string, now: number): ClaimAction[] => {
        const attempt = pending.get(received.attemptId);
        if (!attempt?.hostIds.includes(fromHostId)) {
            return [];
        }
        addReply(attempt.replies, fromHostId, received);
        return judge(attempt, now);
    };

    const takeGranted = (requestId: string): Attempt | undefined => {
        const attempt = granted.get(requestId);
        granted.delete(requestId);
        return attempt;
    };

    const finished = (requestId: string, answer: ClaimAnswer, now: number): ClaimAction[] => {
        const attempt = takeGranted(requestId);
        if (attempt === undefined) {
            return [];
        }
        const { claimId, attemptId, wanted: { fingerprint } } = attempt;
        const kept = answerBytes(answer) <= limits.maxAnswerBytes ? answer : undefined;
        const message = { kind: ClaimMessageKind.Finish as const, claimId, finished: { attemptId, fingerprint, answer: kept } };
        return settle(attempt, message, now);
    };

    const notRun = (requestId: string, now: number): ClaimAction[] => {
        const waiting = [...pending.values()].find(attempt => attempt.wanted.requestId === requestId);
        const attempt = waiting ?? takeGranted(requestId);
        return attempt === undefined ? [] : release(attempt, now);
    };

    const rosterChanged = (membership: Membership, now: number): ClaimAction[] =>
        [...pending.values()].flatMap(attempt => [
            ...release(attempt, now),
            ...begin(attempt.wanted, membership, attempt.giveUpAt, now),
        ]);

    const tickAttempt = (attempt: Attempt, now: number): ClaimAction[] => {
        const actions = judge(attempt, now);
        const isDue = pending.has(attempt.attemptId) && now - attempt.sentAt >= limits.resendMs;
        return isDue ? [...actions, ...ask(attempt, now)] : actions;
    };

    const tick = (now: number): ClaimAction[] => [
        ...[...pending.values()].flatMap(attempt => tickAttempt(attempt, now)),
        ...settlements.tick(now).map(({ hostId, message }) => send(hostId, message)),
    ];

    return {
        want,
        reply,
        finished,
        notRun,
        forget: requestId => {
            takeGranted(requestId);
        },
        settled: (attemptId, fromHostId) => settlements.confirm(attemptId, fromHostId),
        rosterChanged,
        tick,
        unsettled: () => settlements.size(),
    };
};
