import { expect } from "chai";
import { ClaimMessageKind, VerdictKind } from "../lib/claims/claim-message.js";
import type { ClaimReply, Incarnations, Verdict } from "../lib/claims/claim-message.js";
import { addReply, tally, TallyKind } from "../lib/claims/tally.js";
import type { Replies } from "../lib/claims/tally.js";

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

const one = [["a", "b", "c"]];
const joint = [["a", "b", "c"], ["a", "d", "e"]];

const cases: { name: string; sets: string[][]; replies: [string, ClaimReply][]; timeIsUp?: boolean; kind: TallyKind; }[] = [
    { name: "a majority", sets: one, replies: [reply("a", voted), reply("b", voted)], kind: TallyKind.Granted },
    { name: "one vote", sets: one, replies: [reply("a", voted)], kind: TallyKind.Open },
    { name: "one vote in time", sets: one, replies: [reply("a", voted)], timeIsUp: true, kind: TallyKind.NoMajority },
    {
        name: "a majority of one list alone",
        sets: joint,
        replies: [reply("a", voted), reply("b", voted)],
        kind: TallyKind.Open,
    },
    {
        name: "a majority of each list",
        sets: joint,
        replies: [reply("a", voted), reply("b", voted), reply("e", voted)],
        kind: TallyKind.Granted,
    },
    {
        name: "a vote of a process that has restarted since",
        sets: one,
        replies: [reply("a", voted, 1), reply("b", voted, 1, { a: 2 })],
        kind: TallyKind.Open,
    },
    {
        name: "the same, with the replies the other way round",
        sets: one,
        replies: [reply("b", voted, 1, { a: 2 }), reply("a", voted, 1)],
        kind: TallyKind.Open,
    },
    {
        name: "the vote of the new process",
        sets: one,
        replies: [reply("a", voted, 1), reply("b", voted, 1, { a: 2 }), reply("a", voted, 2)],
        kind: TallyKind.Granted,
    },
    {
        name: "a vote that a late reply of the same process can't take back",
        sets: one,
        replies: [reply("a", voted), reply("a", abstained), reply("b", voted)],
        kind: TallyKind.Granted,
    },
    { name: "two that abstain", sets: one, replies: [reply("a", abstained), reply("b", abstained)], kind: TallyKind.NoMajority },
    {
        name: "a hold for the same request",
        sets: one,
        replies: [reply("a", heldBy("f")), reply("b", abstained)],
        kind: TallyKind.AlreadyStarted,
    },
    {
        name: "a majority held for another request",
        sets: one,
        replies: [reply("a", heldBy("x")), reply("b", heldBy("x"))],
        kind: TallyKind.KeyMismatch,
    },
    {
        name: "one hold for another request shows nothing",
        sets: one,
        replies: [reply("a", heldBy("x")), reply("b", abstained)],
        kind: TallyKind.NoMajority,
    },
    {
        name: "a hold at a replica that may have forgotten more shows nothing",
        sets: one,
        replies: [reply("a", heldBy("x")), reply("b", heldBy("x", false))],
        kind: TallyKind.NoMajority,
    },
];

describe("tally of a claim", () => {
    for (const { name, sets, replies, timeIsUp, kind } of cases) {
        it(`${name}: ${kind}`, () => {
            const collected: Replies = new Map();
            for (const [hostId, received] of replies) {
                addReply(collected, hostId, received);
            }
            expect(tally(sets, collected, fingerprint, timeIsUp ?? false).kind).to.equal(kind);
        });
    }
});
