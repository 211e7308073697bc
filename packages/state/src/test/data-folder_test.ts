import { createBootstrapSnapshot, EntryKind, NodeActionKind } from "@cassiapick/core";
import type { LogEntry, WriteAction } from "@cassiapick/core";
import { expect } from "chai";
import { mkdtemp, open, readFile, rm, stat, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { openDataFolder } from "../lib/data-folder.js";
import type { DataFolder, DataFolderResult } from "../lib/data-folder.js";
import { openDisk } from "../lib/disk.js";
import type { Disk } from "../lib/disk.js";

const initialHardState = { incarnation: 5, founding: false, term: 0 };

const append = (...indices: number[]): WriteAction => ({
    kind: NodeActionKind.Append,
    entries: indices.map((index): LogEntry => ({ index, term: 1, body: { kind: EntryKind.Noop } })),
});

const writeBatches: WriteAction[][] = [
    [{ kind: NodeActionKind.SaveHardState, hardState: { ...initialHardState, term: 1, votedFor: "b" } }],
    [{ kind: NodeActionKind.SaveSnapshot, snapshot: createBootstrapSnapshot(["a", "b", "c"], 0), entries: [] }],
    [append(2, 3), append(4)],
    [append(5)],
];

const invertByte = async (path: string, position: number): Promise<void> => {
    const bytes = await readFile(path);
    bytes[position] = bytes[position]! ^ 0xff;
    await writeFile(path, bytes);
};

const truncateBy = async (path: string, bytes: number): Promise<void> => {
    const handle = await open(path, "r+");
    await handle.truncate((await stat(path)).size - bytes);
    await handle.close();
};

/** Damage to the files, and the outcome: the last index read, or the kind of the error. */
const damageCases: { name: string; damage: (folder: string) => Promise<void>; outcome: string; }[] = [
    { name: "no damage", damage: () => Promise.resolve(), outcome: "5" },
    { name: "a torn record at the end of the log", damage: folder => truncateBy(join(folder, "log"), 3), outcome: "4" },
    { name: "damage in the middle of the log", damage: folder => invertByte(join(folder, "log"), 60), outcome: "corrupt" },
    { name: "a damaged snapshot", damage: folder => invertByte(join(folder, "snapshot"), 30), outcome: "corrupt" },
    { name: "a damaged hard state", damage: folder => invertByte(join(folder, "hard-state"), 15), outcome: "corrupt" },
    { name: "a lost log", damage: folder => rm(join(folder, "log")), outcome: "file-lost" },
    { name: "a lost snapshot", damage: folder => rm(join(folder, "snapshot")), outcome: "file-lost" },
    { name: "a lost hard state", damage: folder => rm(join(folder, "hard-state")), outcome: "file-lost" },
];

describe("data folder", () => {
    let folder = "";
    const openFolder = async (disk?: Disk): Promise<DataFolderResult> =>
        openDataFolder(disk ?? await openDisk(folder), initialHardState);
    const openValidFolder = async (disk?: Disk): Promise<DataFolder> => {
        const result = await openFolder(disk);
        if (!result.ok) {
            throw new Error(result.err.message);
        }
        return result.folder;
    };

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "cassiapick-folder-"));
    });
    afterEach(() => rm(folder, { recursive: true, force: true }));

    for (const { name, damage, outcome } of damageCases) {
        it(`opens or refuses a folder with ${name}`, async () => {
            const dataFolder = await openValidFolder();
            expect(dataFolder.wasEmpty).to.equal(true);
            for (const batch of writeBatches) {
                await dataFolder.write(batch);
            }
            await dataFolder.close();
            await damage(folder);
            const result = await openFolder();
            if (result.ok) {
                expect(String(result.folder.stored.entries.at(-1)!.index)).to.equal(outcome);
                expect(result.folder.stored.hardState.votedFor).to.equal("b");
                await result.folder.close();
                return;
            }
            expect(result.err.kind).to.equal(outcome);
            expect(result.err.message).to.contain("without --bootstrap");
        });
    }

    for (const failingOperation of ["write", "sync"] as const) {
        it(`rejects when a ${failingOperation} fails and keeps earlier synced writes`, async () => {
            const disk = await openDisk(folder);
            const dataFolder = await openValidFolder(disk);
            await dataFolder.write(writeBatches[0]!);
            await dataFolder.write([append(1)]);
            disk[failingOperation] = () => Promise.reject(new Error("ENOSPC: no space left on device"));
            const message = await dataFolder.write([append(2)]).then(() => undefined, (err: unknown) => (err as Error).message);
            expect(message).to.contain("ENOSPC");
            await disk.close();
            const reopened = await openValidFolder();
            expect(reopened.stored.entries[0]!.index).to.equal(1);
            expect(reopened.stored.hardState.term).to.equal(1);
            await reopened.close();
        });
    }
});
