import { expect } from "chai";
import {
    createBootstrapSnapshot,
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
const electionPassedMs = 10_000;

const stored = (entries: LogEntry[] = [], hardState: Partial<HardState> = {}): StoredState => ({
    hardState: { incarnation: 1, founding: false, term: entries.at(-1)?.term ?? 0, ...hardState },
    snapshot: createBootstrapSnapshot(hostIds, 0),
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

const sentMessages = <K extends PeerMessageKind>(actions: NodeAction[], kind: K): Extract<PeerMessage, { kind: K; }>[] =>
    actions.flatMap(action => action.kind === NodeActionKind.Send ? [action.message] : [])
        .filter((body): body is Extract<PeerMessage, { kind: K; }> => body.kind === kind);

const sentReplies = (actions: NodeAction[]): NodeAction[] => actions.filter(action => action.kind === NodeActionKind.Reply);

const appendMessage = (
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

const appendAccepted = (term: number, index: number, round = 0, incarnation = 1): PeerMessage => ({
    kind: PeerMessageKind.AppendReply,
    term,
    ok: true,
    index,
    round,
    incarnation,
});

const voteRequest = (term: number, lastIndex: number, lastTerm: number): PeerMessage => ({
    kind: PeerMessageKind.VoteRequest,
    term,
    preVote: false,
    transfer: true,
    lastIndex,
    lastTerm,
});

/** Makes the node lead `term` with the votes of "b". */
const elect = (node: StateNode, term: number): void => {
    node.step({ kind: NodeEventKind.Tick }, 0);
    node.step({ kind: NodeEventKind.Tick }, electionPassedMs);
    const granted = { kind: PeerMessageKind.VoteReply as const, term, granted: true, incarnation: 1 };
    node.step(message("b", { ...granted, preVote: true }), electionPassedMs);
    node.step(message("b", { ...granted, preVote: false }), electionPassedMs);
    expect(node.status().role).to.equal(StateRole.Leader);
};

describe("age of the view of a state node", () => {
    const now = 5000;
    const cases: [name: string, received: PeerMessage, isRecent: boolean][] = [
        ["is recent when all that the leader has committed is applied", appendMessage(1, 1, 0, [noop(2, 1)], 2), true],
        ["is not recent when the leader has committed entries that are missing", appendMessage(1, 1, 0, [noop(2, 1)], 7), false],
        ["is not recent when the log does not match the leader's", appendMessage(1, 6, 1, [], 1), false],
    ];
    for (const [name, received, isRecent] of cases) {
        // Guards against an entry host that takes an old configuration for the newest one.
        it(name, () => {
            const node = createNode(stored());
            node.step(message("b", received), now);
            expect(node.viewAgeMs(now) < 1000).to.equal(isRecent);
        });
    }

    // The previous leader may have acknowledged an entry that the new one does not yet know to be committed.
    it("is recent on a new leader only once an entry of its term is committed", () => {
        const node = createNode(stored());
        elect(node, 1);
        expect(node.viewAgeMs(electionPassedMs)).to.equal(Infinity);
        node.step(message("b", appendAccepted(1, 2)), electionPassedMs + 50);
        expect(node.viewAgeMs(electionPassedMs + 60)).to.be.at.most(60);
    });

    // Guards against a leader that was paused, and takes replies that waited meanwhile for a confirmation of what it holds.
    const replyCases: [name: string, repliesToLatest: boolean, arrivesAfterMs: number, expectedAgeMs: number][] = [
        ["a reply that arrives at once", true, 10, 10],
        ["a reply that was held up", true, 5000, 5000],
        ["a reply to an earlier heartbeat", false, 10, 110],
    ];
    for (const [name, repliesToLatest, arrivesAfterMs, expectedAgeMs] of replyCases) {
        it(`counts on the leader from the heartbeat that was answered: ${name}`, () => {
            const node = createNode(stored());
            elect(node, 1);
            node.step(message("b", appendAccepted(1, 2)), electionPassedMs);
            const roundAt = (now: number): number =>
                sentMessages(node.step({ kind: NodeEventKind.Tick }, now), PeerMessageKind.Append)[0]!.round;
            const earlier = roundAt(electionPassedMs + 100);
            const latest = roundAt(electionPassedMs + 200);
            const arrivesAt = electionPassedMs + 200 + arrivesAfterMs;
            node.step(message("b", appendAccepted(1, 2, repliesToLatest ? latest : earlier)), arrivesAt);
            expect(node.viewAgeMs(arrivesAt)).to.equal(expectedAgeMs);
        });
    }
});

describe("state node", () => {
    it("saves its vote before it replies, and grants no other vote in the same term", () => {
        const node = createNode(stored());
        const first = node.step(message("b", voteRequest(3, 1, 0)), 0);
        const kinds = first.map(action => action.kind);
        const saved = first.filter(action => action.kind === NodeActionKind.SaveHardState);
        expect(saved.at(-1)).to.have.nested.property("hardState.votedFor", "b");
        expect(kinds.lastIndexOf(NodeActionKind.SaveHardState)).to.be.lessThan(kinds.indexOf(NodeActionKind.Send));
        expect(sentMessages(first, PeerMessageKind.VoteReply)[0]!.granted).to.equal(true);
        const second = node.step(message("c", voteRequest(3, 9, 2)), 0);
        expect(sentMessages(second, PeerMessageKind.VoteReply)[0]!.granted).to.equal(false);
        const restarted = createNode(stored([], { term: 3, votedFor: "b" }));
        expect(sentMessages(restarted.step(message("c", voteRequest(3, 9, 2)), 0), PeerMessageKind.VoteReply)[0]!.granted).to
            .equal(
                false,
            );
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
            const actions = node.step(message("b", voteRequest(5, lastIndex, lastTerm)), 0);
            expect(sentMessages(actions, PeerMessageKind.VoteReply)[0]!.granted).to.equal(granted);
        });
    }

    it("commits an entry of an older term only together with an entry of its own term", () => {
        const node = createNode(stored([noop(2, 1)]));
        elect(node, 2);
        const appendsBeforeOwnTerm = node.step(message("b", appendAccepted(2, 2)), electionPassedMs);
        expect(sentMessages(appendsBeforeOwnTerm, PeerMessageKind.Append).every(body => body.commitIndex === 1)).to.equal(true);
        node.step(message("b", appendAccepted(2, 3)), electionPassedMs);
        const heartbeat = node.step({ kind: NodeEventKind.Tick }, electionPassedMs + 200);
        expect(sentMessages(heartbeat, PeerMessageKind.Append)[0]!.commitIndex).to.equal(3);
    });

    it("replies to a read only after a majority has confirmed its leadership", () => {
        const node = createNode(stored());
        elect(node, 1);
        node.step(message("b", appendAccepted(1, 2)), electionPassedMs);
        const read = { kind: StateRequestKind.Read as const };
        const readActions = node.step({ kind: NodeEventKind.Request, requestId: 7, request: read }, electionPassedMs);
        const { round } = sentMessages(readActions, PeerMessageKind.Append)[0]!;
        expect(sentReplies(readActions)).to.have.length(0);
        expect(sentReplies(node.step({ kind: NodeEventKind.Tick }, electionPassedMs + 20))).to.have.length(0);
        expect(sentReplies(node.step(message("b", appendAccepted(1, 2, round - 1)), electionPassedMs + 20))).to.have.length(0);
        expect(sentReplies(node.step(message("b", appendAccepted(1, 2, round)), electionPassedMs + 20))).to.have.length(1);
    });

    it("steps down when no majority replies", () => {
        const node = createNode(stored());
        elect(node, 1);
        node.step({ kind: NodeEventKind.Tick }, electionPassedMs + electionPassedMs);
        expect(node.status().role).not.to.equal(StateRole.Leader);
    });

    it("keeps acknowledged entries when an earlier message arrives late", () => {
        const node = createNode(stored());
        node.step(message("b", appendMessage(1, 1, 0, [noop(2, 1), noop(3, 1), noop(4, 1)])), 0);
        const delayedActions = node.step(message("b", appendMessage(1, 1, 0, [noop(2, 1)])), 1);
        expect(delayedActions.some(action => action.kind === NodeActionKind.Truncate)).to.equal(false);
        const snapshot = { ...createBootstrapSnapshot(hostIds, 0), index: 3, term: 1 };
        const installActions = node.step(
            message("b", { kind: PeerMessageKind.InstallSnapshot, term: 1, snapshot, round: 0 }),
            2,
        );
        const saved = installActions.find(action => action.kind === NodeActionKind.SaveSnapshot);
        expect(saved).to.have.deep.property("entries", [noop(4, 1)]);
    });

    it("commits nothing beyond the entries that the leader's message confirms", () => {
        const change = {
            changeId: "x",
            expectedVersion: noVersion,
            tables: { routes: [], pools: [] },
            author: "",
            acceptedAt: 0,
        };
        const node = createNode(stored([noop(2, 1), { index: 3, term: 1, body: { kind: EntryKind.Change, change } }]));
        node.step(message("b", appendMessage(2, 2, 1, [], 9)), 0);
        expect(node.status().committed.index).to.equal(0);
        const rejection = sentMessages(node.step(message("b", appendMessage(2, 9, 2, [])), 0), PeerMessageKind.AppendReply)[0]!;
        expect(rejection.index).to.equal(4);
        const conflictActions = node.step(message("b", appendMessage(2, 2, 1, [noop(3, 2)], 2)), 0);
        expect(conflictActions).to.deep.include({ kind: NodeActionKind.Truncate, fromIndex: 3 });
    });

    it("removes a lost disk from the voters before it adds the new one, each step only after the last is committed", () => {
        const node = createNode(stored());
        elect(node, 1);
        const joinMessage: PeerMessage = { kind: PeerMessageKind.Join, incarnation: 99 };
        const proposedKinds = (actions: NodeAction[]): EntryKind[] =>
            actions.flatMap(action => action.kind === NodeActionKind.Append ? action.entries.map(entry => entry.body.kind) : []);
        expect(proposedKinds(node.step(message("c", joinMessage), electionPassedMs))).to.deep.equal([]);
        node.step(message("b", appendAccepted(1, 2)), electionPassedMs);
        // Not sufficient: a reply of the lost disk, a reply to a round before the join request, or an incomplete log.
        node.step(message("c", appendAccepted(1, 2, 1, 1)), electionPassedMs);
        const rejected: PeerMessage = {
            kind: PeerMessageKind.AppendReply,
            term: 1,
            ok: false,
            index: 1,
            round: 1,
            incarnation: 99,
        };
        for (const reply of [rejected, appendAccepted(1, 2, 0, 98), appendAccepted(1, 2, 0, 99)]) {
            node.step(message("c", reply), electionPassedMs);
            expect(proposedKinds(node.step(message("c", joinMessage), electionPassedMs))).to.deep.equal([]);
        }
        node.step(message("c", appendAccepted(1, 2, 1, 98)), electionPassedMs);
        node.step(message("c", appendAccepted(1, 1, 1, 99)), electionPassedMs);
        expect(proposedKinds(node.step(message("c", joinMessage), electionPassedMs))).to.deep.equal([]);
        node.step(message("c", appendAccepted(1, 2, 1, 99)), electionPassedMs);
        expect(proposedKinds(node.step(message("c", joinMessage), electionPassedMs))).to.deep.equal([EntryKind.RemoveVoter]);
        node.step(message("c", appendAccepted(1, 3, 1, 99)), electionPassedMs);
        expect(proposedKinds(node.step(message("c", joinMessage), electionPassedMs))).to.deep.equal([]);
        node.step(message("b", appendAccepted(1, 3)), electionPassedMs);
        expect(proposedKinds(node.step(message("c", joinMessage), electionPassedMs))).to.deep.equal([EntryKind.AddVoter]);
    });

    it("does not count an acknowledgement of a disk that is not a voter", () => {
        const node = createNode(stored());
        elect(node, 1);
        node.step(message("b", appendAccepted(1, 2, 0, 5)), electionPassedMs);
        const heartbeat = node.step({ kind: NodeEventKind.Tick }, electionPassedMs + 200);
        expect(sentMessages(heartbeat, PeerMessageKind.Append)[0]!.commitIndex).to.equal(1);
    });

    it("treats an empty disk as lost when another host has already bootstrapped", () => {
        const founding = { incarnation: 1, founding: true, term: 0 };
        const node = createNode({ hardState: founding, entries: [] });
        const bootstrapQuery = sentMessages(node.step({ kind: NodeEventKind.Tick }, 0), PeerMessageKind.BootstrapQuery)[0]!;
        node.step(message("b", { kind: PeerMessageKind.BootstrapReply, nonce: bootstrapQuery.nonce, fresh: true }), 0);
        node.step(message("c", { kind: PeerMessageKind.BootstrapReply, nonce: bootstrapQuery.nonce + 1, fresh: true }), 0);
        expect(node.status().role).to.equal(StateRole.Recovering);
        node.step(message("c", { kind: PeerMessageKind.BootstrapReply, nonce: bootstrapQuery.nonce, fresh: false }), 0);
        expect(sentMessages(node.step({ kind: NodeEventKind.Tick }, electionPassedMs), PeerMessageKind.Join)).to.have.length(2);
    });

    it("bootstraps with the configured epoch once every other host waits for the bootstrap", () => {
        const hardState = { incarnation: 1, founding: true, term: 0 };
        const node = createStateNode({
            hostId: "a",
            hostIds,
            stored: { hardState, entries: [] },
            random: createRandom(1),
            wallClock: () => 0,
            firstEpoch: 3,
        });
        const { nonce } = sentMessages(node.step({ kind: NodeEventKind.Tick }, 0), PeerMessageKind.BootstrapQuery)[0]!;
        node.step(message("b", { kind: PeerMessageKind.BootstrapReply, nonce, fresh: true }), 0);
        const lastActions = node.step(message("c", { kind: PeerMessageKind.BootstrapReply, nonce, fresh: true }), 0);
        expect(lastActions.map(action => action.kind)).to.deep.equal([NodeActionKind.SaveSnapshot, NodeActionKind.SaveHardState]);
        expect(node.status().committed).to.deep.equal({ epoch: 3, index: 0 });
    });

    it("replies to a watch as unavailable until it has caught up after a start", () => {
        const node = createNode(stored([noop(2, 1)]));
        const watch = { kind: StateRequestKind.Watch as const, known: noVersion, waitMs: 0, hostId: "entry" };
        node.step({ kind: NodeEventKind.Request, requestId: 1, request: watch }, 0);
        const replies = sentReplies(node.step({ kind: NodeEventKind.Tick }, 1));
        expect(replies[0]).to.have.nested.property("reply.kind", StateReplyKind.Unavailable);
    });

    // Guards against an entry host that keeps old tables because an isolated state host goes on answering its watches.
    it("replies to open watches as unavailable once no majority has confirmed its view for 3 s", () => {
        const node = createNode(stored());
        node.step(message("b", appendMessage(1, 1, 0, [], 1)), 0);
        const watch = { kind: StateRequestKind.Watch as const, known: noVersion, waitMs: 60_000, hostId: "entry" };
        node.step({ kind: NodeEventKind.Request, requestId: 1, request: watch }, 100);
        const repliedAt: number[] = [];
        for (let now = 100; now < 10_000 && repliedAt.length === 0; now += 100) {
            const actions = node.step({ kind: NodeEventKind.Tick }, now);
            const replies = actions.filter(action => action.kind === NodeActionKind.Reply);
            repliedAt.push(...replies.filter(({ reply }) => reply.kind === StateReplyKind.Unavailable).map(() => now));
        }
        expect(repliedAt[0]).to.be.within(2900, 3200);
    });
});
