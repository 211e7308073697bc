import { expect } from "chai";
import { ClaimActionKind, ClaimEventKind, createClaimNode, createRandom, RefusalKind } from "../index.js";
import type { ClaimAction, ClaimEvent, ClaimHost, ClaimNode, ClaimRoster, Refusal } from "../index.js";

const places: ClaimHost[] = ["a1", "a2", "b1", "b2"].map(hostId => ({
    hostId,
    region: hostId.charAt(0),
    availabilityZone: hostId,
}));
const roster: ClaimRoster = { version: 1, hosts: places.slice(0, 3) };
const answer = { status: 201, headers: [["x-pew", "12"]] as [string, string][], body: new Uint8Array([1, 2, 3]) };
const deadlineAt = 10_000;

/** Hosts whose messages arrive at once, but for those to or from hosts that are out of reach. */
const createFleet = (limits = {}) => {
    const nodes = new Map<string, ClaimNode>();
    const unreachable = new Set<string>();
    const heard: string[] = [];
    const refusals: Refusal[] = [];
    let now = 1;
    let incarnation = 0;

    const note = (action: Exclude<ClaimAction, { kind: ClaimActionKind.Send; }>): void => {
        if (action.kind === ClaimActionKind.Refused) {
            refusals.push(action.refusal);
        }
        heard.push(action.kind === ClaimActionKind.Refused ? action.refusal.kind : action.kind);
    };
    const step = (hostId: string, event: ClaimEvent): void => {
        for (const action of nodes.get(hostId)?.step(event, now) ?? []) {
            if (action.kind !== ClaimActionKind.Send) {
                note(action);
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
    const pass = (ms: number): void => {
        now += ms;
        for (const hostId of nodes.keys()) {
            step(hostId, { kind: ClaimEventKind.Tick });
        }
    };
    const want = (hostId: string, requestId: string, fingerprint = "f", key = "k"): void =>
        step(hostId, {
            kind: ClaimEventKind.ClaimWanted,
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
    return { step, start, pass, want, finish, unreachable, heard, refusals, nodes };
};

type Fleet = ReturnType<typeof createFleet>;

const cases: { name: string; run: (fleet: Fleet) => void; heard: string[]; }[] = [
    {
        name: "a finished request is replayed by another host",
        run: fleet => {
            fleet.want("a1", "1");
            fleet.finish("a1", "1");
            fleet.want("b1", "2");
        },
        heard: [ClaimActionKind.Granted, ClaimActionKind.Replay],
    },
    {
        name: "a started request is not started again",
        run: fleet => {
            fleet.want("a1", "1");
            fleet.want("b1", "2");
        },
        heard: [ClaimActionKind.Granted, RefusalKind.AlreadyStarted],
    },
    {
        name: "a request that was not run may run again",
        run: fleet => {
            fleet.want("a1", "1");
            fleet.step("a1", { kind: ClaimEventKind.NotRun, requestId: "1" });
            fleet.want("b1", "2");
        },
        heard: [ClaimActionKind.Granted, ClaimActionKind.Granted],
    },
    {
        name: "a key with another request is refused while started and when finished",
        run: fleet => {
            fleet.want("a1", "1");
            fleet.want("b1", "2", "other");
            fleet.finish("a1", "1");
            fleet.want("b1", "3", "other");
        },
        heard: [ClaimActionKind.Granted, RefusalKind.KeyMismatch, RefusalKind.KeyMismatch],
    },
    {
        name: "a minority does not grant",
        run: fleet => {
            fleet.unreachable.add("a2").add("b1");
            fleet.want("a1", "1");
            fleet.pass(1000);
        },
        heard: [RefusalKind.ClaimUnavailable],
    },
    {
        name: "a restarted replica knows again what it voted for",
        run: fleet => {
            fleet.unreachable.add("b1");
            fleet.want("a1", "1");
            fleet.unreachable.clear();
            fleet.start("a2", false);
            fleet.unreachable.add("a1");
            fleet.want("b1", "2");
            fleet.pass(1000);
        },
        heard: [ClaimActionKind.Granted, RefusalKind.AlreadyStarted],
    },
    {
        name: "a restarted replica gives no vote before it has heard from both others",
        run: fleet => {
            fleet.unreachable.add("b1");
            fleet.want("a1", "1");
            fleet.unreachable.delete("b1");
            fleet.unreachable.add("a1");
            fleet.start("a2", false);
            fleet.want("b1", "2");
            fleet.pass(1000);
        },
        heard: [ClaimActionKind.Granted, RefusalKind.ClaimUnavailable],
    },
    {
        name: "two replicas that restarted together vote again only after the horizon",
        run: fleet => {
            fleet.unreachable.add("a1").add("a2");
            fleet.start("a1", false);
            fleet.start("a2", false);
            fleet.unreachable.clear();
            fleet.pass(1000);
            fleet.want("b1", "1");
            fleet.pass(1000);
            fleet.pass(24 * 3_600_000);
            fleet.want("b1", "2");
        },
        heard: [RefusalKind.ClaimUnavailable, ClaimActionKind.Granted],
    },
    {
        name: "a claim that a roster change overtakes starts again under the new roster",
        run: fleet => {
            fleet.unreachable.add("b1").add("a2");
            fleet.want("a1", "1");
            fleet.unreachable.clear();
            fleet.start("b2", true, { version: 2, hosts: places.slice(1), earlier: [roster.hosts] });
            fleet.step("a2", {
                kind: ClaimEventKind.Roster,
                roster: { version: 2, hosts: places.slice(1), earlier: [roster.hosts] },
            });
            fleet.pass(200);
            fleet.pass(100);
        },
        heard: [ClaimActionKind.Granted],
    },
];

describe("claim node", () => {
    for (const { name, run, heard } of cases) {
        it(name, () => {
            const fleet = createFleet();
            run(fleet);
            expect(fleet.heard).to.deep.equal(heard);
        });
    }

    it("drops answers beyond the bound and still refuses a second run", () => {
        const fleet = createFleet({ maxAnswerBytes: 2 });
        fleet.want("a1", "1");
        fleet.finish("a1", "1");
        fleet.want("b1", "2");
        expect(fleet.heard).to.deep.equal([ClaimActionKind.Granted, RefusalKind.AlreadyStarted]);
        expect(fleet.refusals[0]?.message).to.contain("no longer kept");
    });

    it("refuses a key that is too long to keep", () => {
        const fleet = createFleet();
        fleet.want("a1", "1", "f", "k".repeat(257));
        expect(fleet.heard).to.deep.equal([RefusalKind.BadRequest]);
    });

    it("is settled once every replica has confirmed the answer", () => {
        const fleet = createFleet();
        fleet.unreachable.add("b1");
        fleet.want("a1", "1");
        fleet.finish("a1", "1");
        expect(fleet.nodes.get("a1")!.unsettled()).to.equal(1);
        fleet.unreachable.clear();
        fleet.pass(1000);
        expect(fleet.nodes.get("a1")!.unsettled()).to.equal(0);
    });

    it("names the hosts that it waits for after a restart", () => {
        const fleet = createFleet();
        fleet.unreachable.add("a2");
        fleet.start("a1", false);
        expect(fleet.nodes.get("a1")!.missing(1)).to.deep.equal(["a2"]);
        fleet.unreachable.clear();
        fleet.pass(1000);
        expect(fleet.nodes.get("a1")!.missing(1001)).to.deep.equal([]);
    });

    it("refuses rather than forgets when it is full", () => {
        const fleet = createFleet({ maxKeys: 1 });
        fleet.want("a1", "1");
        fleet.want("a1", "2", "f", "another");
        expect(fleet.heard).to.deep.equal([ClaimActionKind.Granted, RefusalKind.ClaimUnavailable]);
    });

    it("takes a higher number when its clock went back over a restart", () => {
        const fleet = createFleet();
        fleet.start("a1", false);
        fleet.nodes.set("a1", createClaimNode({ hostId: "a1", incarnation: 1, random: createRandom(9) }));
        fleet.step("a1", { kind: ClaimEventKind.Roster, roster });
        fleet.unreachable.add("b1");
        fleet.want("a2", "1");
        expect(fleet.heard).to.deep.equal([ClaimActionKind.Granted]);
    });
});
