/** Requests of operators, entry hosts and other state hosts that wait for an answer. */
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

/** Who waits for a reply: a connection of this host, or another state host. */
export type Origin = { requestId: number; } | { from: string; forwardId: number; };

/** A request that only the leader can answer. */
export type LeaderRequest = WriteRequest | ReadRequest | ReadPublishedRequest;

type WriteRequest = ApplyRequest | EnrollRequest | PublishRequest | FactsRequest;

const leaderKinds = new Set([
    StateRequestKind.Apply,
    StateRequestKind.Enroll,
    StateRequestKind.Publish,
    StateRequestKind.Facts,
    StateRequestKind.Read,
    StateRequestKind.ReadPublished,
]);

const isRead = (request: LeaderRequest): request is ReadRequest | ReadPublishedRequest =>
    request.kind === StateRequestKind.Read || request.kind === StateRequestKind.ReadPublished;

interface Waiting {
    origin: Origin;
    request: LeaderRequest;
    deadline: number;
}

interface WaitingRead extends Waiting {
    /** Set once a round of heartbeats began after the read arrived. */
    round?: number;
    readIndex: number;
}

/** Holds the requests that only the leader can answer. */
export interface RequestDesk {
    submit(origin: Origin, request: LeaderRequest): void;
    /** Another state host passes on a request. */
    receiveForward(from: string, forwardId: number, request: StateRequest): void;
    receiveForwardReply(forwardId: number, reply: StateReply): void;
    /** What was proposed at `index` has been decided. */
    decided(index: number, reply: StateReply): void;
    /** Answers the reads that have become answerable. */
    settleReads(): void;
    /** The host no longer leads: what it held goes to the next leader. */
    deposed(): void;
    tick(): void;
    /** How many requests wait. */
    size(): number;
}

/** Creates the desk of one host. `leads` says whether this host takes requests as the leader. */
export const createRequestDesk = (ctx: NodeContext, replication: Replication, leads: () => boolean): RequestDesk => {
    let parked: Waiting[] = [];
    let reads: WaitingRead[] = [];
    const proposed = new Map<number, Waiting>();
    const forwarded = new Map<number, Waiting>();
    let nextForwardId = ctx.random.below(2 ** 40);

    const answer = (origin: Origin, reply: StateReply): void => {
        if ("requestId" in origin) {
            ctx.reply(origin.requestId, reply);
            return;
        }
        ctx.send(origin.from, { kind: PeerMessageKind.ForwardReply, forwardId: origin.forwardId, reply });
    };

    const bodies: { [K in WriteRequest["kind"]]: (request: Extract<WriteRequest, { kind: K; }>) => EntryBody; } = {
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
    const bodyOf = (request: WriteRequest): EntryBody => (bodies[request.kind] as (request: WriteRequest) => EntryBody)(request);

    const propose = (waiting: Waiting, request: WriteRequest): void => {
        // The index is noted first: with one host the entry is decided before `propose` returns.
        proposed.set(ctx.log.lastIndex() + 1, waiting);
        replication.propose(bodyOf(request));
    };

    const startRead = (): void => {
        if (!replication.isCaughtUp() || reads.some(read => read.round !== undefined)) {
            return;
        }
        const waiting = reads;
        if (waiting.length === 0) {
            return;
        }
        const round = replication.startRound();
        for (const read of waiting) {
            read.round = round;
            read.readIndex = ctx.commitIndex;
        }
    };

    const settleReads = (): void => {
        const isReady = (read: WaitingRead): boolean =>
            read.round !== undefined && ctx.appliedIndex >= read.readIndex && replication.isConfirmed(read.round);
        const ready = reads.filter(isReady);
        reads = reads.filter(read => !ready.includes(read));
        for (const read of ready) {
            answer(
                read.origin,
                read.request.kind === StateRequestKind.Read
                    ? { kind: StateReplyKind.Tables, versioned: ctx.machine.versioned() }
                    : { kind: StateReplyKind.Published, published: ctx.machine.fleet.published() },
            );
        }
        startRead();
    };

    const forward = (waiting: Waiting, leaderId: string): void => {
        nextForwardId += 1;
        forwarded.set(nextForwardId, waiting);
        ctx.send(leaderId, { kind: PeerMessageKind.Forward, forwardId: nextForwardId, request: waiting.request });
    };

    const lead = (waiting: Waiting): void => {
        const { request } = waiting;
        if (!isRead(request)) {
            propose(waiting, request);
            return;
        }
        reads.push({ ...waiting, readIndex: 0 });
        settleReads();
    };

    const take = (waiting: Waiting): void => {
        const { request } = waiting;
        const decision = request.kind === StateRequestKind.Apply ? ctx.machine.decided(request.changeId) : undefined;
        if (decision !== undefined) {
            answer(waiting.origin, decisionReply(decision));
            return;
        }
        if (leads()) {
            lead(waiting);
            return;
        }
        if ("from" in waiting.origin) {
            answer(waiting.origin, notLeaderReply(ctx.leaderId));
            return;
        }
        if (ctx.leaderId !== undefined && ctx.role !== StateRole.Leader) {
            forward(waiting, ctx.leaderId);
            return;
        }
        parked.push(waiting);
    };

    const submit = (origin: Origin, request: LeaderRequest): void => {
        take({ origin, request, deadline: ctx.now + ctx.timing.requestMs });
    };

    const receiveForwardReply = (forwardId: number, reply: StateReply): void => {
        const waiting = forwarded.get(forwardId);
        if (waiting === undefined) {
            return;
        }
        forwarded.delete(forwardId);
        if (reply.kind === StateReplyKind.NotLeader) {
            parked.push(waiting);
            return;
        }
        answer(waiting.origin, reply);
    };

    const expire = (held: Map<number, Waiting>): void => {
        for (const [key, waiting] of held) {
            if (ctx.now >= waiting.deadline) {
                held.delete(key);
                answer(waiting.origin, unavailableReply());
            }
        }
    };

    const tick = (): void => {
        expire(proposed);
        expire(forwarded);
        const expired = [...parked, ...reads].filter(waiting => ctx.now >= waiting.deadline);
        reads = reads.filter(read => ctx.now < read.deadline);
        const again = parked.filter(waiting => ctx.now < waiting.deadline);
        parked = [];
        for (const waiting of expired) {
            answer(waiting.origin, unavailableReply());
        }
        for (const waiting of again) {
            take(waiting);
        }
        if (leads()) {
            settleReads();
        }
    };

    return {
        submit,
        receiveForward: (from, forwardId, request) => {
            if (leaderKinds.has(request.kind)) {
                submit({ from, forwardId }, request as LeaderRequest);
            }
        },
        receiveForwardReply,
        decided: (index, reply) => {
            const waiting = proposed.get(index);
            proposed.delete(index);
            if (waiting !== undefined) {
                answer(waiting.origin, reply);
            }
        },
        settleReads,
        deposed: () => {
            const left = [...proposed.values(), ...reads.map(({ origin, request, deadline }) => ({ origin, request, deadline }))];
            proposed.clear();
            reads = [];
            for (const waiting of left) {
                take(waiting);
            }
        },
        tick,
        size: () => parked.length + reads.length + proposed.size + forwarded.size,
    };
};
