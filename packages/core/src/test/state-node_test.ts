import { expect } from "chai";
import {
    createFirstSnapshot,
    createRandom,
    createStateNode,
    EntryKind,
    NodeActionKind,
    NodeEventKind,
    noVersion,
    PeerMessageKind,
    StateReplyKind,
    StateRequestKind,
    StateRole,
} from "../index.js";
import type { HardState, LogEntry, NodeAction, PeerMessage, StateNode, StoredState } from "../index.js";

const hostIds = ["a", "b", "c"];
const longMs = 10_000;

const stored = (entries: LogEntry[] = [], hardState: Partial<HardState> = {}): StoredState => ({
    hardState: { incarnation: 1, founding: false, term: entries.at(-1)?.term ?? 0, ...hardState },
    snapshot: createFirstSnapshot(hostIds, 0),
    entries,
});

const noop = (index: number, term: number): LogEntry => ({ index, term, body: { kind: EntryKind.Noop } });

const createNode = (state: StoredState): StateNode =>
    createStateNode({ hostId: "a", hostIds, stored: state, random: createRandom(1), wallClock: () => 0 });

const message = (from: string, body: PeerMessage): { kind: NodeEventKind.Message; from: string; message: PeerMessage; } => ({
    kind: NodeEventKind.Message,
    from,
    message: body,
});

const sentOf = <K extends PeerMessageKind>(actions: NodeAction[], kind: K): Extract<PeerMessage, { kind: K; }>[] =>
    actions.flatMap(action => action.kind === NodeActionKind.Send ? [action.message] : [])
        .filter((body): body is Extract<PeerMessage, { kind: K; }> => body.kind === kind);

const repliesOf = (actions: NodeAction[]): NodeAction[] => actions.filter(action => action.kind === NodeActionKind.Reply);

const append = (
    term: number,
    previousIndex: number,
    previousTerm: number,
    entries: LogEntry[],
    commitIndex = 1,
): PeerMessage => ({
    kind: PeerMessageKind.Append,
    term,
    previousIndex,
    previousTerm,
    entries,
    commitIndex,
    quorumAgeMs: 0,
    round: 0,
});

const accepted = (term: number, index: number, round = 0, incarnation = 1): PeerMessage => ({
    kind: PeerMessageKind.AppendReply,
    term,
    ok: true,
    index,
    round,
    incarnation,
});

const vote = (term: number, lastIndex: number, lastTerm: number): PeerMessage => ({
    kind: PeerMessageKind.Vote,
    term,
    preVote: false,
    transfer: true,
    lastIndex,
    lastTerm,
});

/** Makes the node lead `term` with the votes of "b". */
const elect = (node: StateNode, term: number): void => {
    node.step({ kind: NodeEventKind.Tick }, 0);
    node.step({ kind: NodeEventKind.Tick }, longMs);
    const granted = { kind: PeerMessageKind.VoteReply as const, term, granted: true, incarnation: 1 };
    node.step(message("b", { ...granted, preVote: true }), longMs);
    node.step(message("b", { ...granted, preVote: false }), longMs);
    expect(node.status().role).to.equal(StateRole.Leader);
};

describe("state node", () => {
    it("writes its vote before it gives it, and gives no other in the same term", () => {
        const node = createNode(stored());
        const first = node.step(message("b", vote(3, 1, 0)), 0);
        const kinds = first.map(action => action.kind);
        const saved = first.filter(action => action.kind === NodeActionKind.SaveHardState);
        expect(saved.at(-1)).to.have.nested.property("hardState.votedFor", "b");
        expect(kinds.lastIndexOf(NodeActionKind.SaveHardState)).to.be.lessThan(kinds.indexOf(NodeActionKind.Send));
        expect(sentOf(first, PeerMessageKind.VoteReply)[0]!.granted).to.equal(true);
        const second = node.step(message("c", vote(3, 9, 2)), 0);
        expect(sentOf(second, PeerMessageKind.VoteReply)[0]!.granted).to.equal(false);
        const restarted = createNode(stored([], { term: 3, votedFor: "b" }));
        expect(sentOf(restarted.step(message("c", vote(3, 9, 2)), 0), PeerMessageKind.VoteReply)[0]!.granted).to.equal(false);
    });

    const logs = [
        { name: "a shorter log of the same term", lastIndex: 2, lastTerm: 2, granted: false },
        { name: "a longer log of an older term", lastIndex: 9, lastTerm: 1, granted: false },
        { name: "an equal log", lastIndex: 3, lastTerm: 2, granted: true },
        { name: "a shorter log of a newer term", lastIndex: 2, lastTerm: 3, granted: true },
    ];
    for (const { name, lastIndex, lastTerm, granted } of logs) {
        it(`${granted ? "votes" : "does not vote"} for ${name}`, () => {
            const node = createNode(stored([noop(2, 1), noop(3, 2)]));
            const actions = node.step(message("b", vote(5, lastIndex, lastTerm)), 0);
            expect(sentOf(actions, PeerMessageKind.VoteReply)[0]!.granted).to.equal(granted);
        });
    }

    it("commits an entry of an older term only with one of its own", () => {
        const node = createNode(stored([noop(2, 1)]));
        elect(node, 2);
        const older = node.step(message("b", accepted(2, 2)), longMs);
        expect(sentOf(older, PeerMessageKind.Append).every(body => body.commitIndex === 1)).to.equal(true);
        node.step(message("b", accepted(2, 3)), longMs);
        const heartbeat = node.step({ kind: NodeEventKind.Tick }, longMs + 200);
        expect(sentOf(heartbeat, PeerMessageKind.Append)[0]!.commitIndex).to.equal(3);
    });

    it("answers a read only after a majority confirmed that it leads", () => {
        const node = createNode(stored());
        elect(node, 1);
        node.step(message("b", accepted(1, 2)), longMs);
        const read = { kind: StateRequestKind.Read as const };
        const asked = node.step({ kind: NodeEventKind.Request, requestId: 7, request: read }, longMs);
        const { round } = sentOf(asked, PeerMessageKind.Append)[0]!;
        expect(repliesOf(asked)).to.have.length(0);
        expect(repliesOf(node.step({ kind: NodeEventKind.Tick }, longMs + 20))).to.have.length(0);
        expect(repliesOf(node.step(message("b", accepted(1, 2, round - 1)), longMs + 20))).to.have.length(0);
        expect(repliesOf(node.step(message("b", accepted(1, 2, round)), longMs + 20))).to.have.length(1);
    });

    it("steps down when it hears no majority", () => {
        const node = createNode(stored());
        elect(node, 1);
        node.step({ kind: NodeEventKind.Tick }, longMs + longMs);
        expect(node.status().role).not.to.equal(StateRole.Leader);
    });

    it("keeps entries that it has acknowledged when an earlier message comes late", () => {
        const node = createNode(stored());
        node.step(message("b", append(1, 1, 0, [noop(2, 1), noop(3, 1), noop(4, 1)])), 0);
        const late = node.step(message("b", append(1, 1, 0, [noop(2, 1)])), 1);
        expect(late.some(action => action.kind === NodeActionKind.Truncate)).to.equal(false);
        const snapshot = { ...createFirstSnapshot(hostIds, 0), index: 3, term: 1 };
        const installed = node.step(
            message("b", { kind: PeerMessageKind.InstallSnapshot, term: 1, snapshot, round: 0 }),
            2,
        );
        const saved = installed.find(action => action.kind === NodeActionKind.SaveSnapshot);
        expect(saved).to.have.deep.property("entries", [noop(4, 1)]);
    });

    it("commits nothing after what the leader's message has confirmed", () => {
        const change = {
            changeId: "x",
            expectedVersion: noVersion,
            tables: { routes: [], pools: [] },
            author: "",
            acceptedAt: 0,
        };
        const node = createNode(stored([noop(2, 1), { index: 3, term: 1, body: { kind: EntryKind.Change, change } }]));
        node.step(message("b", append(2, 2, 1, [], 9)), 0);
        expect(node.status().committed.index).to.equal(0);
        const hint = sentOf(node.step(message("b", append(2, 9, 2, [])), 0), PeerMessageKind.AppendReply)[0]!;
        expect(hint.index).to.equal(4);
        const conflicting = node.step(message("b", append(2, 2, 1, [noop(3, 2)], 2)), 0);
        expect(conflicting).to.deep.include({ kind: NodeActionKind.Truncate, fromIndex: 3 });
    });

    it("takes a lost disk out and its successor in, one committed step after the other", () => {
        const node = createNode(stored());
        elect(node, 1);
        const join: PeerMessage = { kind: PeerMessageKind.Join, incarnation: 99 };
        const bodies = (actions: NodeAction[]): EntryKind[] =>
            actions.flatMap(action => action.kind === NodeActionKind.Append ? action.entries.map(entry => entry.body.kind) : []);
        expect(bodies(node.step(message("c", join), longMs))).to.deep.equal([]);
        node.step(message("b", accepted(1, 2)), longMs);
        // What the lost disk held, what came before the round that the join began, and a part are not enough.
        node.step(message("c", accepted(1, 2, 1, 1)), longMs);
        const refused: PeerMessage = {
            kind: PeerMessageKind.AppendReply,
            term: 1,
            ok: false,
            index: 1,
            round: 1,
            incarnation: 99,
        };
        for (const answer of [refused, accepted(1, 2, 0, 98), accepted(1, 2, 0, 99)]) {
            node.step(message("c", answer), longMs);
            expect(bodies(node.step(message("c", join), longMs))).to.deep.equal([]);
        }
        node.step(message("c", accepted(1, 2, 1, 98)), longMs);
        node.step(message("c", accepted(1, 1, 1, 99)), longMs);
        expect(bodies(node.step(message("c", join), longMs))).to.deep.equal([]);
        node.step(message("c", accepted(1, 2, 1, 99)), longMs);
        expect(bodies(node.step(message("c", join), longMs))).to.deep.equal([EntryKind.RemoveVoter]);
        node.step(message("c", accepted(1, 3, 1, 99)), longMs);
        expect(bodies(node.step(message("c", join), longMs))).to.deep.equal([]);
        node.step(message("b", accepted(1, 3)), longMs);
        expect(bodies(node.step(message("c", join), longMs))).to.deep.equal([EntryKind.AddVoter]);
    });

    it("counts no acknowledgement of a lost disk", () => {
        const node = createNode(stored());
        elect(node, 1);
        node.step(message("b", accepted(1, 2, 0, 5)), longMs);
        const heartbeat = node.step({ kind: NodeEventKind.Tick }, longMs + 200);
        expect(sentOf(heartbeat, PeerMessageKind.Append)[0]!.commitIndex).to.equal(1);
    });

    it("takes an empty disk for a lost one when another host has begun", () => {
        const founding = { incarnation: 1, founding: true, term: 0 };
        const node = createNode({ hardState: founding, entries: [] });
        const greet = sentOf(node.step({ kind: NodeEventKind.Tick }, 0), PeerMessageKind.Greet)[0]!;
        node.step(message("b", { kind: PeerMessageKind.GreetReply, nonce: greet.nonce, fresh: true }), 0);
        node.step(message("c", { kind: PeerMessageKind.GreetReply, nonce: greet.nonce + 1, fresh: true }), 0);
        expect(node.status().role).to.equal(StateRole.Recovering);
        node.step(message("c", { kind: PeerMessageKind.GreetReply, nonce: greet.nonce, fresh: false }), 0);
        expect(sentOf(node.step({ kind: NodeEventKind.Tick }, longMs), PeerMessageKind.Join)).to.have.length(2);
    });

    it("begins with the epoch of its first start once every other host is at its own", () => {
        const hardState = { incarnation: 1, founding: true, term: 0 };
        const node = createStateNode({
            hostId: "a",
            hostIds,
            stored: { hardState, entries: [] },
            random: createRandom(1),
            wallClock: () => 0,
            firstEpoch: 3,
        });
        const { nonce } = sentOf(node.step({ kind: NodeEventKind.Tick }, 0), PeerMessageKind.Greet)[0]!;
        node.step(message("b", { kind: PeerMessageKind.GreetReply, nonce, fresh: true }), 0);
        const last = node.step(message("c", { kind: PeerMessageKind.GreetReply, nonce, fresh: true }), 0);
        expect(last.map(action => action.kind)).to.deep.equal([NodeActionKind.SaveSnapshot, NodeActionKind.SaveHardState]);
        expect(node.status().committed).to.deep.equal({ epoch: 3, index: 0 });
    });

    it("answers no watch before it knows as much as before its start", () => {
        const node = createNode(stored([noop(2, 1)]));
        const watch = { kind: StateRequestKind.Watch as const, known: noVersion, waitMs: 0, hostId: "entry" };
        node.step({ kind: NodeEventKind.Request, requestId: 1, request: watch }, 0);
        const replies = repliesOf(node.step({ kind: NodeEventKind.Tick }, 1));
        expect(replies[0]).to.have.nested.property("reply.kind", StateReplyKind.Unavailable);
    });
});
