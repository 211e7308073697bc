import { expect } from "chai";
import { ClaimActionKind, ClaimEventKind, createClaimNode, createRandom } from "../index.js";
import type { ClaimAction, ClaimEvent, ClaimMessage, ClaimNode, ClaimRoster } from "../index.js";
import { createReplicaPlacement } from "../lib/claims/roster.js";

const hostIds = ["a1", "a2", "b1", "b2"];
const roster: ClaimRoster = {
    version: 1,
    hosts: hostIds.map(hostId => ({ hostId, region: hostId.charAt(0), availabilityZone: hostId })),
};
const now = 1;
const brand = "noel";
const key = "k";
const replicas = createReplicaPlacement(roster).replicasOf(JSON.stringify([brand, key]));
const [restartedReplica, slowReplica, fastReplica] = replicas as [string, string, string];
/** A host that claims the key and is not a replica of it. */
const nonReplica = hostIds.find(hostId => !replicas.includes(hostId))!;

const start = (hostId: string, incarnation: number): ClaimNode =>
    createClaimNode({ hostId, incarnation, random: createRandom(incarnation) });

const messageTo = (actions: ClaimAction[], hostId: string): ClaimMessage => {
    const sent = actions.find(action => action.kind === ClaimActionKind.Send && action.hostId === hostId);
    return (sent as { message: ClaimMessage; }).message;
};

const claimRequested = (requestId: string): ClaimEvent => ({
    kind: ClaimEventKind.ClaimRequested,
    requestId,
    brand,
    key,
    fingerprint: "f",
    deadlineAt: 1000,
});

/** The order in which the two votes reach the non-replica, and the incarnation of the restarted replica. */
const cases: { name: string; lostVoteFirst: boolean; incarnation: number; }[] = [
    { name: "the lost vote arrives last", lostVoteFirst: false, incarnation: 9 },
    { name: "the lost vote arrives first", lostVoteFirst: true, incarnation: 9 },
    { name: "the clock of the replica went back across the restart", lostVoteFirst: false, incarnation: 3 },
];

// A replica votes, restarts and loses the vote, while the vote is still on its way to the host that claims the key. If the vote
// counted, two requests with the same key could both be granted.
describe("claim concurrent with a replica restart", () => {
    for (const { name, lostVoteFirst, incarnation } of cases) {
        it(`grants once when ${name}`, () => {
            const nodes = new Map(hostIds.map(hostId => [hostId, start(hostId, 5)]));
            const granted: string[] = [];
            const step = (hostId: string, event: ClaimEvent): ClaimAction[] => {
                const actions = nodes.get(hostId)!.step(event, now);
                granted.push(...actions.flatMap(action => action.kind === ClaimActionKind.Granted ? [action.requestId] : []));
                return actions;
            };
            const deliver = (fromHostId: string, toHostId: string, message: ClaimMessage): ClaimAction[] =>
                step(toHostId, { kind: ClaimEventKind.Message, fromHostId, message });
            for (const hostId of hostIds) {
                step(hostId, { kind: ClaimEventKind.FirstStart });
                step(hostId, { kind: ClaimEventKind.Roster, roster });
            }

            const claims = step(nonReplica, claimRequested("first"));
            const lostVote = messageTo(deliver(nonReplica, restartedReplica, messageTo(claims, restartedReplica)), nonReplica);
            // The replica restarts and catches up before its vote arrives and before the other replicas receive the claim.
            nodes.set(restartedReplica, start(restartedReplica, incarnation));
            const catchUpRequests = step(restartedReplica, { kind: ClaimEventKind.Roster, roster });
            for (const source of [slowReplica, fastReplica]) {
                const page = messageTo(deliver(restartedReplica, source, messageTo(catchUpRequests, source)), restartedReplica);
                deliver(source, restartedReplica, page);
            }
            // The new process and the fast replica vote for another request with the same key.
            const otherClaims = step(restartedReplica, claimRequested("other"));
            deliver(
                fastReplica,
                restartedReplica,
                messageTo(deliver(restartedReplica, fastReplica, messageTo(otherClaims, fastReplica)), restartedReplica),
            );
            // Only now does the slow replica receive the first claim; it votes for it.
            const slowVote = messageTo(deliver(nonReplica, slowReplica, messageTo(claims, slowReplica)), nonReplica);
            const votes: [string, ClaimMessage][] = [[slowReplica, slowVote], [restartedReplica, lostVote]];
            for (const [hostId, message] of lostVoteFirst ? votes.reverse() : votes) {
                deliver(hostId, nonReplica, message);
            }
            expect(granted).to.deep.equal(["other"]);
        });
    }
});
