/** Proof: each fault is detected within its time bound, and `Careful` detection ejects no healthy member. */
import { createNaiveDetector } from "@cassiapick/baseline";
import { createDetector, createRandom, DetectionMode } from "@cassiapick/core";
import type { Detector, Random } from "@cassiapick/core";
import { Fault, hardFaults, PoolCondition } from "./detection-faults.js";
import { runFakePool } from "./detection-pool.js";
import type { FakePoolCfg } from "./detection-pool.js";
import { summarizeFaultRun } from "./detection-times.js";
import type { Proof } from "./proof.js";

// The targets are 99th percentiles (`Prompt`: 300 ms for hard faults, 1.5 s for 10x slow); no case may take over three times as long.
const hardBoundMs = 900;
const slowBoundMs = 4_500;
const carefulBoundMs = 10_000;
const warmUpMs = 3_000;
const noFaultRunMs = 25_000;
const membersPerRegion = 4;
const littleTrafficUtilization = 0.005;
const overloadUtilization = 1.2;
const maxNotes = 5;

type CreateDetector = (mode: DetectionMode, random: Random) => Detector;

interface DetectionCase {
    title: string;
    cfg: Omit<FakePoolCfg, "createDetector">;
}

/** Returns the longest allowed detection time of a fault in a mode, in milliseconds. */
const boundMsOf = (mode: DetectionMode, fault: Fault): number => {
    if (mode === DetectionMode.Careful) {
        return carefulBoundMs;
    }
    return hardFaults.has(fault) ? hardBoundMs : slowBoundMs;
};

const utilizationOf = (condition: PoolCondition, random: Random): number => {
    if (condition === PoolCondition.LittleTraffic) {
        return littleTrafficUtilization;
    }
    return condition === PoolCondition.Overload ? overloadUtilization : 0.5 + 0.2 * random.next();
};

const drawCases = (random: Random): DetectionCase[] => {
    const commonCfg = { membersPerRegion, warmUpMs };
    const faultCases = Object.values(DetectionMode).flatMap(mode =>
        Object.values(Fault).map(fault => ({
            title: `${mode}, ${fault}`,
            cfg: {
                ...commonCfg,
                seed: random.below(2 ** 31),
                mode,
                fault,
                condition: PoolCondition.None,
                regions: fault === Fault.SomeHosts ? 3 : 1,
                utilization: utilizationOf(PoolCondition.None, random),
                runMs: boundMsOf(mode, fault),
                stopAfterMs: 0,
            },
        }))
    );
    const mode = DetectionMode.Careful;
    const conditionCases = Object.values(PoolCondition).map(condition => ({
        title: `${mode}, ${condition}`,
        cfg: {
            ...commonCfg,
            seed: random.below(2 ** 31),
            mode,
            condition,
            regions: 1,
            utilization: utilizationOf(condition, random),
            runMs: noFaultRunMs,
        },
    }));
    return [...faultCases, ...conditionCases];
};

/** Runs a case and describes its violation; `undefined` when there is none. */
const violationOf = (testCase: DetectionCase, create: CreateDetector): string | undefined => {
    const result = runFakePool({ ...testCase.cfg, createDetector: create });
    const { fault, mode } = testCase.cfg;
    if (fault === undefined) {
        return result.ejections.length > 0 ? `${result.ejections.length} false ejections` : undefined;
    }
    const summary = summarizeFaultRun(fault, result);
    if (summary.suspectedMs > boundMsOf(mode, fault)) {
        return `not detected within ${boundMsOf(mode, fault)} ms`;
    }
    const hasFalseEjections = mode === DetectionMode.Careful && summary.falseEjections > 0;
    return hasFalseEjections ? `${summary.falseEjections} false ejections` : undefined;
};

/** Runs the proof of detection. */
export const proveDetection: Proof = options => {
    const cases = drawCases(createRandom(options.seed));
    const naiveViolations = cases.map(testCase => violationOf(testCase, () => createNaiveDetector()));
    const cassiapickViolations = cases.map(testCase => violationOf(testCase, (mode, random) => createDetector({ mode, random })));
    const isViolation = (violation: string | undefined): boolean => violation !== undefined;
    const notes = cases.flatMap((testCase, index) =>
        isViolation(cassiapickViolations[index])
            ? [`cassiapick, ${testCase.title}: ${cassiapickViolations[index]!} (pool seed ${testCase.cfg.seed})`]
            : []
    );
    return Promise.resolve({
        cases: cases.length,
        naiveViolations: naiveViolations.filter(isViolation).length,
        cassiapickViolations: cassiapickViolations.filter(isViolation).length,
        notes: notes.slice(0, maxNotes),
    });
};
