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

const first = { incarnation: 5, founding: false, term: 0 };

const append = (...indices: number[]): WriteAction => ({
    kind: NodeActionKind.Append,
    entries: indices.map((index): LogEntry => ({ index, term: 1, body: { kind: EntryKind.Noop } })),
});

const script: WriteAction[][] = [
    [{ kind: NodeActionKind.SaveHardState, hardState: { ...first, term: 1, votedFor: "b" } }],
    [{ kind: NodeActionKind.SaveSnapshot, snapshot: createBootstrapSnapshot(["a", "b", "c"], 0), entries: [] }],
    [append(2, 3), append(4)],
    [append(5)],
];

const flip = async (path: string, at: number): Promise<void> => {
    const bytes = await readFile(path);
    bytes[at] = bytes[at]! ^ 0xff;
    await writeFile(path, bytes);
};

const cut = async (path: string, bytes: number): Promise<void> => {
    const handle = await open(path, "r+");
    await handle.truncate((await stat(path)).size - bytes);
    await handle.close();
};

/** What happens to the files, and how the host answers. */
const damages: { name: string; damage: (folder: string) => Promise<void>; outcome: string; }[] = [
    { name: "nothing", damage: () => Promise.resolve(), outcome: "5" },
    { name: "a torn tail", damage: folder => cut(join(folder, "log"), 3), outcome: "4" },
    { name: "damage in the middle of the log", damage: folder => flip(join(folder, "log"), 60), outcome: "corrupt" },
    { name: "a damaged snapshot", damage: folder => flip(join(folder, "snapshot"), 30), outcome: "corrupt" },
    { name: "damaged votes", damage: folder => flip(join(folder, "hard-state"), 15), outcome: "corrupt" },
    { name: "a lost log", damage: folder => rm(join(folder, "log")), outcome: "file-lost" },
    { name: "a lost snapshot", damage: folder => rm(join(folder, "snapshot")), outcome: "file-lost" },
    { name: "lost votes", damage: folder => rm(join(folder, "hard-state")), outcome: "file-lost" },
];

describe("data folder", () => {
    let folder = "";
    const opened = async (disk?: Disk): Promise<DataFolderResult> => openDataFolder(disk ?? await openDisk(folder), first);
    const openSound = async (disk?: Disk): Promise<DataFolder> => {
        const result = await opened(disk);
        if (!result.ok) {
            throw new Error(result.err.message);
        }
        return result.folder;
    };

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "cassiapick-folder-"));
    });
    afterEach(() => rm(folder, { recursive: true, force: true }));

    for (const { name, damage, outcome } of damages) {
        it(`meets ${name}`, async () => {
            const before = await openSound();
            expect(before.wasEmpty).to.equal(true);
            for (const batch of script) {
                await before.write(batch);
            }
            await before.close();
            await damage(folder);
            const result = await opened();
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

    for (const failing of ["write", "sync"] as const) {
        it(`rejects when a ${failing} fails, and what was synced before stays`, async () => {
            const disk = await openDisk(folder);
            const sound = await openSound(disk);
            await sound.write(script[0]!);
            await sound.write([append(1)]);
            disk[failing] = () => Promise.reject(new Error("ENOSPC: no space left on device"));
            const failure = await sound.write([append(2)]).then(() => undefined, (err: unknown) => (err as Error).message);
            expect(failure).to.contain("ENOSPC");
            await disk.close();
            const after = await openSound();
            expect(after.stored.entries[0]!.index).to.equal(1);
            expect(after.stored.hardState.term).to.equal(1);
            await after.close();
        });
    }
});
