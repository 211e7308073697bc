/** Reads a whole body of an HTTP request or answer. */
import type { Readable } from "node:stream";
import { createByteCollector } from "./byte-collector.js";
import type { PiecePacer } from "./piece-pacer.js";

/** Options of {@link collectBytes}. */
export interface CollectBytesOptions {
    maxBytes: number;
    /** Paces the connection that the body arrives on. */
    pacer?: PiecePacer;
}

/**
 * Resolves with the bytes of `source`, or with `undefined` as soon as there are more than `maxBytes`; the rest is discarded then.
 * Rejects if the source fails or ends early.
 */
export const collectBytes = (source: Readable, { maxBytes, pacer }: CollectBytesOptions): Promise<Buffer | undefined> =>
    new Promise((resolve, reject) => {
        const collector = createByteCollector();
        // The stream flows: one that waits for its reader keeps each piece as a buffer of its own.
        let isTooLong = false;
        source.on("data", (piece: Buffer) => {
            pacer?.count(piece.length);
            if (isTooLong) {
                return;
            }
            collector.push(piece);
            if (collector.length() > maxBytes) {
                isTooLong = true;
                collector.take();
                resolve(undefined);
            }
        });
        source.on("end", () => {
            pacer?.stop();
            resolve(collector.take());
        });
        source.on("error", reject);
        source.on("close", () => {
            pacer?.stop();
            reject(new Error("The body ended early."));
        });
    });
