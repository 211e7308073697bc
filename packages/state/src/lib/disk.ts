/** File operations on one data folder, behind an interface so that tests can inject failures. */
import { mkdir, open, readFile, rename } from "node:fs/promises";
import type { FileHandle } from "node:fs/promises";
import { join } from "node:path";

/** The files of one folder. Writes are durable only after a sync. Every method rejects when the disk fails. */
export interface Disk {
    /** Reads a whole file; `undefined` when it does not exist. */
    read(name: string): Promise<Uint8Array | undefined>;
    /** Writes all bytes at `position`; creates the file when it does not exist. */
    write(name: string, bytes: Uint8Array, position: number): Promise<void>;
    truncate(name: string, length: number): Promise<void>;
    sync(name: string): Promise<void>;
    /** Atomically replaces `to` by `from`; durable once the folder is synced. */
    rename(from: string, to: string): Promise<void>;
    syncFolder(): Promise<void>;
    close(): Promise<void>;
}

const isNotFound = (err: unknown): boolean => (err as NodeJS.ErrnoException).code === "ENOENT";

/** Opens a folder of the file system; creates it when it does not exist. */
export const openDisk = async (folder: string): Promise<Disk> => {
    await mkdir(folder, { recursive: true });
    const handles = new Map<string, FileHandle>();

    const getOrOpenHandle = async (name: string): Promise<FileHandle> => {
        const existing = handles.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const path = join(folder, name);
        const handle = await open(path, "r+").catch((err: unknown) => {
            if (isNotFound(err)) {
                return open(path, "w+");
            }
            throw err;
        });
        handles.set(name, handle);
        return handle;
    };

    const closeHandle = async (name: string): Promise<void> => {
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
                if (isNotFound(err)) {
                    return undefined;
                }
                throw err;
            }
        },
        write: async (name, bytes, position) => {
            const handle = await getOrOpenHandle(name);
            let writtenBytes = 0;
            while (writtenBytes < bytes.length) {
                const result = await handle.write(bytes, writtenBytes, bytes.length - writtenBytes, position + writtenBytes);
                if (result.bytesWritten === 0) {
                    throw new Error(`The disk took ${writtenBytes} of ${bytes.length} bytes of '${name}'.`);
                }
                writtenBytes += result.bytesWritten;
            }
        },
        truncate: async (name, length) => {
            const handle = await getOrOpenHandle(name);
            await handle.truncate(length);
        },
        sync: async name => {
            const handle = await getOrOpenHandle(name);
            await handle.datasync();
        },
        rename: async (from, to) => {
            await closeHandle(from);
            await closeHandle(to);
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
                await closeHandle(name);
            }
        },
    };
};
