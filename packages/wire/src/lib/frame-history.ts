/**
 * Deflates values against those that one link has carried before in the same direction. A configuration that differs in one row
 * from the previous one, or is sent back to the host that published it, then takes some hundred bytes.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";

/** The window of deflate, so more history would have no effect, in bytes. */
const maxHistoryBytes = 32 * 1024;
/** The best level, as each byte is billed; for values that exceed the window the fastest one, as they gain little by more time. */
const bestLevel = 9;
const fastestLevel = 1;

/** What one direction of a link has carried in frames with history. Both ends hold the same bytes, as a link keeps the order. */
export interface FrameHistory {
    /** Deflates a value and adds it to the history; only for a frame that is sent next. */
    deflate(body: Uint8Array): Buffer;
    /** Inflates a value and adds it to the history. Throws if it is malformed or longer than `limitBytes`. */
    inflate(deflated: Uint8Array, limitBytes: number): Buffer;
}

/** Creates the empty history of a new link. */
export const createFrameHistory = (): FrameHistory => {
    let history = Buffer.alloc(0);

    const add = (body: Uint8Array): void => {
        const joined = Buffer.concat([history, body.subarray(-maxHistoryBytes)]);
        // Copied, so that the longer buffer is not kept.
        history = Buffer.from(joined.subarray(-maxHistoryBytes));
    };

    return {
        deflate: body => {
            const level = body.length <= maxHistoryBytes ? bestLevel : fastestLevel;
            const deflated = deflateRawSync(body, { level, dictionary: history });
            add(body);
            return deflated;
        },
        inflate: (deflated, limitBytes) => {
            const body = inflateRawSync(deflated, { maxOutputLength: limitBytes, dictionary: history });
            add(body);
            return body;
        },
    };
};
