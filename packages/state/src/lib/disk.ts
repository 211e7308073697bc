/** The files of one data folder, behind an interface that tests can let fail. */
import { mkdir, open, readFile, rename } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";

/** The files of one folder. Nothing lasts until it is synced; every method rejects when the disk fails. */
export interface Disk {
    /** The content of a file; `undefined` when there is none. */
    read(name: string): Promise<Uint8Array | undefined>;
    /** Writes at `position`, creating the file when there is none. */
    write(name: string, bytes: Uint8Array, position: number): Promise<void>;
    truncate(name: string, length: number): Promise<void>;
    sync(name: string): Promise<void>;
    /** Replaces `to` by `from`; lasts once the folder is synced. */
    rename(from: string, to: string): Promise<void>;
    syncFolder(): Promise<void>;
    close(): Promise<void>;
}

const isMissing = (err: unknown): boolean => (err as NodeJS.ErrnoException).code === "ENOENT";

/** Opens a folder of the file system, and creates it when there is none. */
export const openDisk = async (folder: string): Promise<Disk> => {
    await mkdir(folder, { recursive: true });
    const handles = new Map<string, FileHandle>();

    const handleOf = async (name: string): Promise<FileHandle> => {
        const known = handles.get(name);
        if (known !== undefined) {
            return known;
        }
        const path = join(folder, name);
        const handle = await open(path, "r+").catch((err: unknown) => {
            if (isMissing(err)) {
                return open(path, "w+");
            }
            throw err;
        });
        handles.set(name, handle);
        return handle;
    };

    const forget = async (name: string): Promise<void> => {
        const handle = handles.get(name);
        handles.delete(name);
        await handle?.close();
    };

    return {
        read: async name => {
            try {
                return await readFile(join(folder, name));
            }
            catch (err) {
                if (isMissing(err)) {
                    return undefined;
                }
                throw err;
            }
        },
        write: async (name, bytes, position) => {
            const handle = await handleOf(name);
            let written = 0;
            while (written < bytes.length) {
                const result = await handle.write(bytes, written, bytes.length - written, position + written);
                written += result.bytesWritten;
            }
        },
        truncate: async (name, length) => {
            const handle = await handleOf(name);
            await handle.truncate(length);
        },
        sync: async name => {
            const handle = await handleOf(name);
            await handle.datasync();
        },
        rename: async (from, to) => {
            await forget(from);
            await forget(to);
            await rename(join(folder, from), join(folder, to));
        },
        syncFolder: async () => {
            const handle = await open(folder, "r");
            try {
                await handle.sync();
            }
            finally {
                await handle.close();
            }
        },
        close: async () => {
            for (const name of [...handles.keys()]) {
                await forget(name);
            }
        },
    };
};
