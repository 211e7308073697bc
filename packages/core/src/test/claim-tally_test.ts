import { expect } from "chai";
import { ClaimMessageKind, VerdictKind } from "../lib/claims/claim-message.js";
import type { ClaimReply, Incarnations, Verdict } from "../lib/claims/claim-message.js";
import { addReply, TallyKind, tallyReplies } from "../lib/claims/claim-tally.js";
import type { Replies } from "../lib/claims/claim-tally.js";

const fingerprint = "f";
const voted: Verdict = { kind: VerdictKind.Voted };
const abstained: Verdict = { kind: VerdictKind.Abstained };
const heldBy = (other: string, certain = true): Verdict => ({
    kind: VerdictKind.Held,
    holders: [{ attemptId: "1", fingerprint: other }],
    certain,
});
const reply = (hostId: string, verdict: Verdict, incarnation = 1, known: Incarnations = {}): [string, ClaimReply] => [
    hostId,
    { kind: ClaimMessageKind.ClaimReply, attemptId: "2", incarnation, known, verdict },
];

const singleSet = [["a", "b", "c"]];
const twoSets = [["a", "b", "c"], ["a", "d", "e"]];

const cases: {
    name: string;
    replicaSets: string[][];
    replies: [string, ClaimReply][];
    isTimedOut?: boolean;
    kind: TallyKind;
}[] = [
    { name: "a majority", replicaSets: singleSet, replies: [reply("a", voted), reply("b", voted)], kind: TallyKind.Granted },
    { name: "one vote", replicaSets: singleSet, replies: [reply("a", voted)], kind: TallyKind.Open },
    {
        name: "one vote at the timeout",
        replicaSets: singleSet,
        replies: [reply("a", voted)],
        isTimedOut: true,
        kind: TallyKind.NoMajority,
    },
    {
        name: "a majority of one list alone",
        replicaSets: twoSets,
        replies: [reply("a", voted), reply("b", voted)],
        kind: TallyKind.Open,
    },
    {
        name: "a majority of each list",
        replicaSets: twoSets,
        replies: [reply("a", voted), reply("b", voted), reply("e", voted)],
        kind: TallyKind.Granted,
    },
    {
        name: "a vote of a process that has restarted since",
        replicaSets: singleSet,
        replies: [reply("a", voted, 1), reply("b", voted, 1, { a: 2 })],
        kind: TallyKind.Open,
    },
    {
        name: "the same, with the replies the other way round",
        replicaSets: singleSet,
        replies: [reply("b", voted, 1, { a: 2 }), reply("a", voted, 1)],
        kind: TallyKind.Open,
    },
    {
        name: "the vote of the new process",
        replicaSets: singleSet,
        replies: [reply("a", voted, 1), reply("b", voted, 1, { a: 2 }), reply("a", voted, 2)],
        kind: TallyKind.Granted,
    },
    {
        name: "a vote that a late reply of the same process can't revoke",
        replicaSets: singleSet,
        replies: [reply("a", voted), reply("a", abstained), reply("b", voted)],
        kind: TallyKind.Granted,
    },
    {
        name: "two abstentions",
        replicaSets: singleSet,
        replies: [reply("a", abstained), reply("b", abstained)],
        kind: TallyKind.NoMajority,
    },
    {
        name: "a hold for the same request",
        replicaSets: singleSet,
        replies: [reply("a", heldBy("f")), reply("b", abstained)],
        kind: TallyKind.AlreadyStarted,
    },
    {
        name: "a majority that holds the key for another request",
        replicaSets: singleSet,
        replies: [reply("a", heldBy("x")), reply("b", heldBy("x"))],
        kind: TallyKind.KeyMismatch,
    },
    {
        name: "a single hold for another request proves nothing",
        replicaSets: singleSet,
        replies: [reply("a", heldBy("x")), reply("b", abstained)],
        kind: TallyKind.NoMajority,
    },
    {
        name: "a hold by a replica that may have lost other votes proves nothing",
        replicaSets: singleSet,
        replies: [reply("a", heldBy("x")), reply("b", heldBy("x", false))],
        kind: TallyKind.NoMajority,
    },
];

describe("tally of a claim", () => {
    for (const { name, replicaSets, replies, isTimedOut, kind } of cases) {
        it(`${name}: ${kind}`, () => {
            const collected: Replies = new Map();
            for (const [hostId, received] of replies) {
                addReply(collected, hostId, received);
            }
            expect(tallyReplies(replicaSets, collected, fingerprint, isTimedOut ?? false).kind).to.equal(kind);
        });
    }
});
