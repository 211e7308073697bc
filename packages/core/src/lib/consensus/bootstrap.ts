/** Bootstrap of the cluster at its first start, and rejoining of a host whose disk was lost. */
import type { Random } from "../random.js";
import { createMachineState } from "./configuration-machine.js";
import { bootstrapIncarnation } from "./log-entry.js";
import type { Snapshot } from "./log-entry.js";
import { isVoter, joinTargets } from "./node-context.js";
import type { NodeContext } from "./node-context.js";
import { NodeActionKind, PeerMessageKind } from "./node-messages.js";

/** Size of the range from which incarnations other than the bootstrap incarnation are drawn. */
const incarnationRange = 2 ** 45;

/** Draws a random incarnation for a disk that does not take part in the bootstrap. */
export const drawIncarnation = (random: Random): number => bootstrapIncarnation + 1 + random.below(incarnationRange);

/** Creates the initial snapshot of the bootstrap, identical on all of its hosts. */
export const createBootstrapSnapshot = (hostIds: readonly string[], epoch: number): Snapshot => ({
    index: 1,
    term: 0,
    voters: Object.fromEntries(hostIds.map(hostId => [hostId, bootstrapIncarnation])),
    machine: createMachineState(epoch),
});

/**
 * A voter without a leader for this many election timeouts may have been removed while it was absent. Nobody tells it, as entries go
 * to voters only, so it sends join requests, once in an election timeout.
 */
const removalCheckElectionTimeouts = 1.5;

/** Makes a host a voter, by the bootstrap or by joining, also one that was removed as a voter. */
export interface Bootstrap {
    /**
     * Sends bootstrap queries or join requests once per heartbeat interval until this host is a voter, and join requests while it
     * may have been removed.
     */
    tick(): void;
    receiveBootstrapQuery(from: string, nonce: number): void;
    /** Handles a reply; `fresh` is whether its sender takes part in the same bootstrap and has seen no election. */
    receiveBootstrapReply(from: string, nonce: number, fresh: boolean): void;
}

/** Creates the bootstrap of one host; `onBootstrapped` installs the bootstrap snapshot. */
export const createBootstrap = (ctx: NodeContext, onBootstrapped: () => void): Bootstrap => {
    // Replies to an earlier process of this host must not count: their sender may have voted since.
    const nonce = ctx.random.below(incarnationRange);
    const freshHosts = new Set<string>();
    let nextRequestAt = -Infinity;
    /** When this host last had a leader; the time of the first tick before that. */
    let lastLedAt: number | undefined;

    const mayHaveBeenRemoved = (): boolean => {
        if (lastLedAt === undefined || ctx.leaderId !== undefined) {
            lastLedAt = ctx.now;
        }
        return ctx.now - lastLedAt >= removalCheckElectionTimeouts * ctx.timing.electionTimeoutMs;
    };

    const completeBootstrap = (): void => {
        onBootstrapped();
        ctx.saveHardState({ founding: false });
    };

    /** Treats the disk as lost, even if the settings request a bootstrap: the other hosts bootstrapped without it. */
    const abandonBootstrap = (): void => {
        ctx.saveHardState({ founding: false, incarnation: drawIncarnation(ctx.random), term: 0, votedFor: undefined });
    };

    const bootstrapWhenAllAreFresh = (): void => {
        if (ctx.hardState.founding && freshHosts.size === ctx.contacts.size) {
            completeBootstrap();
        }
    };

    const tick = (): void => {
        const seeksLeader = mayHaveBeenRemoved() && isVoter(ctx);
        if (ctx.now < nextRequestAt || (isVoter(ctx) && !seeksLeader)) {
            return;
        }
        nextRequestAt = ctx.now + (seeksLeader ? ctx.timing.electionTimeoutMs : ctx.timing.heartbeatMs);
        const hostIds = ctx.hardState.founding ? [...ctx.contacts] : joinTargets(ctx);
        for (const hostId of hostIds) {
            ctx.send(
                hostId,
                ctx.hardState.founding
                    ? { kind: PeerMessageKind.BootstrapQuery, nonce }
                    : { kind: PeerMessageKind.Join, incarnation: ctx.hardState.incarnation },
            );
        }
        bootstrapWhenAllAreFresh();
    };

    const receiveBootstrapQuery = (from: string, queryNonce: number): void => {
        const hasNoState = !ctx.hardState.founding && ctx.hardState.incarnation !== bootstrapIncarnation
            && ctx.log.lastIndex() === 0;
        // A host without any state can't know whether the cluster has bootstrapped, so it does not reply.
        if (hasNoState) {
            return;
        }
        const isFresh = ctx.hardState.incarnation === bootstrapIncarnation && ctx.hardState.term === 0;
        ctx.send(from, { kind: PeerMessageKind.BootstrapReply, nonce: queryNonce, fresh: isFresh });
    };

    const receiveBootstrapReply = (from: string, replyNonce: number, isFresh: boolean): void => {
        if (!ctx.hardState.founding || replyNonce !== nonce) {
            return;
        }
        if (!isFresh) {
            abandonBootstrap();
            return;
        }
        freshHosts.add(from);
        bootstrapWhenAllAreFresh();
    };

    return { tick, receiveBootstrapQuery, receiveBootstrapReply };
};

/** Creates the write action that makes the bootstrap snapshot durable. */
export const saveBootstrapSnapshot = (
    snapshot: Snapshot,
): { kind: NodeActionKind.SaveSnapshot; snapshot: Snapshot; entries: []; } => ({
    kind: NodeActionKind.SaveSnapshot,
    snapshot,
    entries: [],
});
