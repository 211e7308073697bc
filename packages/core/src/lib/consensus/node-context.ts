/** What the parts of one state host share. */
import type { Random } from "../random.js";
import { StateRole } from "../state-messages.js";
import type { StateReply } from "../state-messages.js";
import type { ConfigurationMachine } from "./configuration-machine.js";
import type { HardState, StoredState } from "./log-entry.js";
import { NodeActionKind } from "./node-messages.js";
import type { NodeAction, PeerMessage } from "./node-messages.js";
import type { ReplicatedLog } from "./replicated-log.js";

/** The times of the consensus, in milliseconds. */
export interface StateTiming {
    heartbeatMs: number;
    /** The shortest silence of the leader after which a host stands for election; the longest is twice that. */
    electionMs: number;
    /** How long a request may wait for a majority. */
    requestMs: number;
}

/** Times that suit 20 ms between regions and disks that sync within 100 ms. */
export const defaultStateTiming: StateTiming = { heartbeatMs: 100, electionMs: 600, requestMs: 3000 };

/** Options of a state host's decisions. */
export interface StateNodeCfg {
    hostId: string;
    /** Every state host, this one included. */
    hostIds: readonly string[];
    stored: StoredState;
    random: Random;
    /** Wall-clock time in milliseconds since 1970, for the history only. */
    wallClock: () => number;
    timing?: StateTiming;
    /** How many applied entries are kept before a snapshot replaces them; `Infinity` takes none. */
    snapshotEvery?: number;
}

/** The state that the parts of one host read and change. */
export interface NodeContext {
    readonly hostId: string;
    readonly others: readonly string[];
    readonly timing: StateTiming;
    readonly random: Random;
    readonly wallClock: () => number;
    readonly log: ReplicatedLog;
    machine: ConfigurationMachine;
    hard: HardState;
    role: StateRole;
    leaderId: string | undefined;
    commitIndex: number;
    appliedIndex: number;
    now: number;
    /** When the leader was last heard. */
    leaderHeardAt: number;
    emit(action: NodeAction): void;
    send(to: string, message: PeerMessage): void;
    reply(requestId: number, reply: StateReply): void;
    saveHard(change: Partial<HardState>): void;
}

/** How many voters make a majority. */
export const quorumOf = (voters: Readonly<Record<string, number>>): number => Math.floor(Object.keys(voters).length / 2) + 1;

/** Whether this host's disk is a voter by its own log. */
export const isVoter = (ctx: NodeContext): boolean => !ctx.hard.founding && ctx.log.voters()[ctx.hostId] === ctx.hard.incarnation;

/** The role of a host that neither leads nor stands for election. */
export const passiveRole = (ctx: NodeContext): StateRole => isVoter(ctx) ? StateRole.Follower : StateRole.Recovering;

/** Creates the shared state; `actions` collects what one step emits. */
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
        others: cfg.hostIds.filter(hostId => hostId !== cfg.hostId),
        timing: cfg.timing ?? defaultStateTiming,
        random: cfg.random,
        wallClock: cfg.wallClock,
        log,
        machine,
        hard: cfg.stored.hardState,
        role: StateRole.Recovering,
        leaderId: undefined,
        commitIndex: log.baseIndex(),
        appliedIndex: log.baseIndex(),
        now: 0,
        leaderHeardAt: -Infinity,
        emit,
        send: (to, message) => emit({ kind: NodeActionKind.Send, to, message }),
        reply: (requestId, reply) => emit({ kind: NodeActionKind.Reply, requestId, reply }),
        saveHard: change => {
            ctx.hard = { ...ctx.hard, ...change };
            emit({ kind: NodeActionKind.SaveHardState, hardState: ctx.hard });
        },
    };
    ctx.role = passiveRole(ctx);
    return ctx;
};
