/** A disk in memory that keeps only what was synced, and that crashes on command. */
import type { Disk } from "@cassiapick/state";

/** The crash that was asked for; whoever meets it is the process that died. */
export const crashMessage = "The process crashed.";

interface StoredFile {
    synced: Uint8Array;
    current: Uint8Array;
}

/** A disk in memory. */
export interface MemoryDisk extends Disk {
    /** How many operations have changed the disk. */
    operations(): number;
    /** Every content that the folder can have after a crash now. */
    crashStates(): Map<string, Uint8Array>[];
}

/** Options of {@link createMemoryDisk}. */
export interface MemoryDiskOptions {
    files?: ReadonlyMap<string, Uint8Array>;
    /** The changing operation, counted from 1, in which the process crashes; that operation is done but not synced. */
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

/** What a file can hold after a crash: every cut of what was not synced, with and without a tail of zeros. */
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

/** Creates a disk that holds `files`, all of them synced. */
export const createMemoryDisk = (options: MemoryDiskOptions = {}): MemoryDisk => {
    const initial = [...options.files ?? []].map((
        [name, bytes],
    ): [string, StoredFile] => [name, { synced: bytes, current: bytes }]);
    const folder = new Map(initial);
    let syncedFolder = new Map(initial);
    let operations = 0;

    const count = (): void => {
        operations += 1;
        if (operations === options.crashAt) {
            throw new Error(crashMessage);
        }
    };

    const fileOf = (name: string): StoredFile => {
        const file = folder.get(name) ?? { synced: emptyBytes, current: emptyBytes };
        folder.set(name, file);
        return file;
    };

    /** Turns a crash in the middle of an operation into a rejection, as the real disk does. */
    const attempt = async (run: () => void): Promise<void> => {
        await Promise.resolve();
        run();
    };

    const write = (name: string, bytes: Uint8Array, position: number): void => {
        const file = fileOf(name);
        const next = new Uint8Array(Math.max(file.current.length, position + bytes.length));
        next.set(file.current);
        next.set(bytes, position);
        file.current = next;
        count();
    };

    const truncate = (name: string, length: number): void => {
        const file = fileOf(name);
        file.current = file.current.slice(0, length);
        count();
    };

    const sync = (name: string): void => {
        // The crash comes before the sync has done its work.
        count();
        const file = fileOf(name);
        file.synced = file.current;
    };

    const rename = (from: string, to: string): void => {
        folder.set(to, folder.get(from)!);
        folder.delete(from);
        count();
    };

    const syncFolder = (): void => {
        count();
        syncedFolder = new Map(folder);
    };

    const crashStates = (): Map<string, Uint8Array>[] => {
        const states: Map<string, Uint8Array>[] = [];
        for (const names of [syncedFolder, folder]) {
            const base = new Map([...names].map(([name, file]): [string, Uint8Array] => [name, file.synced]));
            states.push(base);
            for (const [name, file] of names) {
                if (file.synced !== file.current) {
                    states.push(...crashContents(file).map(content => new Map(base).set(name, content)));
                }
            }
        }
        return states;
    };

    return {
        read: name => Promise.resolve(folder.get(name)?.current),
        write: (name, bytes, position) => attempt(() => write(name, bytes, position)),
        truncate: (name, length) => attempt(() => truncate(name, length)),
        sync: name => attempt(() => sync(name)),
        rename: (from, to) => attempt(() => rename(from, to)),
        syncFolder: () => attempt(syncFolder),
        close: () => Promise.resolve(),
        operations: () => operations,
        crashStates,
    };
};
