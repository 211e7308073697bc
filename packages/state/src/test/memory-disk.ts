import type { Disk } from "../lib/disk.js";

/** A disk in memory that may be full. */
export interface MemoryDisk extends Disk {
    setFull(isFull: boolean): void;
}

/** Creates an empty disk; a file that is replaced is durable after `replaceMs` milliseconds. */

export const createMemoryDisk = (replaceMs = 0): MemoryDisk => {
    const files = new Map<string, Buffer>();
    let isFull = false;
    const done = Promise.resolve();
    return {
        setFull: full => {
            isFull = full;
        },
        read: name => Promise.resolve(files.get(name)),
        write: (name, bytes, position) => {
            if (isFull) {
                return Promise.reject(new Error("ENOSPC: no space left on device"));
            }
            const file = files.get(name) ?? Buffer.alloc(0);
            const padding = Buffer.alloc(Math.max(0, position - file.length));
            files.set(name, Buffer.concat([file.subarray(0, position), padding, bytes, file.subarray(position + bytes.length)]));
            return done;
        },
        truncate: (name, length) => {
            files.set(name, (files.get(name) ?? Buffer.alloc(0)).subarray(0, length));
            return done;
        },
        sync: () => done,
        rename: (from, to) => {
            files.set(to, files.get(from)!);
            files.delete(from);
            return done;
        },
        syncFolder: () => replaceMs === 0 ? done : new Promise(resolve => setTimeout(resolve, replaceMs)),
        close: () => done,
    };
};
