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

/** How voters that stay away are taken out. */
export interface ReplacementCfg {
    /** The least number of voters that stay: twice the disks that may be lost at once, and one. */
    minVoters: number;
    /** How long a voter is silent before it may be taken out, in milliseconds. */
    absentMs: number;
}

/** Options of a state host's decisions. */
export interface StateNodeCfg {
    hostId: string;
    /**
     * The state hosts known at the start, this one included when it is one of them. A first start founds the fleet's state
     * with exactly these; later they are only the first to ask, since the log says who votes.
     */
    hostIds: readonly string[];
    /** Whether hosts that the log does not name may join, and voters that stay away are replaced. */
    replacement?: ReplacementCfg;
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
    /** The hosts of the start, without this one. */
    readonly contacts: Set<string>;
    readonly replacement: ReplacementCfg | undefined;
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
    /** How long ago the leader had heard a majority when it was last heard, in milliseconds. */
    leaderQuorumAgeMs: number;
    emit(action: NodeAction): void;
    send(to: string, message: PeerMessage): void;
    reply(requestId: number, reply: StateReply): void;
    saveHard(change: Partial<HardState>): void;
}

/** How many voters make a majority. */
export const quorumOf = (voters: Readonly<Record<string, number>>): number => Math.floor(Object.keys(voters).length / 2) + 1;

/** The voters that the log names, without this host. */
export const otherVoters = (ctx: NodeContext): string[] => Object.keys(ctx.log.voters()).filter(hostId => hostId !== ctx.hostId);

/** Whom a host that does not vote asks to take it in. */
export const hostsToAsk = (ctx: NodeContext): string[] => [...new Set([...ctx.contacts, ...otherVoters(ctx)])];

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
        contacts: new Set(cfg.hostIds.filter(hostId => hostId !== cfg.hostId)),
        replacement: cfg.replacement,
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
        leaderQuorumAgeMs: 0,
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
