/** Coordinates claims: requests votes from the replicas of a key, then grants, replays or refuses the request. */
import type { Random } from "../random.js";
import { ClaimActionKind } from "./claim-contract.js";
import type { ClaimAction, ClaimLimits, ClaimRequested } from "./claim-contract.js";
import { ClaimMessageKind } from "./claim-message.js";
import type { ClaimAnswer, ClaimMessage, ClaimReply } from "./claim-message.js";
import { deadlineRefusal, keyTooLongRefusal, maxKeyLength, refusalOf } from "./claim-refusals.js";
import { answerBytes } from "./claim-store.js";
import { addReply, TallyKind, tallyReplies } from "./claim-tally.js";
import type { ClaimTally, Replies } from "./claim-tally.js";
import { createDeliveryQueue } from "./delivery-queue.js";
import type { ReplicaPlacement } from "./roster.js";

/** Options of {@link createCoordinator}. */
export interface CoordinatorCfg {
    hostId: string;
    incarnation: number;
    random: Random;
    limits: ClaimLimits;
}

/** The coordinator side of a claim node. Times are in milliseconds. */
export interface Coordinator {
    /** `placement` is `undefined` until a roster is known; the claim is then refused. */
    requestClaim(request: ClaimRequested, placement: ReplicaPlacement | undefined, now: number): ClaimAction[];
    handleReply(reply: ClaimReply, fromHostId: string, now: number): ClaimAction[];
    handleFinished(requestId: string, answer: ClaimAnswer, now: number): ClaimAction[];
    handleNotRun(requestId: string, now: number): ClaimAction[];
    /** Drops a granted request without a release, because it may have run. */
    handleOutcomeUnknown(requestId: string): void;
    handleConfirmation(attemptId: string, fromHostId: string): void;
    /** Restarts the claims that are not granted yet, under the new roster. */
    handleRosterChange(placement: ReplicaPlacement, now: number): ClaimAction[];
    tick(now: number): ClaimAction[];
    /** The number of releases and answers that some replica has not confirmed. */
    unconfirmedMessages(): number;
}

/** An attempt to claim a key; a roster change starts another one for the same request. */
interface ClaimAttempt {
    request: ClaimRequested;
    /** Identifies what is claimed: the brand and the idempotency key. */
    claimId: string;
    attemptId: string;
    placement: ReplicaPlacement;
    replicaSets: string[][];
    replicaIds: string[];
    replies: Replies;
    timeoutAt: number;
    sentAt: number;
}

/** Range of the random part of the process ID, which keeps IDs unique if an incarnation is used again. */
const nonceLimit = 2 ** 48;
const idRadix = 36;

const send = (hostId: string, message: ClaimMessage): ClaimAction => ({ kind: ClaimActionKind.Send, hostId, message });

/** Creates the coordinator of one process. */
export const createCoordinator = (cfg: CoordinatorCfg): Coordinator => {
    const { limits } = cfg;
    const processId = [cfg.hostId, cfg.incarnation.toString(idRadix), cfg.random.below(nonceLimit).toString(idRadix)].join("/");
    const deliveryQueue = createDeliveryQueue({ resendMs: limits.resendMs });
    const pending = new Map<string, ClaimAttempt>();
    /** Granted attempts by request ID: only these may run, and each is granted once. */
    const granted = new Map<string, ClaimAttempt>();
    let attemptCount = 0;

    const deliver = (attempt: ClaimAttempt, message: ClaimMessage, now: number): ClaimAction[] =>
        deliveryQueue.send(attempt.attemptId, message, attempt.replicaIds, now).map(({ hostId, message: sent }) =>
            send(hostId, sent)
        );

    const release = (attempt: ClaimAttempt, now: number): ClaimAction[] => {
        // An attempt that is no longer pending ignores late votes, so the release is safe whenever it arrives.
        pending.delete(attempt.attemptId);
        const { claimId, attemptId } = attempt;
        return deliver(attempt, { kind: ClaimMessageKind.Release, claimId, attemptId }, now);
    };

    const requestVotes = (attempt: ClaimAttempt, now: number): ClaimAction[] => {
        attempt.sentAt = now;
        const { claimId, attemptId, request: { fingerprint }, placement: { roster: { version: rosterVersion } } } = attempt;
        const holder = { attemptId, fingerprint };
        return attempt.replicaIds
            .filter(hostId => !attempt.replies.has(hostId))
            .map(hostId => send(hostId, { kind: ClaimMessageKind.Claim, rosterVersion, claimId, holder }));
    };

    const startAttempt = (
        request: ClaimRequested,
        placement: ReplicaPlacement,
        timeoutAt: number,
        now: number,
    ): ClaimAction[] => {
        attemptCount += 1;
        const claimId = JSON.stringify([request.brand, request.key]);
        const attempt: ClaimAttempt = {
            request,
            claimId,
            attemptId: `${processId}/${attemptCount.toString(idRadix)}`,
            placement,
            replicaSets: placement.replicaSetsOf(claimId),
            replicaIds: placement.replicasOf(claimId),
            replies: new Map(),
            timeoutAt,
            sentAt: now,
        };
        pending.set(attempt.attemptId, attempt);
        return requestVotes(attempt, now);
    };

    const refuse = (request: ClaimRequested, kind: Parameters<typeof refusalOf>[0]): ClaimAction => {
        const context = { retryAfterMs: limits.retryAfterMs, firstSending: request.firstSending === true };
        return { kind: ClaimActionKind.Refused, requestId: request.requestId, refusal: refusalOf(kind, context) };
    };

    const requestClaim = (request: ClaimRequested, placement: ReplicaPlacement | undefined, now: number): ClaimAction[] => {
        if (request.key.length > maxKeyLength) {
            return [{ kind: ClaimActionKind.Refused, requestId: request.requestId, refusal: keyTooLongRefusal }];
        }
        if (placement === undefined || placement.roster.hosts.length === 0) {
            return [refuse(request, TallyKind.NoMajority)];
        }
        if (now >= request.deadlineAt) {
            const refusal = deadlineRefusal(request.firstSending === true);
            return [{ kind: ClaimActionKind.Refused, requestId: request.requestId, refusal }];
        }
        return startAttempt(request, placement, Math.min(request.deadlineAt, now + limits.claimTimeoutMs), now);
    };

    const grant = (attempt: ClaimAttempt, now: number): ClaimAction[] => {
        const { requestId, deadlineAt } = attempt.request;
        // A process that was paused may see the votes long after the timeout. Replicas keep a vote for a limited time only, so
        // a request that is granted so late could run after they have forgotten it.
        if (now >= Math.min(deadlineAt, attempt.timeoutAt + limits.claimTimeoutMs)) {
            // A majority voted for this attempt, so no other one holds the key or has run its request: "not run" is certain,
            // also for a key that was sent before.
            return [{ kind: ClaimActionKind.Refused, requestId, refusal: deadlineRefusal(true) }, ...release(attempt, now)];
        }
        pending.delete(attempt.attemptId);
        granted.set(requestId, attempt);
        return [{ kind: ClaimActionKind.Granted, requestId }];
    };

    const applyTally = (attempt: ClaimAttempt, tally: ClaimTally, now: number): ClaimAction[] => {
        const { requestId } = attempt.request;
        switch (tally.kind) {
            case TallyKind.Open:
                return [];
            case TallyKind.Granted:
                return grant(attempt, now);
            case TallyKind.Replay:
                return [{ kind: ClaimActionKind.Replay, requestId, answer: tally.answer }, ...release(attempt, now)];
            default:
                return [refuse(attempt.request, tally.kind), ...release(attempt, now)];
        }
    };

    const evaluate = (attempt: ClaimAttempt, now: number): ClaimAction[] => {
        const { replicaSets, replies, request: { fingerprint } } = attempt;
        return applyTally(attempt, tallyReplies(replicaSets, replies, fingerprint, now >= attempt.timeoutAt), now);
    };

    const handleReply = (reply: ClaimReply, fromHostId: string, now: number): ClaimAction[] => {
        const attempt = pending.get(reply.attemptId);
        if (!attempt?.replicaIds.includes(fromHostId)) {
            return [];
        }
        addReply(attempt.replies, fromHostId, reply);
        return evaluate(attempt, now);
    };

    const removeGranted = (requestId: string): ClaimAttempt | undefined => {
        const attempt = granted.get(requestId);
        granted.delete(requestId);
        return attempt;
    };

    const handleFinished = (requestId: string, answer: ClaimAnswer, now: number): ClaimAction[] => {
        const attempt = removeGranted(requestId);
        if (attempt === undefined) {
            return [];
        }
        const { claimId, attemptId, request: { fingerprint } } = attempt;
        const keptAnswer = answerBytes(answer) <= limits.maxAnswerBytes ? answer : undefined;
        const message = {
            kind: ClaimMessageKind.Finish as const,
            claimId,
            finished: { attemptId, fingerprint, answer: keptAnswer },
        };
        return deliver(attempt, message, now);
    };

    const handleNotRun = (requestId: string, now: number): ClaimAction[] => {
        const pendingAttempt = [...pending.values()].find(attempt => attempt.request.requestId === requestId);
        const attempt = pendingAttempt ?? removeGranted(requestId);
        return attempt === undefined ? [] : release(attempt, now);
    };

    const handleRosterChange = (placement: ReplicaPlacement, now: number): ClaimAction[] =>
        [...pending.values()].flatMap(attempt => [
            ...release(attempt, now),
            ...startAttempt(attempt.request, placement, attempt.timeoutAt, now),
        ]);

    const tickAttempt = (attempt: ClaimAttempt, now: number): ClaimAction[] => {
        const actions = evaluate(attempt, now);
        const isDue = pending.has(attempt.attemptId) && now - attempt.sentAt >= limits.resendMs;
        return isDue ? [...actions, ...requestVotes(attempt, now)] : actions;
    };

    const tick = (now: number): ClaimAction[] => [
        ...[...pending.values()].flatMap(attempt => tickAttempt(attempt, now)),
        ...deliveryQueue.tick(now).map(({ hostId, message }) => send(hostId, message)),
    ];

    return {
        requestClaim,
        handleReply,
        handleFinished,
        handleNotRun,
        handleOutcomeUnknown: requestId => {
            removeGranted(requestId);
        },
        handleConfirmation: (attemptId, fromHostId) => deliveryQueue.confirm(attemptId, fromHostId),
        handleRosterChange,
        tick,
        unconfirmedMessages: () => deliveryQueue.size(),
    };
};
