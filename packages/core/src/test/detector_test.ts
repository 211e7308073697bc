import { expect } from "chai";
import { AttemptClass, createDetector, DetectionMode, DetectorActionKind, DetectorEventKind } from "../index.js";
import type { Detector, DetectorAction } from "../index.js";

const usualMs = 40;
const memberCount = 4;
const requestEveryMs = 10;

interface Case {
    title: string;
    /** How the sick member, or all of them, answer from the fault on. */
    outcome?: AttemptClass;
    durationMs?: number;
    everyNth?: number;
    whole?: boolean;
    /** Found within this time in each mode; `undefined` says never. */
    foundMs?: Record<DetectionMode, number>;
}

const hard = { [DetectionMode.Prompt]: 300, [DetectionMode.Careful]: 2_000 };
const soft = { [DetectionMode.Prompt]: 1_500, [DetectionMode.Careful]: 5_000 };

const cases: Case[] = [
    { title: "a well pool" },
    { title: "a member that hangs", durationMs: 60_000, foundMs: hard },
    { title: "a member with server errors", outcome: AttemptClass.ServerError, foundMs: hard },
    { title: "a member with cut answers", outcome: AttemptClass.Cut, foundMs: hard },
    { title: "a member with corrupt answers", outcome: AttemptClass.Corrupt, foundMs: hard },
    { title: "a member that refuses connections", outcome: AttemptClass.NotSent, durationMs: 1, foundMs: hard },
    { title: "a member with errors on every third request", outcome: AttemptClass.ServerError, everyNth: 3, foundMs: soft },
    { title: "a member that is ten times slower", durationMs: 400, foundMs: soft },
    { title: "a member that is three times slower", durationMs: 120, foundMs: soft },
    { title: "a member that sheds", outcome: AttemptClass.Shed, durationMs: 1 },
    { title: "cancelled attempts", outcome: AttemptClass.Cancelled },
    { title: "a pool that is ten times slower", durationMs: 400, whole: true },
    { title: "a pool that hangs", durationMs: 60_000, whole: true },
    { title: "a pool with server errors", outcome: AttemptClass.ServerError, whole: true },
    { title: "a member that is a little slower by nature", durationMs: 55 },
];

const warmUpMs = 4_000;
const runMs = 10_000;

/** Runs a pool whose requests go round in turn; returns when `server-0`, or any member, was first suspected. */
const run = (mode: DetectionMode, item: Case): number | undefined => {
    const detector = createDetector({ mode });
    const ends: { at: number; attemptId: string; outcome: AttemptClass; }[] = [];
    for (let index = 0; index < memberCount; index += 1) {
        detector.step({ kind: DetectorEventKind.Joined, serverId: `server-${index}`, incarnation: 1 }, 0);
    }
    for (let now = 0; now < runMs; now += requestEveryMs) {
        const turn = now / requestEveryMs;
        const serverId = `server-${turn % memberCount}`;
        const chosen = item.whole === true || serverId === "server-0";
        const struck = chosen && now >= warmUpMs && Math.floor(turn / memberCount) % (item.everyNth ?? 1) === 0;
        const usual = usualMs * (0.8 + (turn * 7 % 11) / 20);
        const attemptId = `attempt-${turn}`;
        detector.step({ kind: DetectorEventKind.Started, attemptId, serverId, requestKind: "seat-map" }, now);
        const outcome = struck ? item.outcome ?? AttemptClass.Success : AttemptClass.Success;
        ends.push({ at: now + (struck ? item.durationMs ?? usual : usual), attemptId, outcome });
        for (const end of ends.filter(each => each.at <= now)) {
            detector.step({ kind: DetectorEventKind.Finished, attemptId: end.attemptId, outcome: end.outcome }, now);
            ends.splice(ends.indexOf(end), 1);
        }
        detector.step({ kind: DetectorEventKind.Tick }, now);
        if (detector.suspicions().length > 0) {
            expect(detector.suspicions().map(each => each.serverId)).to.deep.equal(["server-0"]);
            return now - warmUpMs;
        }
    }
    return undefined;
};

describe("detector", () => {
    for (const mode of Object.values(DetectionMode)) {
        for (const item of cases) {
            it(`${mode}: ${item.foundMs === undefined ? "leaves" : "finds"} ${item.title}`, () => {
                const foundMs = run(mode, item);
                if (item.foundMs === undefined) {
                    expect(foundMs).to.equal(undefined);
                }
                else {
                    expect(foundMs).to.be.within(0, item.foundMs[mode]);
                }
            });
        }
    }
});

const failAll = (detector: Detector, serverId: string, from: number): DetectorAction[] => {
    const actions: DetectorAction[] = [];
    for (let now = from; now < from + 2_000; now += 10) {
        for (const id of ["server-0", "server-1", "server-2"]) {
            const outcome = id === serverId ? AttemptClass.ServerError : AttemptClass.Success;
            const attemptId = `${id}-${now}`;
            detector.step({ kind: DetectorEventKind.Started, attemptId, serverId: id, requestKind: "seat-map" }, now);
            actions.push(...detector.step({ kind: DetectorEventKind.Finished, attemptId, outcome }, now + 9));
        }
    }
    return actions;
};

describe("detector: suspicions of several hosts", () => {
    const reports = [
        { title: "one host alone", hosts: ["a"], suspected: false },
        { title: "two hosts", hosts: ["a", "b"], suspected: true },
        { title: "one host twice", hosts: ["a", "a"], suspected: false },
    ];
    for (const { title, hosts, suspected } of reports) {
        it(`${title} ${suspected ? "suspects" : "does not suspect"} for the fleet`, () => {
            const detector = createDetector({ mode: DetectionMode.Careful });
            detector.step({ kind: DetectorEventKind.Joined, serverId: "server-0", incarnation: 1 }, 0);
            for (const host of hosts) {
                detector.step({ kind: DetectorEventKind.RemoteEvidence, host, serverId: "server-0", evidence: 1 }, 1);
            }
            expect(detector.suspicions().some(each => each.confirmedByFleet === true)).to.equal(suspected);
            expect(detector.weight("server-0")).to.be.below(1);
        });
    }

    it("keeps a bad link to the host that has it", () => {
        const detector = createDetector({ mode: DetectionMode.Prompt });
        const actions = failAll(detector, "server-0", 0);
        expect(detector.suspicions()).to.deep.equal([{ serverId: "server-0", evidence: 2, confirmedByFleet: false }]);
        expect(actions.some(action => action.kind === DetectorActionKind.Report)).to.equal(true);
    });
});

describe("detector: re-admission", () => {
    const probe = (detector: Detector, at: number, outcome = AttemptClass.Success): DetectorAction[] => {
        const due = detector.step({ kind: DetectorEventKind.Tick }, at).filter(each => each.kind === DetectorActionKind.Probe);
        return due.flatMap(({ serverId }) =>
            detector.step({ kind: DetectorEventKind.ProbeFinished, serverId, outcome, durationMs: 25 }, at + 25)
        );
    };

    const untilWell = (detector: Detector, from: number): number => {
        let now = from;
        while (detector.suspicions().length > 0) {
            now += 50;
            probe(detector, now);
        }
        return now;
    };

    it("re-admits after a few good probes, with few requests at first", () => {
        const detector = createDetector({ mode: DetectionMode.Prompt });
        failAll(detector, "server-0", 0);
        untilWell(detector, 2_000);
        expect(detector.weight("server-0")).to.be.below(0.5);
    });

    it("takes longer after each ejection, also across restarts", () => {
        const detector = createDetector({ mode: DetectionMode.Prompt });
        const waits: number[] = [];
        let now = 0;
        for (let incarnation = 1; incarnation <= 3; incarnation += 1) {
            detector.step({ kind: DetectorEventKind.Joined, serverId: "server-0", incarnation }, now);
            expect(detector.suspicions()).to.deep.equal([]);
            failAll(detector, "server-0", now);
            const well = untilWell(detector, now + 2_000);
            waits.push(well - now);
            now = well;
        }
        expect(waits[1]).to.be.above(waits[0]!);
        expect(waits[2]).to.be.above(waits[1]!);
    });

    it("keeps a suspicion across an expired lease of the same incarnation", () => {
        const detector = createDetector({ mode: DetectionMode.Prompt });
        detector.step({ kind: DetectorEventKind.Joined, serverId: "server-0", incarnation: 1 }, 0);
        failAll(detector, "server-0", 0);
        detector.step({ kind: DetectorEventKind.Left, serverId: "server-0" }, 2_000);
        expect(detector.suspicions()).to.deep.equal([]);
        detector.step({ kind: DetectorEventKind.Joined, serverId: "server-0", incarnation: 1 }, 2_100);
        expect(detector.suspicions().length).to.equal(1);
    });
});
