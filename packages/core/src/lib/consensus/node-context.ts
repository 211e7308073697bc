/** State shared by the components of one state host, and settings of the consensus protocol. */
import { ownValue } from "../own-value.js";
import type { Random } from "../random.js";
import { StateRole } from "../state-messages.js";
import type { StateReply } from "../state-messages.js";
import type { ConfigurationMachine } from "./configuration-machine.js";
import type { HardState, StoredState } from "./log-entry.js";
import { NodeActionKind } from "./node-messages.js";
import type { NodeAction, PeerMessage } from "./node-messages.js";
import type { ReplicatedLog } from "./replicated-log.js";
import { createSaveTime } from "./save-time.js";
import type { SaveTime } from "./save-time.js";

/** Intervals and timeouts of the consensus protocol, in milliseconds. */
export interface StateTiming {
    /** Interval of the leader's heartbeats. */
    heartbeatMs: number;
    /** Shortest election timeout: the time without a leader message before an election starts; the longest is twice that. */
    electionTimeoutMs: number;
    /** How long a request may wait for a majority before it fails as unavailable. */
    requestTimeoutMs: number;
}

/** Default timing for 20 ms between regions and disks that sync within 100 ms. */
export const defaultStateTiming: StateTiming = { heartbeatMs: 100, electionTimeoutMs: 600, requestTimeoutMs: 3000 };

/**
 * Time without a reply after which a leader may remove a voter, in milliseconds: longer than a restart of the process. The next
 * host may be lost once the successor of the last one has caught up, 4 s after its start; by then the absent voter must be
 * removed, also by a leader that counts its silence only from its own election.
 */
export const voterAbsenceTimeoutMs = 3000;

/** Settings for the removal of absent voters. */
export interface ReplacementCfg {
    /** Voters are never removed below this number: twice the disks that may be lost at once, plus one. */
    minVoters: number;
    /** Time without a reply after which a voter may be removed, in milliseconds. */
    absenceTimeoutMs: number;
}

/** Options of a state host's consensus node. */
export interface StateNodeCfg {
    hostId: string;
    /**
     * The state hosts known at the start, including this one if it is one of them. The bootstrap makes exactly these hosts
     * the voters; later they serve only as initial contacts, since the log defines the voters.
     */
    hostIds: readonly string[];
    /** Settings for the removal of absent voters; without it, none is removed. */
    replacement?: ReplacementCfg;
    stored: StoredState;
    random: Random;
    /** Returns the wall-clock time in milliseconds since 1970; used only for the history and the roster. */
    wallClock: () => number;
    timing?: StateTiming;
    /** Number of applied entries after which a snapshot replaces them; `Infinity` disables snapshots. */
    snapshotEvery?: number;
    /** The memory that log entries may take before a snapshot replaces those that are applied, in bytes. */
    maxLogWeight?: number;
}

/** Mutable state shared by the components of one host. */
export interface NodeContext {
    readonly hostId: string;
    /** State hosts to contact that the log need not list, without this host. */
    readonly contacts: Set<string>;
    readonly replacement: ReplacementCfg | undefined;
    readonly timing: StateTiming;
    readonly random: Random;
    readonly wallClock: () => number;
    readonly log: ReplicatedLog;
    readonly saveTime: SaveTime;
    machine: ConfigurationMachine;
    hardState: HardState;
    role: StateRole;
    leaderId: string | undefined;
    commitIndex: number;
    appliedIndex: number;
    /** Time of the current step, in milliseconds of a monotonic clock. */
    now: number;
    /** When the last message of the leader was received; `-Infinity` before the first. */
    leaderLastReceivedAt: number;
    /** A majority confirmed at this time that the applied state held all that was committed; `-Infinity` before the first time. */
    viewConfirmedAt: number;
    /** Adds an action to the result of the current step. */
    emit(action: NodeAction): void;
    send(to: string, message: PeerMessage): void;
    reply(requestId: number, reply: StateReply): void;
    /** Updates the hard state and emits the write that makes it durable. */
    saveHardState(change: Partial<HardState>): void;
}

/** Returns the number of voters that form a majority. */
export const quorumSize = (voters: Readonly<Record<string, number>>): number => Math.floor(Object.keys(voters).length / 2) + 1;

/** Returns the voters of the log without this host. */
export const otherVoters = (ctx: NodeContext): string[] => Object.keys(ctx.log.voters()).filter(hostId => hostId !== ctx.hostId);

/** Returns the hosts to which a host that is not a voter sends its join request. */
export const joinTargets = (ctx: NodeContext): string[] => [...new Set([...ctx.contacts, ...otherVoters(ctx)])];

/** Whether the log of this host lists its disk as a voter. */
export const isVoter = (ctx: NodeContext): boolean =>
    !ctx.hardState.founding && ownValue(ctx.log.voters(), ctx.hostId) === ctx.hardState.incarnation;

/** Returns the role of a host that is neither leader nor candidate. */
export const passiveRole = (ctx: NodeContext): StateRole => isVoter(ctx) ? StateRole.Follower : StateRole.Recovering;

/** Creates the shared state; `actions` returns the list that collects the actions of the current step. */
export const createNodeContext = (
    cfg: StateNodeCfg,
    log: ReplicatedLog,
    machine: ConfigurationMachine,
    actions: () => NodeAction[],
): NodeContext => {
    const emit = (action: NodeAction): void => {
        actions().push(action);
    };
    const ctx: NodeContext = {
        hostId: cfg.hostId,
        contacts: new Set(cfg.hostIds.filter(hostId => hostId !== cfg.hostId)),
        replacement: cfg.replacement,
        timing: cfg.timing ?? defaultStateTiming,
        random: cfg.random,
        wallClock: cfg.wallClock,
        log,
        saveTime: createSaveTime(),
        machine,
        hardState: cfg.stored.hardState,
        role: StateRole.Recovering,
        leaderId: undefined,
        commitIndex: log.baseIndex(),
        appliedIndex: log.baseIndex(),
        now: 0,
        leaderLastReceivedAt: -Infinity,
        viewConfirmedAt: -Infinity,
        emit,
        send: (to, message) => emit({ kind: NodeActionKind.Send, to, message }),
        reply: (requestId, reply) => emit({ kind: NodeActionKind.Reply, requestId, reply }),
        saveHardState: change => {
            ctx.hardState = { ...ctx.hardState, ...change };
            emit({ kind: NodeActionKind.SaveHardState, hardState: ctx.hardState });
        },
    };
    ctx.role = passiveRole(ctx);
    return ctx;
};
