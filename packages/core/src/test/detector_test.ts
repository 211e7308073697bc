import { expect } from "chai";
import { AttemptClass, createDetector, DetectionMode, DetectorActionKind, DetectorEventKind } from "../index.js";
import type { Detector, DetectorAction } from "../index.js";

const typicalMs = 40;
const memberCount = 4;
const requestEveryMs = 10;

interface Case {
    title: string;
    /** The outcome and duration of the faulty requests, on `server-0` or on all members, after the warm-up. */
    outcome?: AttemptClass;
    durationMs?: number;
    faultyEveryNth?: number;
    affectsAll?: boolean;
    /** The detection time limit of each mode; `undefined` when nothing may be detected. */
    maxDetectionMs?: Record<DetectionMode, number>;
}

const clearFaultMaxMs = { [DetectionMode.Prompt]: 300, [DetectionMode.Careful]: 2_000 };
const partialFaultMaxMs = { [DetectionMode.Prompt]: 1_500, [DetectionMode.Careful]: 5_000 };

const cases: Case[] = [
    { title: "a healthy pool" },
    { title: "a member that hangs", durationMs: 60_000, maxDetectionMs: clearFaultMaxMs },
    { title: "a member with server errors", outcome: AttemptClass.ServerError, maxDetectionMs: clearFaultMaxMs },
    { title: "a member with cut answers", outcome: AttemptClass.Cut, maxDetectionMs: clearFaultMaxMs },
    { title: "a member with corrupt answers", outcome: AttemptClass.Corrupt, maxDetectionMs: clearFaultMaxMs },
    { title: "a member that refuses connections", outcome: AttemptClass.NotSent, durationMs: 1, maxDetectionMs: clearFaultMaxMs },
    {
        title: "a member with errors on every third request",
        outcome: AttemptClass.ServerError,
        faultyEveryNth: 3,
        maxDetectionMs: partialFaultMaxMs,
    },
    { title: "a member that is ten times slower", durationMs: 400, maxDetectionMs: partialFaultMaxMs },
    { title: "a member that is three times slower", durationMs: 120, maxDetectionMs: partialFaultMaxMs },
    { title: "a member that sheds", outcome: AttemptClass.Shed, durationMs: 1 },
    { title: "cancelled attempts", outcome: AttemptClass.Cancelled },
    { title: "a pool that is ten times slower", durationMs: 400, affectsAll: true },
    { title: "a pool that hangs", durationMs: 60_000, affectsAll: true },
    { title: "a pool with server errors", outcome: AttemptClass.ServerError, affectsAll: true },
    { title: "a member with slightly slower hardware", durationMs: 55 },
];

const warmUpMs = 4_000;
const runMs = 10_000;

/** Runs a pool with round-robin requests; returns the time from the fault to the first suspicion, which must be of `server-0`. */
const run = (mode: DetectionMode, testCase: Case): number | undefined => {
    const detector = createDetector({ mode });
    const pendingEnds: { at: number; attemptId: string; outcome: AttemptClass; }[] = [];
    for (let index = 0; index < memberCount; index += 1) {
        detector.step({ kind: DetectorEventKind.Joined, serverId: `server-${index}`, incarnation: 1 }, 0);
    }
    for (let now = 0; now < runMs; now += requestEveryMs) {
        const requestIndex = now / requestEveryMs;
        const serverId = `server-${requestIndex % memberCount}`;
        const isAffected = testCase.affectsAll === true || serverId === "server-0";
        const isFaulty = isAffected && now >= warmUpMs
            && Math.floor(requestIndex / memberCount) % (testCase.faultyEveryNth ?? 1) === 0;
        const healthyMs = typicalMs * (0.8 + (requestIndex * 7 % 11) / 20);
        const attemptId = `attempt-${requestIndex}`;
        detector.step({ kind: DetectorEventKind.Started, attemptId, serverId, requestKind: "seat-map" }, now);
        const outcome = isFaulty ? testCase.outcome ?? AttemptClass.Success : AttemptClass.Success;
        pendingEnds.push({ at: now + (isFaulty ? testCase.durationMs ?? healthyMs : healthyMs), attemptId, outcome });
        for (const end of pendingEnds.filter(each => each.at <= now)) {
            detector.step({ kind: DetectorEventKind.Finished, attemptId: end.attemptId, outcome: end.outcome }, now);
            pendingEnds.splice(pendingEnds.indexOf(end), 1);
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
        for (const testCase of cases) {
            it(`${mode}: ${testCase.maxDetectionMs === undefined ? "does not suspect" : "detects"} ${testCase.title}`, () => {
                const detectedMs = run(mode, testCase);
                if (testCase.maxDetectionMs === undefined) {
                    expect(detectedMs).to.equal(undefined);
                }
                else {
                    expect(detectedMs).to.be.within(0, testCase.maxDetectionMs[mode]);
                }
            });
        }
    }
});

const runWithFailingServer = (detector: Detector, serverId: string, startAt: number): DetectorAction[] => {
    const actions: DetectorAction[] = [];
    for (let now = startAt; now < startAt + 2_000; now += 10) {
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

    it("does not suspect for the fleet when only this host has evidence, such as from a bad link", () => {
        const detector = createDetector({ mode: DetectionMode.Prompt });
        const actions = runWithFailingServer(detector, "server-0", 0);
        expect(detector.suspicions()).to.deep.equal([{ serverId: "server-0", evidence: 2, confirmedByFleet: false }]);
        expect(actions.some(action => action.kind === DetectorActionKind.Report)).to.equal(true);
    });
});

describe("detector: re-admission", () => {
    const runDueProbes = (detector: Detector, at: number, outcome = AttemptClass.Success): DetectorAction[] => {
        const dueProbes = detector.step({ kind: DetectorEventKind.Tick }, at).filter(each =>
            each.kind === DetectorActionKind.Probe
        );
        return dueProbes.flatMap(({ serverId }) =>
            detector.step({ kind: DetectorEventKind.ProbeFinished, serverId, outcome, durationMs: 25 }, at + 25)
        );
    };

    const probeUntilHealthy = (detector: Detector, startAt: number): number => {
        let now = startAt;
        while (detector.suspicions().length > 0) {
            now += 50;
            runDueProbes(detector, now);
        }
        return now;
    };

    it("re-admits after a few successful probes, with few requests at first", () => {
        const detector = createDetector({ mode: DetectionMode.Prompt });
        runWithFailingServer(detector, "server-0", 0);
        probeUntilHealthy(detector, 2_000);
        expect(detector.weight("server-0")).to.be.below(0.5);
    });

    it("re-admits later after each ejection, also across restarts", () => {
        const detector = createDetector({ mode: DetectionMode.Prompt });
        const recoveryTimes: number[] = [];
        let now = 0;
        for (let incarnation = 1; incarnation <= 3; incarnation += 1) {
            detector.step({ kind: DetectorEventKind.Joined, serverId: "server-0", incarnation }, now);
            expect(detector.suspicions()).to.deep.equal([]);
            runWithFailingServer(detector, "server-0", now);
            const healthyAt = probeUntilHealthy(detector, now + 2_000);
            recoveryTimes.push(healthyAt - now);
            now = healthyAt;
        }
        expect(recoveryTimes[1]).to.be.above(recoveryTimes[0]!);
        expect(recoveryTimes[2]).to.be.above(recoveryTimes[1]!);
    });

    it("keeps a suspicion across an expired lease of the same incarnation", () => {
        const detector = createDetector({ mode: DetectionMode.Prompt });
        detector.step({ kind: DetectorEventKind.Joined, serverId: "server-0", incarnation: 1 }, 0);
        runWithFailingServer(detector, "server-0", 0);
        detector.step({ kind: DetectorEventKind.Left, serverId: "server-0" }, 2_000);
        expect(detector.suspicions()).to.deep.equal([]);
        detector.step({ kind: DetectorEventKind.Joined, serverId: "server-0", incarnation: 1 }, 2_100);
        expect(detector.suspicions().length).to.equal(1);
    });
});
