/** Handles requests that only the leader can answer: proposes, forwards, retries and expires them. */
import { isHigherNumber } from "../gateway/config-number.js";
import type { ConfigNumber } from "../gateway/config-number.js";
import { StateReplyKind, StateRequestKind, StateRole } from "../state-messages.js";
import type {
    ApplyRequest,
    EnrollRequest,
    FactsRequest,
    PublishRequest,
    ReadPublishedRequest,
    ReadRequest,
    StateReply,
    StateRequest,
} from "../state-messages.js";
import { EntryKind } from "./log-entry.js";
import type { EntryBody } from "./log-entry.js";
import type { NodeContext } from "./node-context.js";
import { PeerMessageKind } from "./node-messages.js";
import type { Replication } from "./replication.js";
import { decisionReply, notLeaderReply, unavailableReply } from "./request-replies.js";

/** Where a reply goes: a connection of this host, or the state host that forwarded the request. */
export type ReplyTarget = { requestId: number; } | { from: string; forwardId: number; };

/** A request that only the leader can answer. */
export type LeaderRequest = WriteRequest | ReadRequest | ReadPublishedRequest;

type WriteRequest = ApplyRequest | EnrollRequest | PublishRequest | FactsRequest;

const leaderRequestKinds = new Set([
    StateRequestKind.Apply,
    StateRequestKind.Enroll,
    StateRequestKind.Publish,
    StateRequestKind.Facts,
    StateRequestKind.Read,
    StateRequestKind.ReadPublished,
]);

const isRead = (request: LeaderRequest): request is ReadRequest | ReadPublishedRequest =>
    request.kind === StateRequestKind.Read || request.kind === StateRequestKind.ReadPublished;

interface PendingRequest {
    replyTarget: ReplyTarget;
    request: LeaderRequest;
    deadline: number;
}

interface PendingRead extends PendingRequest {
    /** The heartbeat round started for the read after it arrived; `undefined` until then. */
    round?: number;
    readIndex: number;
}

/** Handles the requests that only the leader can answer. */
export interface RequestHandler {
    /** Accepts a request; it expires after `requestTimeoutMs` without a reply. */
    submit(replyTarget: ReplyTarget, request: LeaderRequest): void;
    /** Accepts a request that another state host forwarded. */
    receiveForward(from: string, forwardId: number, request: StateRequest): void;
    receiveForwardReply(forwardId: number, reply: StateReply): void;
    /** Replies to the request proposed at log position `index`, which has been applied. */
    completeProposal(index: number, reply: StateReply): void;
    /** Replies to the reads whose round a majority confirmed, then starts a round for the remaining ones. */
    completeReads(): void;
    /** Submits proposed requests and pending reads again, because this host stepped down; they go to the next leader. */
    retryAfterStepDown(): void;
    /** Expires requests past their deadline and retries those without a known leader. */
    tick(): void;
    /** Number of requests without a reply. */
    pendingCount(): number;
}

/** Creates the request handler of one host; `isActiveLeader` returns whether this host accepts requests as the leader. */
export const createRequestHandler = (
    ctx: NodeContext,
    replication: Replication,
    isActiveLeader: () => boolean,
): RequestHandler => {
    let awaitingLeader: PendingRequest[] = [];
    let reads: PendingRead[] = [];
    /** Requests by the log position whose application completes them. */
    const proposed = new Map<number, PendingRequest[]>();
    /** The publication with the highest number that this leader has proposed. */
    let latestPublication: { index: number; number: ConfigNumber; } | undefined;
    const forwarded = new Map<number, PendingRequest>();
    let nextForwardId = ctx.random.below(2 ** 40);

    const sendReply = (replyTarget: ReplyTarget, reply: StateReply): void => {
        if ("requestId" in replyTarget) {
            ctx.reply(replyTarget.requestId, reply);
            return;
        }
        ctx.send(replyTarget.from, { kind: PeerMessageKind.ForwardReply, forwardId: replyTarget.forwardId, reply });
    };

    const entryBodies: { [K in WriteRequest["kind"]]: (request: Extract<WriteRequest, { kind: K; }>) => EntryBody; } = {
        [StateRequestKind.Apply]: ({ changeId, expectedVersion, tables, author }) => ({
            kind: EntryKind.Change,
            change: { changeId, expectedVersion, tables, author, acceptedAt: ctx.wallClock() },
        }),
        [StateRequestKind.Enroll]: ({ host, incarnation }) => ({
            kind: EntryKind.Enroll,
            enrollment: { host, incarnation, at: ctx.wallClock() },
        }),
        [StateRequestKind.Publish]: ({ published }) => ({ kind: EntryKind.Publish, published }),
        [StateRequestKind.Facts]: ({ facts }) => ({ kind: EntryKind.Facts, facts }),
    };

    // Each body is keyed by the kind of its request, which the compiler can't follow through the lookup.
    const entryBodyOf = (request: WriteRequest): EntryBody =>
        (entryBodies[request.kind] as (request: WriteRequest) => EntryBody)(request);

    const completeAt = (index: number, pending: PendingRequest): void => {
        proposed.set(index, [...proposed.get(index) ?? [], pending]);
    };

    const propose = (pending: PendingRequest, request: WriteRequest): void => {
        // Recorded first: on a single-host cluster the entry is applied before `propose` returns.
        completeAt(ctx.log.lastIndex() + 1, pending);
        replication.propose(entryBodyOf(request));
    };

    /**
     * Proposes a publication unless it can't come into force: one with its number or a higher one is committed, or will be. It is
     * complete with that one, as it changes nothing then.
     */
    const publish = (pending: PendingRequest, request: PublishRequest): void => {
        const { number } = request.published;
        const published = ctx.machine.fleet.published();
        if (published !== undefined && !isHigherNumber(number, published.number)) {
            sendReply(pending.replyTarget, { kind: StateReplyKind.Recorded });
            return;
        }
        if (latestPublication !== undefined && !isHigherNumber(number, latestPublication.number)) {
            completeAt(latestPublication.index, pending);
            return;
        }
        latestPublication = { index: ctx.log.lastIndex() + 1, number };
        propose(pending, request);
    };

    const startRead = (): void => {
        if (!replication.isCaughtUp() || reads.some(read => read.round !== undefined)) {
            return;
        }
        const pending = reads;
        if (pending.length === 0) {
            return;
        }
        const round = replication.startRound();
        for (const read of pending) {
            read.round = round;
            read.readIndex = ctx.commitIndex;
        }
    };

    const completeReads = (): void => {
        const isReady = (read: PendingRead): boolean =>
            read.round !== undefined && ctx.appliedIndex >= read.readIndex && replication.isConfirmed(read.round);
        const ready = reads.filter(isReady);
        reads = reads.filter(read => !ready.includes(read));
        for (const read of ready) {
            sendReply(
                read.replyTarget,
                read.request.kind === StateRequestKind.Read
                    ? { kind: StateReplyKind.Tables, versioned: ctx.machine.versioned() }
                    : { kind: StateReplyKind.Published, published: ctx.machine.fleet.published() },
            );
        }
        startRead();
    };

    const forward = (pending: PendingRequest, leaderId: string): void => {
        nextForwardId += 1;
        forwarded.set(nextForwardId, pending);
        ctx.send(leaderId, { kind: PeerMessageKind.Forward, forwardId: nextForwardId, request: pending.request });
    };

    const handleAsLeader = (pending: PendingRequest): void => {
        const { request } = pending;
        if (request.kind === StateRequestKind.Publish) {
            publish(pending, request);
            return;
        }
        if (!isRead(request)) {
            propose(pending, request);
            return;
        }
        reads.push({ ...pending, readIndex: 0 });
        completeReads();
    };

    const dispatch = (pending: PendingRequest): void => {
        const { request } = pending;
        const decision = request.kind === StateRequestKind.Apply ? ctx.machine.decision(request.changeId) : undefined;
        if (decision !== undefined) {
            sendReply(pending.replyTarget, decisionReply(decision));
            return;
        }
        if (isActiveLeader()) {
            handleAsLeader(pending);
            return;
        }
        if ("from" in pending.replyTarget) {
            sendReply(pending.replyTarget, notLeaderReply(ctx.leaderId));
            return;
        }
        if (ctx.leaderId !== undefined && ctx.role !== StateRole.Leader) {
            forward(pending, ctx.leaderId);
            return;
        }
        awaitingLeader.push(pending);
    };

    const submit = (replyTarget: ReplyTarget, request: LeaderRequest): void => {
        dispatch({ replyTarget, request, deadline: ctx.now + ctx.timing.requestTimeoutMs });
    };

    const receiveForwardReply = (forwardId: number, reply: StateReply): void => {
        const pending = forwarded.get(forwardId);
        if (pending === undefined) {
            return;
        }
        forwarded.delete(forwardId);
        if (reply.kind === StateReplyKind.NotLeader) {
            awaitingLeader.push(pending);
            return;
        }
        sendReply(pending.replyTarget, reply);
    };

    const isExpired = (pending: PendingRequest): boolean => ctx.now >= pending.deadline;

    /** Removes the expired requests; returns them. */
    const takeExpired = (): PendingRequest[] => {
        const expired = [...[...proposed.values()].flat(), ...forwarded.values(), ...awaitingLeader, ...reads].filter(isExpired);
        for (const [index, requests] of proposed) {
            proposed.set(index, requests.filter(pending => !isExpired(pending)));
        }
        for (const [forwardId, pending] of forwarded) {
            if (isExpired(pending)) {
                forwarded.delete(forwardId);
            }
        }
        awaitingLeader = awaitingLeader.filter(pending => !isExpired(pending));
        reads = reads.filter(read => !isExpired(read));
        return expired;
    };

    const tick = (): void => {
        for (const pending of takeExpired()) {
            sendReply(pending.replyTarget, unavailableReply());
        }
        const retried = awaitingLeader;
        awaitingLeader = [];
        for (const pending of retried) {
            dispatch(pending);
        }
        if (isActiveLeader()) {
            completeReads();
        }
    };

    return {
        submit,
        receiveForward: (from, forwardId, request) => {
            if (leaderRequestKinds.has(request.kind)) {
                submit({ from, forwardId }, request as LeaderRequest);
            }
        },
        receiveForwardReply,
        completeProposal: (index, reply) => {
            const completed = proposed.get(index) ?? [];
            proposed.delete(index);
            for (const { replyTarget } of completed) {
                sendReply(replyTarget, reply);
            }
        },
        completeReads,
        retryAfterStepDown: () => {
            const interrupted = [
                ...[...proposed.values()].flat(),
                ...reads.map(({ replyTarget, request, deadline }) => ({ replyTarget, request, deadline })),
            ];
            proposed.clear();
            latestPublication = undefined;
            reads = [];
            for (const pending of interrupted) {
                dispatch(pending);
            }
        },
        tick,
        pendingCount: () => awaitingLeader.length + reads.length + [...proposed.values()].flat().length + forwarded.size,
    };
};
