/** The first start, and the return of a host whose disk was lost. */
import type { Random } from "../random.js";
import { createMachineState } from "./configuration-machine.js";
import { firstIncarnation } from "./log-entry.js";
import type { Snapshot } from "./log-entry.js";
import { hostsToAsk, isVoter } from "./node-context.js";
import type { NodeContext } from "./node-context.js";
import { NodeActionKind, PeerMessageKind } from "./node-messages.js";

/** Incarnations after the first are drawn from this many numbers. */
const incarnationRange = 2 ** 45;

/** Draws the incarnation of a disk that is not one of the first start. */
export const drawIncarnation = (random: Random): number => firstIncarnation + 1 + random.below(incarnationRange);

/** The snapshot that every host of a first start begins with; all of them write the same one. */
export const createFirstSnapshot = (hostIds: readonly string[], epoch: number): Snapshot => ({
    index: 1,
    term: 0,
    voters: Object.fromEntries(hostIds.map(hostId => [hostId, firstIncarnation])),
    machine: createMachineState(epoch),
});

/** Brings a host with an empty disk among the voters. */
export interface Founding {
    tick(): void;
    receiveGreet(from: string, nonce: number): void;
    receiveGreetReply(from: string, nonce: number, fresh: boolean): void;
}

/** Creates the founding part of one host; `founded` installs the snapshot of the first start. */
export const createFounding = (ctx: NodeContext, founded: () => void): Founding => {
    // Replies to an earlier process of this host must not count: that one may have voted since.
    const nonce = ctx.random.below(incarnationRange);
    const fresh = new Set<string>();
    let askAt = -Infinity;

    const found = (): void => {
        founded();
        ctx.saveHard({ founding: false });
    };

    /** The others have begun without this disk, so it is a lost one whatever the settings say. */
    const giveUp = (): void => {
        ctx.saveHard({ founding: false, incarnation: drawIncarnation(ctx.random), term: 0, votedFor: undefined });
    };

    const foundWhenAllAreFresh = (): void => {
        if (ctx.hard.founding && fresh.size === ctx.contacts.size) {
            found();
        }
    };

    const tick = (): void => {
        if (ctx.now < askAt || isVoter(ctx)) {
            return;
        }
        askAt = ctx.now + ctx.timing.heartbeatMs;
        const hostIds = ctx.hard.founding ? [...ctx.contacts] : hostsToAsk(ctx);
        for (const hostId of hostIds) {
            ctx.send(
                hostId,
                ctx.hard.founding
                    ? { kind: PeerMessageKind.Greet, nonce }
                    : { kind: PeerMessageKind.Join, incarnation: ctx.hard.incarnation },
            );
        }
        foundWhenAllAreFresh();
    };

    const receiveGreet = (from: string, asked: number): void => {
        const isBlank = !ctx.hard.founding && ctx.hard.incarnation !== firstIncarnation && ctx.log.lastIndex() === 0;
        // A host without any state knows nothing about a first start, so it says neither yes nor no.
        if (isBlank) {
            return;
        }
        const isFresh = ctx.hard.incarnation === firstIncarnation && ctx.hard.term === 0;
        ctx.send(from, { kind: PeerMessageKind.GreetReply, nonce: asked, fresh: isFresh });
    };

    const receiveGreetReply = (from: string, answered: number, isFresh: boolean): void => {
        if (!ctx.hard.founding || answered !== nonce) {
            return;
        }
        if (!isFresh) {
            giveUp();
            return;
        }
        fresh.add(from);
        foundWhenAllAreFresh();
    };

    return { tick, receiveGreet, receiveGreetReply };
};

/** The write that makes the first snapshot durable. */
export const firstSnapshotWrite = (
    snapshot: Snapshot,
): { kind: NodeActionKind.SaveSnapshot; snapshot: Snapshot; entries: []; } => ({
    kind: NodeActionKind.SaveSnapshot,
    snapshot,
    entries: [],
});
