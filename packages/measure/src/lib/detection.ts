/** Measures detection times and false ejections, at today's sizes of both deployments. */
import { createNaiveDetector } from "@cassiapick/baseline";
import { createDetector, DetectionMode } from "@cassiapick/core";
import type { Detector, Random } from "@cassiapick/core";
import { Fault, hardFaults, PoolCondition, runFakePool, summarizeFaultRun } from "@cassiapick/proofs";
import type { FakePoolCfg } from "@cassiapick/proofs";
import { renderDetection } from "./detection-table.js";
import type { DetectionReport, FaultRow, TroubleRow } from "./detection-table.js";
import type { Measurement } from "./measurement.js";

// A pool has 12 backend servers of 3 slots in 3 regions, and one owner host a region.
const regions = 3;
const membersPerRegion = 4;
const ordinaryLoad = 0.6;
const littleLoad = 0.005;
const overload = 1.2;
const runsPerFault = 100;
const runsPerTrouble = 4;
const stopAfterMs = 2_000;
const warmUpMs = 3_000;
const faultRunMs = { [DetectionMode.Prompt]: 5_000, [DetectionMode.Careful]: 8_000 };
const troubleRunMs = 60_000;
const msPerHour = 3_600_000;
const hardTargetMs = 300;
const slowTargetMs = 1_500;
const p50 = 0.5;
const p99 = 0.99;

type CreateDetector = (mode: DetectionMode, random: Random) => Detector;

const own: CreateDetector = (mode, random) => createDetector({ mode, random });
const naive: CreateDetector = () => createNaiveDetector();

const quantile = (sorted: number[], share: number): number => sorted[Math.ceil(share * sorted.length) - 1]!;

const targetOf = (mode: DetectionMode, fault: Fault): number | undefined => {
    if (mode === DetectionMode.Careful) {
        return undefined;
    }
    if (hardFaults.has(fault)) {
        return hardTargetMs;
    }
    return fault === Fault.SlowTenfold ? slowTargetMs : undefined;
};

const runMode = (mode: DetectionMode): Pick<FakePoolCfg, "mode" | "regions" | "membersPerRegion"> => ({
    mode,
    regions,
    membersPerRegion,
});

const measureFault = (seed: number, mode: DetectionMode, fault: Fault, create: CreateDetector): FaultRow => {
    const times: number[] = [];
    let falseEjections = 0;
    for (let run = 0; run < runsPerFault; run += 1) {
        const result = runFakePool({
            ...runMode(mode),
            seed: seed * runsPerFault + run,
            createDetector: create,
            utilization: ordinaryLoad,
            condition: PoolCondition.None,
            fault,
            warmUpMs,
            runMs: faultRunMs[mode],
            stopAfterMs,
        });
        const reading = summarizeFaultRun(fault, result);
        times.push(reading.lastSendMs);
        falseEjections += reading.falseEjections;
    }
    const sorted = times.sort((a, b) => a - b);
    const missed = times.filter(time => time === Infinity).length;
    const row = { fault, runs: runsPerFault, missed, falseEjections, targetMs: targetOf(mode, fault) };
    return { ...row, p50Ms: quantile(sorted, p50), p99Ms: quantile(sorted, p99) };
};

const loadOf = (trouble: PoolCondition): number => {
    if (trouble === PoolCondition.LittleTraffic) {
        return littleLoad;
    }
    return trouble === PoolCondition.Overload ? overload : ordinaryLoad;
};

const measureTrouble = (seed: number, mode: DetectionMode, trouble: PoolCondition, create: CreateDetector): TroubleRow => {
    let falseEjections = 0;
    for (let run = 0; run < runsPerTrouble; run += 1) {
        const result = runFakePool({
            ...runMode(mode),
            seed: seed * runsPerTrouble + run,
            createDetector: create,
            utilization: loadOf(trouble),
            condition: trouble,
            warmUpMs: 0,
            runMs: troubleRunMs,
        });
        falseEjections += result.ejections.length;
    }
    const serverHours = runsPerTrouble * troubleRunMs * regions * membersPerRegion / msPerHour;
    return { trouble, serverHours, falseEjections, perThousandHours: falseEjections / serverHours * 1_000 };
};

const measureVersion = (seed: number, version: string, mode: DetectionMode, create: CreateDetector): DetectionReport => ({
    version,
    mode,
    faults: Object.values(Fault).map(fault => measureFault(seed, mode, fault, create)),
    troubles: Object.values(PoolCondition).map(trouble => measureTrouble(seed, mode, trouble, create)),
});

/** Measures detection: ours in both modes, and the naive version. */
export const measureDetection: Measurement = options => {
    const { seed, json } = options;
    const reports = [
        measureVersion(seed, "cassiapick", DetectionMode.Prompt, own),
        measureVersion(seed, "cassiapick", DetectionMode.Careful, own),
        measureVersion(seed, "naive", DetectionMode.Prompt, naive),
    ];
    console.log(json ? JSON.stringify(reports) : reports.map(renderDetection).join("\n\n"));
    return Promise.resolve();
};
