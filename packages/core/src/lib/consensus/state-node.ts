/** One state host as a pure state machine: events in, writes, messages and replies out. */
import type { FleetMachine } from "../fleet/fleet-machine.js";
import { ownValue } from "../own-value.js";
import { StateReplyKind, StateRequestKind, StateRole } from "../state-messages.js";
import type { StateRequest, StateStatus } from "../state-messages.js";
import { createBootstrap, createBootstrapSnapshot, saveBootstrapSnapshot } from "./bootstrap.js";
import { createConfigurationMachine, createMachineState } from "./configuration-machine.js";
import { createElection } from "./election.js";
import { createFollower } from "./follower.js";
import { EntryKind } from "./log-entry.js";
import type { LogEntry, Snapshot } from "./log-entry.js";
import { createNodeContext, isVoter, otherVoters, passiveRole } from "./node-context.js";
import type { NodeContext, StateNodeCfg } from "./node-context.js";
import { NodeActionKind, NodeEventKind, PeerMessageKind } from "./node-messages.js";
import type { NodeAction, NodeEvent, PeerMessage } from "./node-messages.js";
import { createReplicatedLog } from "./replicated-log.js";
import { createReplication } from "./replication.js";
import { createRequestHandler } from "./request-handler.js";
import { decisionReply } from "./request-replies.js";
import { createWatchers } from "./watchers.js";

const defaultEntriesPerSnapshot = 256;
/** A snapshot is also taken once the entries take this much memory, in bytes: an entry may hold a long configuration. */
const defaultLogWeightPerSnapshot = 32 * 1024 * 1024;

/** Options of {@link createStateNode}. */
export interface CreateStateNodeCfg extends StateNodeCfg {
    /** The epoch of the bootstrap snapshot. */
    firstEpoch?: number;
}

/** The consensus node of one state host. */
export interface StateNode {
    /**
     * Processes one event at `now` (milliseconds of a monotonic clock) and returns the actions to run in order.
     * A write must be synced before a later action runs; when a write fails, the host must stop.
     */
    step(event: NodeEvent, now: number): NodeAction[];
    /** Records how long a save of the hard state took until it was durable, in milliseconds; elections wait for it. */
    recordSave(tookMs: number, now: number): void;
    status(): StateStatus;
    /** The applied view of the fleet; `undefined` while it may be older than the view before the start. */
    fleet(): FleetMachine | undefined;
    /**
     * Upper bound of the age of the applied view at `now`, in milliseconds: the time since a majority confirmed the leader
     * of this host; `Infinity` without a leader.
     */
    viewAgeMs(now: number): number;
    /** The ids of the voters. */
    voters(): string[];
    /** Adds hosts to contact with join requests. */
    addContacts(hostIds: readonly string[]): void;
    /** Whether the process may stop: the host is not the leader and no request is pending. */
    canStop(): boolean;
}

type Handlers<K extends string, T extends { kind: K; }> = { [P in K]: (value: Extract<T, { kind: P; }>, from: string) => void; };

/** Creates the consensus node of one state host from its stored state. */
export const createStateNode = (cfg: CreateStateNodeCfg): StateNode => {
    const { snapshot: stored, entries } = cfg.stored;
    const snapshotEvery = cfg.snapshotEvery ?? defaultEntriesPerSnapshot;
    const maxLogWeight = cfg.maxLogWeight ?? defaultLogWeightPerSnapshot;
    let actions: NodeAction[] = [];
    let isLeaving = false;
    let latestSnapshot: Snapshot | undefined = stored;
    const log = createReplicatedLog(stored?.voters ?? {}, stored, entries);
    const machine = createConfigurationMachine(stored?.machine ?? createMachineState(0));
    const ctx: NodeContext = createNodeContext(cfg, log, machine, () => actions);
    // Until the stored entries are committed or replaced, the applied tables may be older than before the start.
    let catchUpIndex = log.lastIndex();
    let hasCaughtUp = false;

    const isActiveLeader = (): boolean => ctx.role === StateRole.Leader && !isLeaving;
    const isCaughtUp = (): boolean => {
        catchUpIndex = Math.min(catchUpIndex, log.lastIndex());
        // A host that lost its disk has caught up once the entry that makes it a voter again is committed.
        hasCaughtUp ||= ctx.commitIndex >= catchUpIndex
            && ownValue(log.voters(ctx.commitIndex), ctx.hostId) === ctx.hardState.incarnation;
        return hasCaughtUp;
    };

    const applyEntry = (entry: LogEntry): void => {
        ctx.appliedIndex = entry.index;
        if (entry.body.kind === EntryKind.Change) {
            requestHandler.completeProposal(entry.index, decisionReply(ctx.machine.apply(entry.body.change)));
        }
        if (entry.body.kind === EntryKind.Enroll) {
            requestHandler.completeProposal(entry.index, {
                kind: StateReplyKind.Enrolled,
                ...ctx.machine.enroll(entry.body.enrollment),
            });
        }
        if (entry.body.kind === EntryKind.Publish) {
            ctx.machine.fleet.publish(entry.body.published);
            requestHandler.completeProposal(entry.index, { kind: StateReplyKind.Recorded });
        }
        if (entry.body.kind === EntryKind.Facts) {
            ctx.machine.fleet.apply(entry.body.facts, entry.index);
            requestHandler.completeProposal(entry.index, { kind: StateReplyKind.Recorded });
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
        const appliedEntries = ctx.appliedIndex - log.baseIndex();
        if (appliedEntries >= snapshotEvery || (appliedEntries > 0 && log.weight() > maxLogWeight)) {
            takeSnapshot();
        }
        watchers.notifyNewer();
    };

    const installBootstrapSnapshot = (): void => {
        const bootstrapSnapshot = createBootstrapSnapshot(cfg.hostIds, cfg.firstEpoch ?? 0);
        latestSnapshot = bootstrapSnapshot;
        log.reset(bootstrapSnapshot);
        ctx.machine = createConfigurationMachine(bootstrapSnapshot.machine);
        ctx.commitIndex = bootstrapSnapshot.index;
        ctx.appliedIndex = bootstrapSnapshot.index;
        ctx.emit(saveBootstrapSnapshot(bootstrapSnapshot));
    };

    const election = createElection(ctx, {
        elected: () => replication.start(),
        steppedDown: () => requestHandler.retryAfterStepDown(),
    });
    const replication = createReplication(ctx, {
        commitAdvanced: applyCommitted,
        lostQuorum: () => election.becomeFollower(ctx.hardState.term, undefined),
        latestSnapshot: () => latestSnapshot!,
    });
    const follower = createFollower(ctx, election, applyCommitted);
    const bootstrap = createBootstrap(ctx, installBootstrapSnapshot);
    const requestHandler = createRequestHandler(ctx, replication, isActiveLeader);
    const watchers = createWatchers(ctx, isCaughtUp, () => confirmationAgeMs(ctx.now));

    const status = (): StateStatus => ({
        hostId: ctx.hostId,
        role: ctx.role,
        term: ctx.hardState.term,
        leaderId: ctx.leaderId,
        committed: ctx.machine.versioned().version,
        logLength: log.lastIndex() - log.baseIndex(),
        snapshotIndex: log.baseIndex(),
    });

    const transferLeadership = (): void => {
        const transferTarget = isLeaving && ctx.role === StateRole.Leader ? replication.transferTarget() : undefined;
        if (transferTarget !== undefined) {
            ctx.send(transferTarget, { kind: PeerMessageKind.TimeoutNow, term: ctx.hardState.term });
        }
    };

    const addContacts = (hostIds: readonly string[]): void => {
        // The hosts of a bootstrap are fixed until it completes.
        if (!ctx.hardState.founding) {
            hostIds.filter(hostId => hostId !== ctx.hostId).forEach(hostId => ctx.contacts.add(hostId));
        }
    };

    const onMessage: Handlers<PeerMessageKind, PeerMessage> = {
        [PeerMessageKind.BootstrapQuery]: (message, from) => bootstrap.receiveBootstrapQuery(from, message.nonce),
        [PeerMessageKind.BootstrapReply]: (message, from) => bootstrap.receiveBootstrapReply(from, message.nonce, message.fresh),
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
        [PeerMessageKind.VoteRequest]: (message, from) => election.receiveVoteRequest(from, message),
        [PeerMessageKind.VoteReply]: (message, from) => election.receiveVoteReply(from, message),
        [PeerMessageKind.Append]: (message, from) => {
            follower.receiveAppend(from, message);
        },
        [PeerMessageKind.AppendReply]: (message, from) => {
            if (message.term > ctx.hardState.term) {
                election.becomeFollower(message.term, undefined);
            }
            else if (ctx.role === StateRole.Leader) {
                replication.receiveReply(from, message);
                requestHandler.completeReads();
            }
        },
        [PeerMessageKind.InstallSnapshot]: (message, from) => {
            follower.receiveSnapshot(from, message);
            // Kept to send to followers if this host becomes the leader.
            if (message.snapshot.index === log.baseIndex()) {
                latestSnapshot = message.snapshot;
            }
        },
        [PeerMessageKind.TimeoutNow]: message => {
            if (message.term === ctx.hardState.term && isVoter(ctx) && !isLeaving) {
                election.startNow();
            }
        },
        [PeerMessageKind.Forward]: (message, from) => requestHandler.receiveForward(from, message.forwardId, message.request),
        [PeerMessageKind.ForwardReply]: message => requestHandler.receiveForwardReply(message.forwardId, message.reply),
    };

    const onRequest: { [P in StateRequestKind]: (requestId: number, request: Extract<StateRequest, { kind: P; }>) => void; } = {
        [StateRequestKind.Apply]: (requestId, request) => requestHandler.submit({ requestId }, request),
        [StateRequestKind.Read]: (requestId, request) => requestHandler.submit({ requestId }, request),
        [StateRequestKind.Enroll]: (requestId, request) => requestHandler.submit({ requestId }, request),
        [StateRequestKind.Publish]: (requestId, request) => requestHandler.submit({ requestId }, request),
        [StateRequestKind.Facts]: (requestId, request) => requestHandler.submit({ requestId }, request),
        [StateRequestKind.ReadPublished]: (requestId, request) => requestHandler.submit({ requestId }, request),
        [StateRequestKind.Watch]: (requestId, request) => watchers.add(requestId, request),
        [StateRequestKind.Status]: requestId => ctx.reply(requestId, { kind: StateReplyKind.Status, status: status() }),
        [StateRequestKind.History]: (requestId, request) =>
            ctx.reply(requestId, { kind: StateReplyKind.History, entries: ctx.machine.history(request.limit) }),
    };

    const onEvent: Handlers<NodeEventKind, NodeEvent> = {
        [NodeEventKind.Tick]: () => {
            bootstrap.tick();
            election.tick();
            if (ctx.role === StateRole.Leader) {
                replication.tick();
            }
            if (ctx.role === StateRole.Recovering || ctx.role === StateRole.Follower) {
                ctx.role = passiveRole(ctx);
            }
            requestHandler.tick();
            watchers.tick();
            transferLeadership();
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
            isLeaving = true;
            watchers.replyToAll();
            transferLeadership();
        },
    };

    const step = (event: NodeEvent, now: number): NodeAction[] => {
        ctx.now = now;
        const emitted: NodeAction[] = [];
        actions = emitted;
        (onEvent[event.kind] as (value: NodeEvent, from: string) => void)(event, "");
        return emitted;
    };

    /** Time since a majority last confirmed the applied view, whether or not there is a leader now. */
    const confirmationAgeMs = (now: number): number =>
        ctx.role === StateRole.Leader ? replication.quorumAgeMs() + now - ctx.now : now - ctx.viewConfirmedAt;

    const viewAgeMs = (now: number): number => ctx.leaderId === undefined || !isCaughtUp() ? Infinity : confirmationAgeMs(now);

    return {
        step,
        recordSave: (tookMs, now) => ctx.saveTime.record(tookMs, now),
        status,
        fleet: () => isCaughtUp() ? ctx.machine.fleet : undefined,
        viewAgeMs,
        voters: () => Object.keys(log.voters()),
        addContacts,
        canStop: () => ctx.role !== StateRole.Leader && requestHandler.pendingCount() === 0,
    };
};
