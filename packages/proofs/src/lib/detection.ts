/** Proof: each fault is found within its bound, and Careful ejects nobody without a fault. */
import { createNaiveDetector } from "@cassiapick/baseline";
import { createDetector, createRandom, DetectionMode } from "@cassiapick/core";
import type { Detector, Random } from "@cassiapick/core";
import { Fault, hardFaults, Trouble } from "./detection-faults.js";
import { runFakePool } from "./detection-pool.js";
import type { FakePoolCfg } from "./detection-pool.js";
import { readFault } from "./detection-times.js";
import type { Proof } from "./proof.js";

// The targets are 99th percentiles (Prompt: hard faults 300 ms, 10x slow 1.5 s); no single case may take three times as long.
const hardBoundMs = 900;
const slowBoundMs = 4_500;
const carefulBoundMs = 10_000;
const warmUpMs = 3_000;
const noFaultMs = 25_000;
const membersPerRegion = 4;
const littleLoad = 0.005;
const overload = 1.2;
const maxNotes = 5;

type CreateDetector = (mode: DetectionMode, random: Random) => Detector;

interface ProofCase {
    title: string;
    cfg: Omit<FakePoolCfg, "createDetector">;
}

/** The bound of one fault in one mode, in milliseconds. */
const boundOf = (mode: DetectionMode, fault: Fault): number => {
    if (mode === DetectionMode.Careful) {
        return carefulBoundMs;
    }
    return hardFaults.has(fault) ? hardBoundMs : slowBoundMs;
};

const loadOf = (trouble: Trouble, random: Random): number => {
    if (trouble === Trouble.LittleTraffic) {
        return littleLoad;
    }
    return trouble === Trouble.Overload ? overload : 0.5 + 0.2 * random.next();
};

const drawCases = (random: Random): ProofCase[] => {
    const common = { membersPerRegion, warmUpMs };
    const faults = Object.values(DetectionMode).flatMap(mode =>
        Object.values(Fault).map(fault => ({
            title: `${mode}, ${fault}`,
            cfg: {
                ...common,
                seed: random.below(2 ** 31),
                mode,
                fault,
                trouble: Trouble.None,
                regions: fault === Fault.SomeHosts ? 3 : 1,
                load: loadOf(Trouble.None, random),
                runMs: boundOf(mode, fault),
                stopAfterMs: 0,
            },
        }))
    );
    const mode = DetectionMode.Careful;
    const troubles = Object.values(Trouble).map(trouble => ({
        title: `${mode}, ${trouble}`,
        cfg: {
            ...common,
            seed: random.below(2 ** 31),
            mode,
            trouble,
            regions: 1,
            load: loadOf(trouble, random),
            runMs: noFaultMs,
        },
    }));
    return [...faults, ...troubles];
};

/** What went wrong; `undefined` when nothing did. */
const violationOf = (item: ProofCase, create: CreateDetector): string | undefined => {
    const result = runFakePool({ ...item.cfg, createDetector: create });
    const { fault, mode } = item.cfg;
    if (fault === undefined) {
        return result.ejections.length > 0 ? `${result.ejections.length} false ejections` : undefined;
    }
    const reading = readFault(fault, result);
    if (reading.suspectedMs > boundOf(mode, fault)) {
        return `not found within ${boundOf(mode, fault)} ms`;
    }
    const wrong = mode === DetectionMode.Careful && reading.falseEjections > 0;
    return wrong ? `${reading.falseEjections} false ejections` : undefined;
};

/** Runs the proof of detection. */
export const proveDetection: Proof = options => {
    const cases = drawCases(createRandom(options.seed));
    const naive = cases.map(item => violationOf(item, () => createNaiveDetector()));
    const own = cases.map(item => violationOf(item, (mode, random) => createDetector({ mode, random })));
    const isViolation = (violation: string | undefined): boolean => violation !== undefined;
    const notes = cases.flatMap((item, index) =>
        isViolation(own[index]) ? [`cassiapick, ${item.title}: ${own[index]!} (pool seed ${item.cfg.seed})`] : []
    );
    return Promise.resolve({
        cases: cases.length,
        naiveViolated: naive.filter(isViolation).length,
        ownViolated: own.filter(isViolation).length,
        notes: notes.slice(0, maxNotes),
    });
};
