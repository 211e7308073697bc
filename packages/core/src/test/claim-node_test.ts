import { expect } from "chai";
import { ClaimActionKind, ClaimEventKind, createClaimNode, createRandom, RefusalKind } from "../index.js";
import type { ClaimAction, ClaimEvent, ClaimHost, ClaimNode, ClaimRoster, Refusal } from "../index.js";

const claimHosts: ClaimHost[] = ["a1", "a2", "b1", "b2"].map(hostId => ({
    hostId,
    region: hostId.charAt(0),
    availabilityZone: hostId,
}));
const roster: ClaimRoster = { version: 1, hosts: claimHosts.slice(0, 3) };
const answer = { status: 201, headers: [["x-pew", "12"]] as [string, string][], body: new Uint8Array([1, 2, 3]) };
const deadlineAt = 10_000;

/** Creates hosts whose messages arrive immediately, except those from or to hosts in `unreachable`. */
const createFleet = (limits = {}) => {
    const nodes = new Map<string, ClaimNode>();
    const unreachable = new Set<string>();
    const outcomes: string[] = [];
    const refusals: Refusal[] = [];
    let now = 1;
    let incarnation = 0;

    const recordOutcome = (action: Exclude<ClaimAction, { kind: ClaimActionKind.Send; }>): void => {
        if (action.kind === ClaimActionKind.Refused) {
            refusals.push(action.refusal);
        }
        outcomes.push(action.kind === ClaimActionKind.Refused ? action.refusal.kind : action.kind);
    };
    const step = (hostId: string, event: ClaimEvent): void => {
        for (const action of nodes.get(hostId)?.step(event, now) ?? []) {
            if (action.kind !== ClaimActionKind.Send) {
                recordOutcome(action);
            }
            else if (!unreachable.has(action.hostId) && !unreachable.has(hostId)) {
                step(action.hostId, { kind: ClaimEventKind.Message, fromHostId: hostId, message: action.message });
            }
        }
    };
    const start = (hostId: string, isFirst: boolean, current = roster): void => {
        incarnation += 1;
        nodes.set(hostId, createClaimNode({ hostId, incarnation, random: createRandom(incarnation), limits }));
        if (isFirst) {
            step(hostId, { kind: ClaimEventKind.FirstStart });
        }
        step(hostId, { kind: ClaimEventKind.Roster, roster: current });
    };
    const advanceTime = (ms: number): void => {
        now += ms;
        for (const hostId of nodes.keys()) {
            step(hostId, { kind: ClaimEventKind.Tick });
        }
    };
    const requestClaim = (hostId: string, requestId: string, fingerprint = "f", key = "k"): void =>
        step(hostId, {
            kind: ClaimEventKind.ClaimRequested,
            requestId,
            brand: "noel",
            key,
            fingerprint,
            deadlineAt: now + deadlineAt,
        });
    const finish = (hostId: string, requestId: string): void =>
        step(hostId, { kind: ClaimEventKind.Finished, requestId, answer });
    for (const { hostId } of roster.hosts) {
        start(hostId, true);
    }
    return { step, start, advanceTime, requestClaim, finish, unreachable, outcomes, refusals, nodes };
};

type Fleet = ReturnType<typeof createFleet>;

const cases: { name: string; run: (fleet: Fleet) => void; expectedOutcomes: string[]; }[] = [
    {
        name: "a finished request is replayed by another host",
        run: fleet => {
            fleet.requestClaim("a1", "1");
            fleet.finish("a1", "1");
            fleet.requestClaim("b1", "2");
        },
        expectedOutcomes: [ClaimActionKind.Granted, ClaimActionKind.Replay],
    },
    {
        name: "a started request is not started again",
        run: fleet => {
            fleet.requestClaim("a1", "1");
            fleet.requestClaim("b1", "2");
        },
        expectedOutcomes: [ClaimActionKind.Granted, RefusalKind.AlreadyStarted],
    },
    {
        name: "a request that did not run may run again",
        run: fleet => {
            fleet.requestClaim("a1", "1");
            fleet.step("a1", { kind: ClaimEventKind.NotRun, requestId: "1" });
            fleet.requestClaim("b1", "2");
        },
        expectedOutcomes: [ClaimActionKind.Granted, ClaimActionKind.Granted],
    },
    {
        name: "a key of another request is refused while that request runs and after it has finished",
        run: fleet => {
            fleet.requestClaim("a1", "1");
            fleet.requestClaim("b1", "2", "other");
            fleet.finish("a1", "1");
            fleet.requestClaim("b1", "3", "other");
        },
        expectedOutcomes: [ClaimActionKind.Granted, RefusalKind.KeyMismatch, RefusalKind.KeyMismatch],
    },
    {
        name: "a minority does not grant",
        run: fleet => {
            fleet.unreachable.add("a2").add("b1");
            fleet.requestClaim("a1", "1");
            fleet.advanceTime(1000);
        },
        expectedOutcomes: [RefusalKind.ClaimUnavailable],
    },
    {
        name: "a restarted replica recovers its votes from the other replicas",
        run: fleet => {
            fleet.unreachable.add("b1");
            fleet.requestClaim("a1", "1");
            fleet.unreachable.clear();
            fleet.start("a2", false);
            fleet.unreachable.add("a1");
            fleet.requestClaim("b1", "2");
            fleet.advanceTime(1000);
        },
        expectedOutcomes: [ClaimActionKind.Granted, RefusalKind.AlreadyStarted],
    },
    {
        name: "a restarted replica does not vote before both others have sent their records",
        run: fleet => {
            fleet.unreachable.add("b1");
            fleet.requestClaim("a1", "1");
            fleet.unreachable.delete("b1");
            fleet.unreachable.add("a1");
            fleet.start("a2", false);
            fleet.requestClaim("b1", "2");
            fleet.advanceTime(1000);
        },
        expectedOutcomes: [ClaimActionKind.Granted, RefusalKind.ClaimUnavailable],
    },
    {
        name: "two replicas that restarted together vote again only after the horizon",
        run: fleet => {
            fleet.unreachable.add("a1").add("a2");
            fleet.start("a1", false);
            fleet.start("a2", false);
            fleet.unreachable.clear();
            fleet.advanceTime(1000);
            fleet.requestClaim("b1", "1");
            fleet.advanceTime(1000);
            fleet.advanceTime(24 * 3_600_000);
            fleet.requestClaim("b1", "2");
        },
        expectedOutcomes: [RefusalKind.ClaimUnavailable, ClaimActionKind.Granted],
    },
    {
        name: "a claim that is pending at a roster change restarts under the new roster",
        run: fleet => {
            fleet.unreachable.add("b1").add("a2");
            fleet.requestClaim("a1", "1");
            fleet.unreachable.clear();
            fleet.start("b2", true, { version: 2, hosts: claimHosts.slice(1), earlier: [roster.hosts] });
            fleet.step("a2", {
                kind: ClaimEventKind.Roster,
                roster: { version: 2, hosts: claimHosts.slice(1), earlier: [roster.hosts] },
            });
            fleet.advanceTime(200);
            fleet.advanceTime(100);
        },
        expectedOutcomes: [ClaimActionKind.Granted],
    },
];

describe("claim node", () => {
    for (const { name, run, expectedOutcomes } of cases) {
        it(name, () => {
            const fleet = createFleet();
            run(fleet);
            expect(fleet.outcomes).to.deep.equal(expectedOutcomes);
        });
    }

    it("drops answers over the size limit and still refuses a second run", () => {
        const fleet = createFleet({ maxAnswerBytes: 2 });
        fleet.requestClaim("a1", "1");
        fleet.finish("a1", "1");
        fleet.requestClaim("b1", "2");
        expect(fleet.outcomes).to.deep.equal([ClaimActionKind.Granted, RefusalKind.AlreadyStarted]);
        expect(fleet.refusals[0]?.message).to.contain("no longer kept");
    });

    it("refuses a key that is too long to keep", () => {
        const fleet = createFleet();
        fleet.requestClaim("a1", "1", "f", "k".repeat(257));
        expect(fleet.outcomes).to.deep.equal([RefusalKind.BadRequest]);
    });

    it("has no unconfirmed messages once every replica has confirmed the answer", () => {
        const fleet = createFleet();
        fleet.unreachable.add("b1");
        fleet.requestClaim("a1", "1");
        fleet.finish("a1", "1");
        expect(fleet.nodes.get("a1")!.unconfirmedMessages()).to.equal(1);
        fleet.unreachable.clear();
        fleet.advanceTime(1000);
        expect(fleet.nodes.get("a1")!.unconfirmedMessages()).to.equal(0);
    });

    it("accepts that a restarted host vouches for a replica set with a host that joined later", () => {
        const fleet = createFleet();
        const laterRoster: ClaimRoster = { version: 2, hosts: claimHosts, earlier: [roster.hosts] };
        fleet.start("a1", false);
        fleet.advanceTime(1000);
        fleet.start("b2", true, laterRoster);
        fleet.step("a1", { kind: ClaimEventKind.Roster, roster: laterRoster });
        fleet.advanceTime(1000);
        fleet.start("a2", false, laterRoster);
        fleet.advanceTime(1000);
        fleet.unreachable.add("a1");
        for (let index = 0; index < 20; index += 1) {
            fleet.requestClaim("b1", String(index), "f", `key-${index}`);
        }
        fleet.advanceTime(1000);
        expect(fleet.outcomes).to.deep.equal(new Array(20).fill(ClaimActionKind.Granted));
    });

    it("lists the hosts whose records are missing after a restart", () => {
        const fleet = createFleet();
        fleet.unreachable.add("a2");
        fleet.start("a1", false);
        expect(fleet.nodes.get("a1")!.catchUpPendingHosts(1)).to.deep.equal(["a2"]);
        fleet.unreachable.clear();
        fleet.advanceTime(1000);
        expect(fleet.nodes.get("a1")!.catchUpPendingHosts(1001)).to.deep.equal([]);
    });

    it("refuses new keys when it is full instead of evicting old ones", () => {
        const fleet = createFleet({ maxKeys: 1 });
        fleet.requestClaim("a1", "1");
        fleet.requestClaim("a1", "2", "f", "another");
        expect(fleet.outcomes).to.deep.equal([ClaimActionKind.Granted, RefusalKind.ClaimUnavailable]);
    });

    it("raises its incarnation when its clock went back across a restart", () => {
        const fleet = createFleet();
        fleet.start("a1", false);
        fleet.nodes.set("a1", createClaimNode({ hostId: "a1", incarnation: 1, random: createRandom(9) }));
        fleet.step("a1", { kind: ClaimEventKind.Roster, roster });
        fleet.unreachable.add("b1");
        fleet.requestClaim("a2", "1");
        expect(fleet.outcomes).to.deep.equal([ClaimActionKind.Granted]);
    });
});
