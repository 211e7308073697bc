/** Proof: a state host comes back with what it had synced, or refuses to start; it never comes back with less. */
import { openNaiveFolder } from "@cassiapick/baseline";
import { createRandom } from "@cassiapick/core";
import type { Random, StoredState, WriteAction } from "@cassiapick/core";
import { openDataFolder } from "@cassiapick/state";
import type { Disk } from "@cassiapick/state";
import type { Proof } from "./proof.js";
import { crashMessage, createMemoryDisk } from "./recovery-disk.js";
import type { MemoryDisk } from "./recovery-disk.js";
import { drawScript, firstState } from "./recovery-script.js";
import type { RecoveryScript } from "./recovery-script.js";

const cases = 40;
const maxNotes = 3;
/** The bytes that begin each record of the data folder. */
const recordMark = "CPL1";
/** How many of the states after a crash are struck by a second crash while the host recovers, and how many follow that. */
const secondCrashes = 3;
const secondStates = 40;

interface Opened {
    stored: StoredState;
    /** Whether the folder counts as empty; the host then comes back as one that lost its disk, which proof 'config' covers. */
    wasEmpty?: boolean;
    write(actions: readonly WriteAction[]): Promise<void>;
}

/** Opens a folder; `undefined` when it refuses. */
type Open = (disk: Disk) => Promise<Opened | undefined>;

const openOwn: Open = async disk => {
    const result = await openDataFolder(disk, firstState.hardState);
    return result.ok ? result.folder : undefined;
};

const openNaive: Open = disk => openNaiveFolder(disk, firstState);

const textOf = (state: StoredState): string => JSON.stringify([state.hardState, state.snapshot ?? "none", state.entries]);

/** Runs a step that may meet the crash; any other failure is a fault of the proof. */
const survives = async (run: () => Promise<void>): Promise<boolean> => {
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

interface Progress {
    /** Writes that were synced before the crash. */
    synced: number;
    /** Writes that had begun. */
    begun: number;
}

const runScript = async (script: RecoveryScript, disk: MemoryDisk, open: Open): Promise<Progress> => {
    const progress: Progress = { synced: 0, begun: 0 };
    await survives(async () => {
        const folder = await open(disk);
        for (const batch of script.batches) {
            progress.begun += batch.length;
            await folder!.write(batch);
            progress.synced = progress.begun;
        }
    });
    return progress;
};

const isAllowed = (script: RecoveryScript, progress: Progress, found: Opened | undefined): boolean =>
    found !== undefined
    && script.states.slice(progress.synced, progress.begun + 1).some(state => textOf(state) === textOf(found.stored));

/** Up to `count` of the values, spread evenly. */
const sample = <T>(values: readonly T[], count: number): T[] => {
    const stride = Math.max(Math.ceil(values.length / count), 1);
    return values.filter((_, index) => index % stride === 0);
};

/** Crashes while the host recovers, at each operation of it, and recovers again. */
const survivesSecondCrash = async (
    files: ReadonlyMap<string, Uint8Array>,
    open: Open,
    check: (found: Opened | undefined) => boolean,
): Promise<boolean> => {
    for (let crashAt = 1;; crashAt += 1) {
        const disk = createMemoryDisk({ files, crashAt });
        const finished = await survives(async () => {
            await open(disk);
        });
        if (finished) {
            return true;
        }
        for (const state of sample(disk.crashStates(), secondStates)) {
            if (!check(await open(createMemoryDisk({ files: state })))) {
                return false;
            }
        }
    }
};

/** Crashes once during the script, and recovers from every state that the disk can then have. */
const crashViolation = async (script: RecoveryScript, crashAt: number, open: Open): Promise<string | undefined> => {
    const disk = createMemoryDisk({ crashAt });
    const progress = await runScript(script, disk, open);
    const check = (found: Opened | undefined): boolean => isAllowed(script, progress, found);
    const states = disk.crashStates();
    for (const files of states) {
        if (!check(await open(createMemoryDisk({ files })))) {
            return `A crash in operation ${crashAt} lost or refused what ${progress.synced} synced writes had made.`;
        }
    }
    for (const files of sample(states, secondCrashes)) {
        if (!await survivesSecondCrash(files, open, check)) {
            return `A second crash during the recovery from operation ${crashAt} lost what had been synced.`;
        }
    }
    return undefined;
};

const filesOf = async (script: RecoveryScript, open: Open): Promise<Map<string, Uint8Array>> => {
    const disk = createMemoryDisk();
    await runScript(script, disk, open);
    return disk.crashStates()[0]!;
};

/** Damages a sound folder: each lost file, and a flipped byte before the last record. Anything but a refusal must be whole. */
const damageViolation = async (script: RecoveryScript, random: Random, open: Open): Promise<string | undefined> => {
    const files = await filesOf(script, open);
    const last = textOf(script.states.at(-1)!);
    const isHarmless = (found: Opened | undefined): boolean =>
        found === undefined || found.wasEmpty === true || textOf(found.stored) === last;
    for (const [name, content] of files) {
        const without = new Map(files);
        without.delete(name);
        if (!isHarmless(await open(createMemoryDisk({ files: without })))) {
            return `The host started although the file '${name}' was lost.`;
        }
        const flipped = content.slice();
        // The last record of the log can't be told from a torn one, so it is spared where others stand before it.
        const lastRecord = Buffer.from(content).lastIndexOf(recordMark);
        const at = random.below(lastRecord > 0 ? lastRecord : content.length);
        flipped[at] = flipped[at]! ^ 0x10;
        if (!isHarmless(await open(createMemoryDisk({ files: new Map(files).set(name, flipped) })))) {
            return `The host started although byte ${at} of '${name}' was damaged.`;
        }
    }
    return undefined;
};

const runCase = async (script: RecoveryScript, seed: number, open: Open): Promise<string | undefined> => {
    const random = createRandom(seed);
    const sound = createMemoryDisk();
    await runScript(script, sound, open);
    const crashAt = 1 + random.below(sound.operations());
    return await crashViolation(script, crashAt, open) ?? await damageViolation(script, random, open);
};

/** Runs the proof of the recovery. */
export const proveRecovery: Proof = async options => {
    const random = createRandom(options.seed);
    const notes: string[] = [];
    let naiveViolated = 0;
    let ownViolated = 0;
    for (let index = 0; index < cases; index += 1) {
        const script = drawScript(random);
        const seed = random.below(2 ** 31);
        const own = await runCase(script, seed, openOwn);
        naiveViolated += await runCase(script, seed, openNaive) === undefined ? 0 : 1;
        ownViolated += own === undefined ? 0 : 1;
        if (own !== undefined && notes.length < maxNotes) {
            notes.push(`case ${index}: ${own}`);
        }
    }
    return { cases, naiveViolated, ownViolated, notes };
};
