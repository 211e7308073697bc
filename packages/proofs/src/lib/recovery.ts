/** Proof: after a crash a state host has everything that it had synced; with a damaged folder it may refuse to start. */
import { openNaiveFolder } from "@cassiapick/baseline";
import { createRandom } from "@cassiapick/core";
import type { Random, StoredState, WriteAction } from "@cassiapick/core";
import { openDataFolder } from "@cassiapick/state";
import type { Disk } from "@cassiapick/state";
import type { Proof } from "./proof.js";
import { crashMessage, createMemoryDisk } from "./recovery-disk.js";
import type { MemoryDisk } from "./recovery-disk.js";
import { drawScript, initialState } from "./recovery-script.js";
import type { RecoveryScript } from "./recovery-script.js";

const caseCount = 40;
const maxNotes = 3;
/** The magic bytes at the start of each record in the data folder. */
const recordMagic = "CPL1";
/** How many of the disk states after a crash are tested with a second crash during the recovery. */
const secondCrashStates = 3;
/** How many of the disk states after each second crash are tested. */
const statesPerSecondCrash = 40;

interface OpenedFolder {
    stored: StoredState;
    /** Whether the folder counts as empty; the host then starts as one that lost its disk, which the proof 'config' covers. */
    wasEmpty?: boolean;
    write(actions: readonly WriteAction[]): Promise<void>;
}

/** Opens a folder; resolves with `undefined` when it refuses to. */
type OpenFolder = (disk: Disk) => Promise<OpenedFolder | undefined>;

const openCassiapick: OpenFolder = async disk => {
    const result = await openDataFolder(disk, initialState.hardState);
    return result.ok ? result.folder : undefined;
};

const openNaive: OpenFolder = disk => openNaiveFolder(disk, initialState);

const serializeState = (state: StoredState): string => JSON.stringify([state.hardState, state.snapshot ?? "none", state.entries]);

/** Runs a step in which the disk may crash; returns whether it did not, and rethrows any other error. */
const completesWithoutCrash = async (run: () => Promise<void>): Promise<boolean> => {
    try {
        await run();
        return true;
    }
    catch (err) {
        if ((err as Error).message !== crashMessage) {
            throw err;
        }
        return false;
    }
};

interface ScriptProgress {
    /** The number of writes that were synced before the crash. */
    syncedWrites: number;
    /** The number of writes that were started before the crash. */
    startedWrites: number;
}

const runScript = async (script: RecoveryScript, disk: MemoryDisk, open: OpenFolder): Promise<ScriptProgress> => {
    const progress: ScriptProgress = { syncedWrites: 0, startedWrites: 0 };
    await completesWithoutCrash(async () => {
        const folder = await open(disk);
        for (const batch of script.batches) {
            progress.startedWrites += batch.length;
            await folder!.write(batch);
            progress.syncedWrites = progress.startedWrites;
        }
    });
    return progress;
};

const isAllowed = (script: RecoveryScript, progress: ScriptProgress, opened: OpenedFolder | undefined): boolean =>
    opened !== undefined
    && script.states.slice(progress.syncedWrites, progress.startedWrites + 1).some(state =>
        serializeState(state) === serializeState(opened.stored)
    );

/** Returns up to `count` of the values, spread evenly. */
const sample = <T>(values: readonly T[], count: number): T[] => {
    const stride = Math.max(Math.ceil(values.length / count), 1);
    return values.filter((_, index) => index % stride === 0);
};

/** Crashes at each operation of a recovery and recovers again; returns whether every result is allowed. */
const survivesSecondCrash = async (
    files: ReadonlyMap<string, Uint8Array>,
    open: OpenFolder,
    isAllowedState: (opened: OpenedFolder | undefined) => boolean,
): Promise<boolean> => {
    for (let crashAt = 1;; crashAt += 1) {
        const disk = createMemoryDisk({ files, crashAt });
        const finished = await completesWithoutCrash(async () => {
            await open(disk);
        });
        if (finished) {
            return true;
        }
        for (const state of sample(disk.crashStates(), statesPerSecondCrash)) {
            if (!isAllowedState(await open(createMemoryDisk({ files: state })))) {
                return false;
            }
        }
    }
};

/** Crashes once during the script and recovers from every state that the disk can then have; describes a violation. */
const findCrashViolation = async (script: RecoveryScript, crashAt: number, open: OpenFolder): Promise<string | undefined> => {
    const disk = createMemoryDisk({ crashAt });
    const progress = await runScript(script, disk, open);
    const isAllowedState = (opened: OpenedFolder | undefined): boolean => isAllowed(script, progress, opened);
    const states = disk.crashStates();
    for (const files of states) {
        if (!isAllowedState(await open(createMemoryDisk({ files })))) {
            return `A crash in operation ${crashAt} lost the state after ${progress.syncedWrites} synced writes, or the host refused to start with it.`;
        }
    }
    for (const files of sample(states, secondCrashStates)) {
        if (!await survivesSecondCrash(files, open, isAllowedState)) {
            return `A second crash during the recovery from operation ${crashAt} lost what had been synced.`;
        }
    }
    return undefined;
};

const filesAfterScript = async (script: RecoveryScript, open: OpenFolder): Promise<Map<string, Uint8Array>> => {
    const disk = createMemoryDisk();
    await runScript(script, disk, open);
    return disk.crashStates()[0]!;
};

/**
 * Damages an intact folder: removes each file in turn, and flips a bit of each before its last record.
 * A host that starts anyway must have the complete state; describes a violation.
 */
const findDamageViolation = async (script: RecoveryScript, random: Random, open: OpenFolder): Promise<string | undefined> => {
    const files = await filesAfterScript(script, open);
    const expectedState = serializeState(script.states.at(-1)!);
    const isHarmless = (opened: OpenedFolder | undefined): boolean =>
        opened === undefined || opened.wasEmpty === true || serializeState(opened.stored) === expectedState;
    for (const [name, content] of files) {
        const remainingFiles = new Map(files);
        remainingFiles.delete(name);
        if (!isHarmless(await open(createMemoryDisk({ files: remainingFiles })))) {
            return `The host started although the file '${name}' was lost.`;
        }
        const damaged = content.slice();
        // A damaged last record can't be told from an incomplete write, so it is left intact if there are records before it.
        const lastRecord = Buffer.from(content).lastIndexOf(recordMagic);
        const damagedByte = random.below(lastRecord > 0 ? lastRecord : content.length);
        damaged[damagedByte] = damaged[damagedByte]! ^ 0x10;
        if (!isHarmless(await open(createMemoryDisk({ files: new Map(files).set(name, damaged) })))) {
            return `The host started although byte ${damagedByte} of '${name}' was damaged.`;
        }
    }
    return undefined;
};

const runCase = async (script: RecoveryScript, seed: number, open: OpenFolder): Promise<string | undefined> => {
    const random = createRandom(seed);
    const disk = createMemoryDisk();
    await runScript(script, disk, open);
    const crashAt = 1 + random.below(disk.operationCount());
    return await findCrashViolation(script, crashAt, open) ?? await findDamageViolation(script, random, open);
};

/** Runs the proof of the recovery. */
export const proveRecovery: Proof = async options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolations = 0;
    let cassiapickViolations = 0;
    for (let index = 0; index < caseCount; index += 1) {
        const script = drawScript(random);
        const seed = random.below(2 ** 31);
        const cassiapickViolation = await runCase(script, seed, openCassiapick);
        naiveViolations += await runCase(script, seed, openNaive) === undefined ? 0 : 1;
        cassiapickViolations += cassiapickViolation === undefined ? 0 : 1;
        if (cassiapickViolation !== undefined && notes.length < maxNotes) {
            notes.push(`case ${index}: ${cassiapickViolation}`);
        }
    }
    return { cases: caseCount, naiveViolations, cassiapickViolations, notes };
};
