/** One state host as a pure state machine: events in, writes, messages and replies out. */
import type { FleetMachine } from "../fleet/fleet-machine.js";
import { StateReplyKind, StateRequestKind, StateRole } from "../state-messages.js";
import type { StateRequest, StateStatus } from "../state-messages.js";
import { createConfigurationMachine, createMachineState } from "./configuration-machine.js";
import { createElection } from "./election.js";
import { createFollower } from "./follower.js";
import { createFirstSnapshot, createFounding, firstSnapshotWrite } from "./founding.js";
import { EntryKind } from "./log-entry.js";
import type { LogEntry, Snapshot } from "./log-entry.js";
import { createNodeContext, isVoter, otherVoters, passiveRole } from "./node-context.js";
import type { NodeContext, StateNodeCfg } from "./node-context.js";
import { NodeActionKind, NodeEventKind, PeerMessageKind } from "./node-messages.js";
import type { NodeAction, NodeEvent, PeerMessage } from "./node-messages.js";
import { createReplicatedLog } from "./replicated-log.js";
import { createReplication } from "./replication.js";
import { createRequestDesk } from "./request-desk.js";
import { decisionReply } from "./request-replies.js";
import { createWatchers } from "./watchers.js";

const defaultSnapshotEvery = 256;

/** Options of {@link createStateNode}. */
export interface CreateStateNodeCfg extends StateNodeCfg {
    /** The epoch that a first start begins with. */
    firstEpoch?: number;
}

/** One state host. */
export interface StateNode {
    /**
     * Takes one event at `now` (milliseconds of a clock that never goes back) and returns the actions to run in order.
     * A write must be synced before a later action runs; when a write fails, the host must stop.
     */
    step(event: NodeEvent, now: number): NodeAction[];
    status(): StateStatus;
    /** The applied view of the fleet; `undefined` while it may be older than before the start. */
    fleet(): FleetMachine | undefined;
    /**
     * How old the applied view may be at `now`, in milliseconds: the time since a majority confirmed the leader that this
     * host follows; `Infinity` without one.
     */
    ageMs(now: number): number;
    /** The hosts whose disks vote. */
    voters(): string[];
    /** Names further hosts to ask, for a host that does not vote. */
    addContacts(hostIds: readonly string[]): void;
    /** Whether the host may stop: it does not lead and no request waits. */
    isIdle(): boolean;
}

type Handlers<K extends string, T extends { kind: K; }> = { [P in K]: (value: Extract<T, { kind: P; }>, from: string) => void; };

/** Creates one state host from what its disk held. */
export const createStateNode = (cfg: CreateStateNodeCfg): StateNode => {
    const { snapshot: stored, entries } = cfg.stored;
    const snapshotEvery = cfg.snapshotEvery ?? defaultSnapshotEvery;
    let actions: NodeAction[] = [];
    let leaving = false;
    let latestSnapshot: Snapshot | undefined = stored;
    const log = createReplicatedLog(stored?.voters ?? {}, stored, entries);
    const machine = createConfigurationMachine(stored?.machine ?? createMachineState(0));
    const ctx: NodeContext = createNodeContext(cfg, log, machine, () => actions);
    // Until these are committed or replaced, the applied tables may be older than before the start.
    let uncertainIndex = log.lastIndex();
    let caughtUp = false;

    const leads = (): boolean => ctx.role === StateRole.Leader && !leaving;
    const isCaughtUp = (): boolean => {
        uncertainIndex = Math.min(uncertainIndex, log.lastIndex());
        // A host that lost its disk knows as much as before once its return among the voters is committed.
        caughtUp ||= ctx.commitIndex >= uncertainIndex && log.voters(ctx.commitIndex)[ctx.hostId] === ctx.hard.incarnation;
        return caughtUp;
    };

    const applyEntry = (entry: LogEntry): void => {
        ctx.appliedIndex = entry.index;
        if (entry.body.kind === EntryKind.Change) {
            desk.decided(entry.index, decisionReply(ctx.machine.apply(entry.body.change)));
        }
        if (entry.body.kind === EntryKind.Enroll) {
            desk.decided(entry.index, { kind: StateReplyKind.Enrolled, ...ctx.machine.enroll(entry.body.enrollment) });
        }
        if (entry.body.kind === EntryKind.Publish) {
            ctx.machine.fleet.publish(entry.body.published);
            desk.decided(entry.index, { kind: StateReplyKind.Recorded });
        }
        if (entry.body.kind === EntryKind.Facts) {
            ctx.machine.fleet.apply(entry.body.facts, entry.index);
            desk.decided(entry.index, { kind: StateReplyKind.Recorded });
        }
    };

    const takeSnapshot = (): void => {
        const index = ctx.appliedIndex;
        const term = log.termAt(index)!;
        latestSnapshot = { index, term, voters: log.voters(index), machine: ctx.machine.toState() };
        log.compact(index);
        ctx.emit({ kind: NodeActionKind.SaveSnapshot, snapshot: latestSnapshot, entries: log.slice(index + 1) });
    };

    const applyCommitted = (): void => {
        while (ctx.appliedIndex < ctx.commitIndex) {
            applyEntry(log.entryAt(ctx.appliedIndex + 1)!);
        }
        if (ctx.appliedIndex - log.baseIndex() >= snapshotEvery) {
            takeSnapshot();
        }
        watchers.settle();
    };

    const foundFirst = (): void => {
        const first = createFirstSnapshot(cfg.hostIds, cfg.firstEpoch ?? 0);
        latestSnapshot = first;
        log.reset(first);
        ctx.machine = createConfigurationMachine(first.machine);
        ctx.commitIndex = first.index;
        ctx.appliedIndex = first.index;
        ctx.emit(firstSnapshotWrite(first));
    };

    const election = createElection(ctx, {
        won: () => replication.start(),
        deposed: () => desk.deposed(),
    });
    const replication = createReplication(ctx, {
        committed: applyCommitted,
        lostQuorum: () => election.follow(ctx.hard.term, undefined),
        snapshot: () => latestSnapshot!,
    });
    const follower = createFollower(ctx, election, applyCommitted);
    const founding = createFounding(ctx, foundFirst);
    const desk = createRequestDesk(ctx, replication, leads);
    const watchers = createWatchers(ctx, isCaughtUp);

    const status = (): StateStatus => ({
        hostId: ctx.hostId,
        role: ctx.role,
        term: ctx.hard.term,
        leaderId: ctx.leaderId,
        committed: ctx.machine.versioned().version,
        logLength: log.lastIndex() - log.baseIndex(),
        snapshotIndex: log.baseIndex(),
    });

    const handOver = (): void => {
        const successor = leaving && ctx.role === StateRole.Leader ? replication.successor() : undefined;
        if (successor !== undefined) {
            ctx.send(successor, { kind: PeerMessageKind.TimeoutNow, term: ctx.hard.term });
        }
    };

    const addContacts = (hostIds: readonly string[]): void => {
        // The hosts of a first start are fixed until it is done.
        if (!ctx.hard.founding) {
            hostIds.filter(hostId => hostId !== ctx.hostId).forEach(hostId => ctx.contacts.add(hostId));
        }
    };

    const onMessage: Handlers<PeerMessageKind, PeerMessage> = {
        [PeerMessageKind.Greet]: (message, from) => founding.receiveGreet(from, message.nonce),
        [PeerMessageKind.GreetReply]: (message, from) => founding.receiveGreetReply(from, message.nonce, message.fresh),
        [PeerMessageKind.Join]: (message, from) => {
            if (ctx.role === StateRole.Leader) {
                replication.receiveJoin(from, message.incarnation);
                return;
            }
            if (isVoter(ctx)) {
                ctx.send(from, { kind: PeerMessageKind.Voters, hostIds: [ctx.hostId, ...otherVoters(ctx)] });
            }
        },
        [PeerMessageKind.Voters]: message => addContacts(message.hostIds),
        [PeerMessageKind.Vote]: (message, from) => election.receiveVote(from, message),
        [PeerMessageKind.VoteReply]: (message, from) => election.receiveVoteReply(from, message),
        [PeerMessageKind.Append]: (message, from) => {
            follower.receiveAppend(from, message);
        },
        [PeerMessageKind.AppendReply]: (message, from) => {
            if (message.term > ctx.hard.term) {
                election.follow(message.term, undefined);
            }
            else if (ctx.role === StateRole.Leader) {
                replication.receiveReply(from, message);
                desk.settleReads();
            }
        },
        [PeerMessageKind.InstallSnapshot]: (message, from) => {
            follower.receiveSnapshot(from, message);
            // A host that leads later sends the newest snapshot that it holds.
            if (message.snapshot.index === log.baseIndex()) {
                latestSnapshot = message.snapshot;
            }
        },
        [PeerMessageKind.TimeoutNow]: message => {
            if (message.term === ctx.hard.term && isVoter(ctx) && !leaving) {
                election.standNow();
            }
        },
        [PeerMessageKind.Forward]: (message, from) => desk.receiveForward(from, message.forwardId, message.request),
        [PeerMessageKind.ForwardReply]: message => desk.receiveForwardReply(message.forwardId, message.reply),
    };

    const onRequest: { [P in StateRequestKind]: (requestId: number, request: Extract<StateRequest, { kind: P; }>) => void; } = {
        [StateRequestKind.Apply]: (requestId, request) => desk.submit({ requestId }, request),
        [StateRequestKind.Read]: (requestId, request) => desk.submit({ requestId }, request),
        [StateRequestKind.Enroll]: (requestId, request) => desk.submit({ requestId }, request),
        [StateRequestKind.Publish]: (requestId, request) => desk.submit({ requestId }, request),
        [StateRequestKind.Facts]: (requestId, request) => desk.submit({ requestId }, request),
        [StateRequestKind.ReadPublished]: (requestId, request) => desk.submit({ requestId }, request),
        [StateRequestKind.Watch]: (requestId, request) => watchers.add(requestId, request),
        [StateRequestKind.Status]: requestId => ctx.reply(requestId, { kind: StateReplyKind.Status, status: status() }),
        [StateRequestKind.History]: (requestId, request) =>
            ctx.reply(requestId, { kind: StateReplyKind.History, entries: ctx.machine.history(request.limit) }),
    };

    const onEvent: Handlers<NodeEventKind, NodeEvent> = {
        [NodeEventKind.Tick]: () => {
            founding.tick();
            election.tick();
            if (ctx.role === StateRole.Leader) {
                replication.tick();
            }
            if (ctx.role === StateRole.Recovering || ctx.role === StateRole.Follower) {
                ctx.role = passiveRole(ctx);
            }
            desk.tick();
            watchers.tick();
            handOver();
        },
        [NodeEventKind.Message]: event => {
            // Each handler is keyed by the kind of its message, which the compiler can't follow through the lookup.
            const handler = onMessage[event.message.kind] as (message: PeerMessage, from: string) => void;
            handler(event.message, event.from);
        },
        [NodeEventKind.Request]: event => {
            const handler = onRequest[event.request.kind] as (requestId: number, request: StateRequest) => void;
            handler(event.requestId, event.request);
        },
        [NodeEventKind.Leave]: () => {
            leaving = true;
            watchers.close();
            handOver();
        },
    };

    const step = (event: NodeEvent, now: number): NodeAction[] => {
        ctx.now = now;
        const emitted: NodeAction[] = [];
        actions = emitted;
        (onEvent[event.kind] as (value: NodeEvent, from: string) => void)(event, "");
        return emitted;
    };

    const ageMs = (now: number): number => {
        if (ctx.role === StateRole.Leader) {
            return replication.quorumAgeMs() + now - ctx.now;
        }
        return ctx.leaderId === undefined || !isCaughtUp() ? Infinity : now - ctx.leaderHeardAt + ctx.leaderQuorumAgeMs;
    };

    return {
        step,
        status,
        fleet: () => isCaughtUp() ? ctx.machine.fleet : undefined,
        ageMs,
        voters: () => Object.keys(log.voters()),
        addContacts,
        isIdle: () => ctx.role !== StateRole.Leader && desk.size() === 0,
    };
};
