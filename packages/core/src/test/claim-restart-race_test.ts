import { expect } from "chai";
import { ClaimActionKind, ClaimEventKind, createClaimNode, createRandom } from "../index.js";
import type { ClaimAction, ClaimEvent, ClaimMessage, ClaimNode, ClaimRoster } from "../index.js";
import { createMembership } from "../lib/claims/roster.js";

const hostIds = ["a1", "a2", "b1", "b2"];
const roster: ClaimRoster = {
    version: 1,
    hosts: hostIds.map(hostId => ({ hostId, region: hostId.charAt(0), availabilityZone: hostId })),
};
const now = 1;
const brand = "noel";
const key = "k";
const replicas = createMembership(roster).replicasOf(JSON.stringify([brand, key]));
const [restarted, slow, quick] = replicas as [string, string, string];
/** Claims the key and is no replica of it. */
const outsider = hostIds.find(hostId => !replicas.includes(hostId))!;

const start = (hostId: string, incarnation: number): ClaimNode =>
    createClaimNode({ hostId, incarnation, random: createRandom(incarnation) });

const messageTo = (actions: ClaimAction[], hostId: string): ClaimMessage => {
    const sent = actions.find(action => action.kind === ClaimActionKind.Send && action.hostId === hostId);
    return (sent as { message: ClaimMessage; }).message;
};

const claimWanted = (requestId: string): ClaimEvent => ({
    kind: ClaimEventKind.ClaimWanted,
    requestId,
    brand,
    key,
    fingerprint: "f",
    deadlineAt: 1000,
});

/** The order in which the two votes reach the outsider. */
const orders: { name: string; lateVoteFirst: boolean; incarnation: number; }[] = [
    { name: "the forgotten vote arrives last", lateVoteFirst: false, incarnation: 9 },
    { name: "the forgotten vote arrives first", lateVoteFirst: true, incarnation: 9 },
    { name: "the clock of the replica went back over the restart", lateVoteFirst: false, incarnation: 3 },
];

describe("claim and restart at the same time", () => {
    for (const { name, lateVoteFirst, incarnation } of orders) {
        it(`grants once when ${name}`, () => {
            const nodes = new Map(hostIds.map(hostId => [hostId, start(hostId, 5)]));
            const granted: string[] = [];
            const step = (hostId: string, event: ClaimEvent): ClaimAction[] => {
                const actions = nodes.get(hostId)!.step(event, now);
                granted.push(...actions.flatMap(action => action.kind === ClaimActionKind.Granted ? [action.requestId] : []));
                return actions;
            };
            const pass = (fromHostId: string, toHostId: string, message: ClaimMessage): ClaimAction[] =>
                step(toHostId, { kind: ClaimEventKind.Message, fromHostId, message });
            for (const hostId of hostIds) {
                step(hostId, { kind: ClaimEventKind.FirstStart });
                step(hostId, { kind: ClaimEventKind.Roster, roster });
            }

            const claims = step(outsider, claimWanted("outsider"));
            const lateVote = messageTo(pass(outsider, restarted, messageTo(claims, restarted)), outsider);
            // The replica restarts and catches up before its vote has arrived, and before the others hear of the claim.
            nodes.set(restarted, start(restarted, incarnation));
            const questions = step(restarted, { kind: ClaimEventKind.Roster, roster });
            for (const source of [slow, quick]) {
                const page = messageTo(pass(restarted, source, messageTo(questions, source)), restarted);
                pass(source, restarted, page);
            }
            // The new process and the quick replica grant the key to another sending.
            const others = step(restarted, claimWanted("other"));
            pass(quick, restarted, messageTo(pass(restarted, quick, messageTo(others, quick)), restarted));
            // Only now the slow replica hears of the first claim, and votes for it.
            const vote = messageTo(pass(outsider, slow, messageTo(claims, slow)), outsider);
            const votes: [string, ClaimMessage][] = [[slow, vote], [restarted, lateVote]];
            for (const [hostId, message] of lateVoteFirst ? votes.reverse() : votes) {
                pass(hostId, outsider, message);
            }
            expect(granted).to.deep.equal(["other"]);
        });
    }
});
