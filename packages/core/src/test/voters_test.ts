import { expect } from "chai";
import { StateReplyKind } from "../index.js";
import { createTestFleet, publish, read, tickMs } from "./state-fleet.js";
import type { TestFleet } from "./state-fleet.js";

describe("state host voter changes", () => {
    for (const seed of [1, 2, 3]) {
        const bootstrapFleet = (): TestFleet => {
            const fleet = createTestFleet(["a", "b", "c"], seed);
            ["a", "b", "c", "d", "e"].forEach((hostId, index) => fleet.add(hostId, index < 3));
            fleet.run(5000);
            return fleet;
        };

        it(`makes all hosts that start together voters, seed ${seed}`, () => {
            const fleet = bootstrapFleet();
            expect(fleet.node("e").voters().sort()).to.deep.equal(["a", "b", "c", "d", "e"]);
            expect(fleet.request("e", publish(3))?.kind).to.equal(StateReplyKind.Recorded);
            for (const hostId of ["a", "b", "c", "d", "e"]) {
                expect(fleet.node(hostId).fleet()?.published()?.number).to.equal(3);
                expect(fleet.node(hostId).viewAgeMs(5000 + 4000)).to.be.below(1000);
            }
        });

        it(`replaces a permanently lost host by a host at another address, seed ${seed}`, () => {
            const fleet = bootstrapFleet();
            fleet.request("b", publish(5));
            fleet.stop("a");
            // The new host knows only the original seeds, the first of which has stopped.
            fleet.add("f", false);
            fleet.run(12_000);
            expect(fleet.node("f").voters().sort()).to.deep.equal(["b", "c", "d", "e", "f"]);
            expect(fleet.node("f").fleet()?.published()?.number).to.equal(5);
            fleet.stop("b");
            fleet.stop("c");
            // A request forwarded to a leader that has just stopped has no known outcome, so wait for the next leader.
            fleet.run(4000);
            expect(fleet.request("f", publish(6))?.kind).to.equal(StateReplyKind.Recorded);
        });

        it(`makes a host that was removed while absent a voter again, seed ${seed}`, () => {
            const fleet = bootstrapFleet();
            fleet.stop("d");
            fleet.run(12_000);
            expect(fleet.node("a").voters().sort()).to.deep.equal(["a", "b", "c", "e"]);
            fleet.restart("d", false);
            fleet.run(5000);
            // What the removed host itself knows may be from before its removal.
            expect(fleet.node("a").voters().sort()).to.deep.equal(["a", "b", "c", "d", "e"]);
            expect(fleet.node("d").voters().sort()).to.deep.equal(["a", "b", "c", "d", "e"]);
            expect(fleet.request("d", publish(2))?.kind).to.equal(StateReplyKind.Recorded);
        });

        it(`removes no voter below the number that tolerates a lost disk, seed ${seed}`, () => {
            const fleet = createTestFleet(["a", "b", "c"], seed);
            ["a", "b", "c"].forEach(hostId => fleet.add(hostId, true));
            fleet.run(3000);
            fleet.stop("c");
            fleet.run(30_000);
            expect(fleet.node("a").voters().sort()).to.deep.equal(["a", "b", "c"]);
        });

        it(`keeps an acknowledged publication when the leader loses its disk and all hosts are killed, seed ${seed}`, () => {
            const fleet = bootstrapFleet();
            expect(fleet.request("a", publish(9))?.kind).to.equal(StateReplyKind.Recorded);
            const leader = fleet.leader()!;
            ["a", "b", "c", "d", "e"].forEach(hostId => fleet.stop(hostId));
            ["a", "b", "c", "d", "e"].forEach(hostId => fleet.restart(hostId, hostId === leader));
            fleet.run(6000);
            const reply = fleet.request("e", read);
            expect(reply?.kind === StateReplyKind.Published && reply.published?.number).to.equal(9);
        });

        it(`does not replace an absent majority, seed ${seed}`, () => {
            const fleet = bootstrapFleet();
            ["a", "b", "c"].forEach(hostId => fleet.stop(hostId));
            fleet.add("f", false);
            fleet.add("g", false);
            fleet.run(20_000);
            expect(fleet.request("d", publish(4))?.kind).to.equal(StateReplyKind.Unavailable);
            expect(fleet.node("d").viewAgeMs(100_000)).to.equal(Infinity);
        });
    }
});

// Guards against a fleet that can't elect a leader after a loss that it tolerates, because absent voters fill the quorum.
describe("state hosts that are replaced one after the other", () => {
    const foundingHosts = ["a", "b", "c", "d", "e"];
    /** The successor of a lost host has caught up after this time, so the next host may be lost. */
    const replacementIntervalMs = 5000;
    type HostSelector = (fleet: TestFleet) => string;
    const named = (hostIds: readonly string[]): HostSelector[] => hostIds.map(hostId => () => hostId);
    // A new leader does not know for how long the voters have been absent.
    const leader: HostSelector = fleet => fleet.leader()!;
    const cases: [name: string, lostHosts: HostSelector[]][] = [
        ["two", named(["a", "b"])],
        ["three", named(["a", "b", "c"])],
        ["all founding hosts", named(foundingHosts)],
        ["five times the leader", [leader, leader, leader, leader, leader]],
    ];

    const replaceHosts = (lostHosts: readonly HostSelector[], seed: number): { fleet: TestFleet; running: string[]; } => {
        const fleet = createTestFleet(["a", "b", "c"], seed);
        foundingHosts.forEach((hostId, index) => fleet.add(hostId, index < 3));
        fleet.run(5000);
        const running = new Set(foundingHosts);
        for (const selectHost of lostHosts) {
            const hostId = selectHost(fleet);
            fleet.stop(hostId);
            running.delete(hostId);
            const successor = `${hostId}-successor`;
            fleet.add(successor, false);
            running.add(successor);
            // A new host reads the seeds that are in force when it starts.
            fleet.node(successor).addContacts([...running]);
            fleet.run(replacementIntervalMs);
        }
        return { fleet, running: [...running].sort() };
    };

    for (const [name, lostHosts] of cases) {
        for (const seed of [1, 2, 3]) {
            it(`removes the voters that were lost, ${name}, seed ${seed}`, () => {
                const { fleet, running } = replaceHosts(lostHosts, seed);
                fleet.run(20_000);
                expect(fleet.node(running[0]!).voters().sort()).to.deep.equal(running);
            });

            it(`elects a leader after one more disk is lost and all hosts are killed, ${name}, seed ${seed}`, () => {
                const { fleet, running } = replaceHosts(lostHosts, seed);
                expect(fleet.request(running[0]!, publish(7))?.kind).to.equal(StateReplyKind.Recorded);
                running.forEach(hostId => fleet.stop(hostId));
                running.forEach(hostId => fleet.restart(hostId, hostId === running.at(-1)));
                fleet.run(6000);
                const reply = fleet.request(running[0]!, read);
                expect(reply?.kind === StateReplyKind.Published && reply.published?.number).to.equal(7);
            });
        }
    }
});

describe("state hosts after a power failure", () => {
    const hostIds = ["a", "b", "c", "d", "e"];
    const electionTimeoutMs = 800;
    const cases: [name: string, startsAtMs: number[]][] = [
        ["all at once", [0, 0, 0, 0, 0]],
        ["two of them early", [0, 50, 350, 400, 450]],
        ["one after another", [0, 150, 300, 450, 600]],
    ];
    for (const [name, startsAtMs] of cases) {
        it(`elect a leader within one election timeout after a majority has started, when they start ${name}`, () => {
            const seedsWithoutLeader: string[] = [];
            for (let seed = 1; seed <= 200; seed += 1) {
                const fleet = createTestFleet(hostIds, seed);
                hostIds.forEach(hostId => fleet.add(hostId, true));
                fleet.run(4000);
                hostIds.forEach(hostId => fleet.stop(hostId));
                fleet.run(1000);
                let elapsedMs = 0;
                while (elapsedMs - startsAtMs[2]! < electionTimeoutMs && fleet.leader() === undefined) {
                    hostIds.filter((_, index) => startsAtMs[index] === elapsedMs).forEach(hostId => fleet.restart(hostId, false));
                    fleet.run(tickMs);
                    elapsedMs += tickMs;
                }
                if (fleet.leader() === undefined) {
                    seedsWithoutLeader.push(`seed ${seed}`);
                }
            }
            expect(seedsWithoutLeader).to.deep.equal([]);
        });
    }
});
