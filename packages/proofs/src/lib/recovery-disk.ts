/** A disk in memory for simulated crashes of the process that uses it: a crash can lose whatever was not synced. */
import type { Disk } from "@cassiapick/state";

/** Message of the error with which a simulated crash ends the process that uses the disk. */
export const crashMessage = "The process crashed.";

interface StoredFile {
    synced: Uint8Array;
    current: Uint8Array;
}

/** A disk in memory that records what was synced. */
export interface MemoryDisk extends Disk {
    /** Returns the number of operations so far that changed or synced the disk. */
    operationCount(): number;
    /**
     * Returns possible contents of the folder if the process crashes now: with or without the new and renamed files that are
     * not synced, and with at most one file that keeps unsynced content.
     */
    crashStates(): Map<string, Uint8Array>[];
}

/** Options of {@link createMemoryDisk}. */
export interface MemoryDiskOptions {
    /** The initial files, all of them synced. */
    files?: ReadonlyMap<string, Uint8Array>;
    /**
     * The operation, counted from 1, in which the process crashes. A write, truncation or rename is then done but not
     * synced; a sync is not done.
     */
    crashAt?: number;
}

const emptyBytes = new Uint8Array(0);

const commonLength = (a: Uint8Array, b: Uint8Array): number => {
    const limit = Math.min(a.length, b.length);
    let length = 0;
    while (length < limit && a[length] === b[length]) {
        length += 1;
    }
    return length;
};

/**
 * Returns what a file can contain after a crash: its synced content, or its current content cut at any byte of the unsynced
 * part, or the same with the bytes after the cut set to zero.
 */
const crashContents = ({ synced, current }: StoredFile): Uint8Array[] => {
    const contents = [synced];
    for (let cut = commonLength(synced, current); cut <= current.length; cut += 1) {
        contents.push(current.slice(0, cut));
        const zeroed = current.slice();
        zeroed.fill(0, cut);
        contents.push(zeroed);
    }
    return contents;
};

/** Creates a disk in memory. */
export const createMemoryDisk = (options: MemoryDiskOptions = {}): MemoryDisk => {
    const initial = [...options.files ?? []].map((
        [name, bytes],
    ): [string, StoredFile] => [name, { synced: bytes, current: bytes }]);
    const folder = new Map(initial);
    let syncedFolder = new Map(initial);
    let operationCount = 0;

    const countOperation = (): void => {
        operationCount += 1;
        if (operationCount === options.crashAt) {
            throw new Error(crashMessage);
        }
    };

    const getOrCreateFile = (name: string): StoredFile => {
        const file = folder.get(name) ?? { synced: emptyBytes, current: emptyBytes };
        folder.set(name, file);
        return file;
    };

    /** Turns a crash in an operation into a rejected promise, since the operations of the real disk reject when they fail. */
    const rejectOnCrash = async (run: () => void): Promise<void> => {
        await Promise.resolve();
        run();
    };

    const write = (name: string, bytes: Uint8Array, position: number): void => {
        const file = getOrCreateFile(name);
        const content = new Uint8Array(Math.max(file.current.length, position + bytes.length));
        content.set(file.current);
        content.set(bytes, position);
        file.current = content;
        countOperation();
    };

    const truncate = (name: string, length: number): void => {
        const file = getOrCreateFile(name);
        file.current = file.current.slice(0, length);
        countOperation();
    };

    const sync = (name: string): void => {
        // The crash comes before the sync has taken effect.
        countOperation();
        const file = getOrCreateFile(name);
        file.synced = file.current;
    };

    const rename = (from: string, to: string): void => {
        folder.set(to, folder.get(from)!);
        folder.delete(from);
        countOperation();
    };

    const syncFolder = (): void => {
        countOperation();
        syncedFolder = new Map(folder);
    };

    const crashStates = (): Map<string, Uint8Array>[] => {
        const states: Map<string, Uint8Array>[] = [];
        for (const folderState of [syncedFolder, folder]) {
            const base = new Map([...folderState].map(([name, file]): [string, Uint8Array] => [name, file.synced]));
            states.push(base);
            for (const [name, file] of folderState) {
                if (file.synced !== file.current) {
                    states.push(...crashContents(file).map(content => new Map(base).set(name, content)));
                }
            }
        }
        return states;
    };

    return {
        read: name => Promise.resolve(folder.get(name)?.current),
        write: (name, bytes, position) => rejectOnCrash(() => write(name, bytes, position)),
        truncate: (name, length) => rejectOnCrash(() => truncate(name, length)),
        sync: name => rejectOnCrash(() => sync(name)),
        rename: (from, to) => rejectOnCrash(() => rename(from, to)),
        syncFolder: () => rejectOnCrash(syncFolder),
        close: () => Promise.resolve(),
        operationCount: () => operationCount,
        crashStates,
    };
};
