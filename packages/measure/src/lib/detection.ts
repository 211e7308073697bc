/** Measures detection times and false ejections at the current sizes of both deployments. */
import { createNaiveDetector } from "@cassiapick/baseline";
import { createDetector, DetectionMode } from "@cassiapick/core";
import type { Detector, Random } from "@cassiapick/core";
import { Fault, hardFaults, PoolCondition, runFakePool, summarizeFaultRun } from "@cassiapick/proofs";
import type { FakePoolCfg } from "@cassiapick/proofs";
import { renderDetection } from "./detection-table.js";
import type { ConditionRow, DetectionReport, FaultRow } from "./detection-table.js";
import type { Measurement } from "./measurement.js";

// A pool has 12 backend servers with 3 slots each in 3 regions, and one owner host per region.
const regions = 3;
const membersPerRegion = 4;
const normalUtilization = 0.6;
const littleTrafficUtilization = 0.005;
const overloadUtilization = 1.2;
const runsPerFault = 100;
const runsPerCondition = 4;
const stopAfterDetectionMs = 2_000;
const warmUpMs = 3_000;
const faultRunMs = { [DetectionMode.Prompt]: 5_000, [DetectionMode.Careful]: 8_000 };
const conditionRunMs = 60_000;
const msPerHour = 3_600_000;
const hardTargetMs = 300;
const slowTargetMs = 1_500;
const p50 = 0.5;
const p99 = 0.99;

type CreateDetector = (mode: DetectionMode, random: Random) => Detector;

const createCassiapick: CreateDetector = (mode, random) => createDetector({ mode, random });
const createNaive: CreateDetector = () => createNaiveDetector();

const quantile = (sorted: number[], fraction: number): number => sorted[Math.ceil(fraction * sorted.length) - 1]!;

const targetMsOf = (mode: DetectionMode, fault: Fault): number | undefined => {
    if (mode === DetectionMode.Careful) {
        return undefined;
    }
    if (hardFaults.has(fault)) {
        return hardTargetMs;
    }
    return fault === Fault.SlowTenfold ? slowTargetMs : undefined;
};

const poolOptionsOf = (mode: DetectionMode): Pick<FakePoolCfg, "mode" | "regions" | "membersPerRegion"> => ({
    mode,
    regions,
    membersPerRegion,
});

const measureFault = (seed: number, mode: DetectionMode, fault: Fault, createDetectorFor: CreateDetector): FaultRow => {
    const detectionTimesMs: number[] = [];
    let falseEjections = 0;
    for (let run = 0; run < runsPerFault; run += 1) {
        const result = runFakePool({
            ...poolOptionsOf(mode),
            seed: seed * runsPerFault + run,
            createDetector: createDetectorFor,
            utilization: normalUtilization,
            condition: PoolCondition.None,
            fault,
            warmUpMs,
            runMs: faultRunMs[mode],
            stopAfterMs: stopAfterDetectionMs,
        });
        const summary = summarizeFaultRun(fault, result);
        detectionTimesMs.push(summary.lastSendMs);
        falseEjections += summary.falseEjections;
    }
    const sorted = detectionTimesMs.sort((a, b) => a - b);
    const missed = detectionTimesMs.filter(timeMs => timeMs === Infinity).length;
    const row = { fault, runs: runsPerFault, missed, falseEjections, targetMs: targetMsOf(mode, fault) };
    return { ...row, p50Ms: quantile(sorted, p50), p99Ms: quantile(sorted, p99) };
};

const utilizationOf = (condition: PoolCondition): number => {
    if (condition === PoolCondition.LittleTraffic) {
        return littleTrafficUtilization;
    }
    return condition === PoolCondition.Overload ? overloadUtilization : normalUtilization;
};

const measureCondition = (
    seed: number,
    mode: DetectionMode,
    condition: PoolCondition,
    createDetectorFor: CreateDetector,
): ConditionRow => {
    let falseEjections = 0;
    for (let run = 0; run < runsPerCondition; run += 1) {
        const result = runFakePool({
            ...poolOptionsOf(mode),
            seed: seed * runsPerCondition + run,
            createDetector: createDetectorFor,
            utilization: utilizationOf(condition),
            condition,
            warmUpMs: 0,
            runMs: conditionRunMs,
        });
        falseEjections += result.ejections.length;
    }
    const serverHours = runsPerCondition * conditionRunMs * regions * membersPerRegion / msPerHour;
    return { trouble: condition, serverHours, falseEjections, perThousandHours: falseEjections / serverHours * 1_000 };
};

const measureImplementation = (
    seed: number,
    implementation: string,
    mode: DetectionMode,
    createDetectorFor: CreateDetector,
): DetectionReport => ({
    version: implementation,
    mode,
    faults: Object.values(Fault).map(fault => measureFault(seed, mode, fault, createDetectorFor)),
    troubles: Object.values(PoolCondition).map(condition => measureCondition(seed, mode, condition, createDetectorFor)),
});

/** Measures the detector of cassiapick in both modes, and the naive detector. */
export const measureDetection: Measurement = options => {
    const { seed, json } = options;
    const reports = [
        measureImplementation(seed, "cassiapick", DetectionMode.Prompt, createCassiapick),
        measureImplementation(seed, "cassiapick", DetectionMode.Careful, createCassiapick),
        measureImplementation(seed, "naive", DetectionMode.Prompt, createNaive),
    ];
    console.log(json ? JSON.stringify(reports) : reports.map(renderDetection).join("\n\n"));
    return Promise.resolve();
};
