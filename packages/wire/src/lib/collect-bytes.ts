/** Reads a whole body of an HTTP request or answer. */
import type { Readable } from "node:stream";
import { createByteCollector } from "./byte-collector.js";

/**
 * Resolves with the bytes of `source`, or with `undefined` as soon as there are more than `maxBytes`; the rest is discarded then.
 * Rejects if the source fails or ends early.
 */
export const collectBytes = (source: Readable, maxBytes: number): Promise<Buffer | undefined> =>
    new Promise((resolve, reject) => {
        const collector = createByteCollector();
        // The stream flows: one that waits for its reader keeps each piece as a buffer of its own.
        const collect = (piece: Buffer): void => {
            collector.push(piece);
            if (collector.length() > maxBytes) {
                collector.take();
                source.off("data", collect);
                source.resume();
                resolve(undefined);
            }
        };
        source.on("data", collect);
        source.on("end", () => resolve(collector.take()));
        source.on("error", reject);
        source.on("close", () => reject(new Error("The body ended early.")));
    });
