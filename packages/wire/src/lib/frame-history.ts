/**
 * Deflates values against those that one link has carried before in the same direction. A configuration that differs in one row
 * from the previous one, or is sent back to the host that published it, then takes some hundred bytes.
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { applyPatch, createPatch } from "./value-patch.js";

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
    /**
     * Deflates a patch that turns the last long value into `body`, and keeps `body` as the last long value; `undefined` if there is
     * no such value or `body` is not long. Only for a frame that is sent next.
     */
    deflatePatch(body: Uint8Array): Buffer | undefined;
    /** Returns the value that {@link FrameHistory.deflatePatch} was called with. Throws like `inflate`. */
    inflatePatch(deflated: Uint8Array, limitBytes: number): Buffer;
}

/** Longer values are not kept, as there is one in each direction of each link, in bytes. */
const maxPatchBaseBytes = 2 * 1024 * 1024;

/** Creates the empty history of a new link. */
export const createFrameHistory = (): FrameHistory => {
    let history = Buffer.alloc(0);
    /** The last value that is longer than the window. */
    let longValue: Buffer | undefined;

    const keepLongValue = (body: Uint8Array): void => {
        if (body.length > maxHistoryBytes) {
            longValue = body.length > maxPatchBaseBytes ? undefined : Buffer.from(body);
        }
    };

    const add = (body: Uint8Array): void => {
        keepLongValue(body);
        const joined = Buffer.concat([history, body.subarray(-maxHistoryBytes)]);
        // Copied, so that the longer buffer is not kept.
        history = Buffer.from(joined.subarray(-maxHistoryBytes));
    };

    const deflate = (body: Uint8Array): Buffer => {
        const level = body.length <= maxHistoryBytes ? bestLevel : fastestLevel;
        const deflated = deflateRawSync(body, { level, dictionary: history });
        add(body);
        return deflated;
    };

    const inflate = (deflated: Uint8Array, limitBytes: number): Buffer => {
        const body = inflateRawSync(deflated, { maxOutputLength: limitBytes, dictionary: history });
        add(body);
        return body;
    };

    return {
        deflate,
        inflate,
        deflatePatch: body => {
            if (longValue === undefined || body.length <= maxHistoryBytes) {
                return undefined;
            }
            const deflated = deflate(createPatch(longValue, Buffer.from(body)));
            keepLongValue(body);
            return deflated;
        },
        inflatePatch: (deflated, limitBytes) => {
            if (longValue === undefined) {
                throw new Error("The frame is a patch, but the link has carried no value before.");
            }
            const base = longValue;
            const body = applyPatch(base, inflate(deflated, limitBytes), limitBytes);
            keepLongValue(body);
            return body;
        },
    };
};
