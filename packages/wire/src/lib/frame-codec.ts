/**
 * Encoding of frames: a big-endian length of four bytes, then one cbor-x value, which is deflated when the highest bit of the
 * length is set. If the next bit is set too, earlier values of the link are the dictionary; if the third bit is set as well, the
 * frame holds a patch of the last long value in place of a value. A value of less than 32 bytes may have one byte before it in place of the four: its length plus 32, which no longer frame begins with.
 */
import { Decoder, Encoder } from "cbor-x";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { createByteCollector } from "./byte-collector.js";
import { createFrameHistory } from "./frame-history.js";
import type { FrameHistory } from "./frame-history.js";

const lengthPrefixBytes = 4;
/** The default limit for a received frame and for its inflated value, in bytes. */
export const maxFrameBytes = 32 * 1024 * 1024;
/** The limit for the first frame on an accepted connection, in bytes: it says who has connected. */
export const maxHelloBytes = 16 * 1024;

/** An invalid frame. The connection that it arrived on must be closed. */
export type FrameErr =
    | { kind: "frame-too-large"; bytes: number; message: string; }
    | { kind: "frame-malformed"; message: string; };

export type FrameResult = { ok: true; values: unknown[]; } | { ok: false; err: FrameErr; };

/** Decodes the chunks of one connection into values. */
export interface FrameReader {
    /** Adds a chunk and returns the values of all frames that it completes. */
    push(chunk: Uint8Array): FrameResult;
    /** Whether the start of an incomplete frame has been received. */
    hasPartialFrame(): boolean;
}

/** Maps have headers of one byte where cbor-x takes three by default. */
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, variableMapSize: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one value as a frame. */
export const encodeFrame = (value: unknown): Buffer => {
    const body = encoder.encode(value);
    const frame = Buffer.allocUnsafe(lengthPrefixBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, lengthPrefixBytes);
    return frame;
};

/** The bit of the length that marks a deflated value. */
const deflatedBit = 0x8000_0000;
/** Shorter values are not deflated, because the saving is not worth the time, in bytes. */
const minDeflateBytes = 1024;
/** The fastest level; it compresses tables of routes and servers to a fifth of their size. */
const deflateLevel = 1;

/** The first byte of a frame with a short length is this and the length; `maxFrameBytes` keeps other frames from such a start. */
const tinyBase = 0x20;
const maxTinyBytes = 0x1f;
/** The bit of the length that marks a value for which earlier values of the link are the dictionary. */
const historyBit = 0x4000_0000;
/** If the bit after that is set too, the frame holds a patch. */
const patchBit = 0x2000_0000;
/** Shorter values gain little, in bytes. */
const minHistoryBytes = 160;

const deflatedFrame = (deflated: Buffer, bits: number): Buffer => {
    const frame = Buffer.allocUnsafe(lengthPrefixBytes + deflated.length);
    frame.writeUInt32BE(bits + deflated.length, 0);
    deflated.copy(frame, lengthPrefixBytes);
    return frame;
};

/** Encodes one value as a frame; deflates values of `minDeflateBytes` or more. */
export const encodeCompactFrame = (value: unknown): Buffer => {
    const body = encoder.encode(value);
    if (body.length < minDeflateBytes) {
        return encodeFrame(value);
    }
    return deflatedFrame(deflateRawSync(body, { level: deflateLevel }), deflatedBit);
};

/**
 * Encodes one value as the shortest frame for a link that has carried the values of `history`: short values have a short length,
 * long ones are deflated. Earlier versions don't understand these frames; with `takesPatches`, values that are longer than the
 * window of deflate are sent as patches, which only peers that say so understand.
 */
export const encodeFrameWithHistory = (value: unknown, history: FrameHistory, takesPatches = false): Buffer => {
    const body = encoder.encode(value);
    if (body.length <= maxTinyBytes) {
        return Buffer.concat([Buffer.of(tinyBase + body.length), body]);
    }
    if (body.length < minHistoryBytes) {
        return encodeFrame(value);
    }
    const patch = takesPatches ? history.deflatePatch(body) : undefined;
    return patch === undefined
        ? deflatedFrame(history.deflate(body), deflatedBit + historyBit)
        : deflatedFrame(patch, deflatedBit + historyBit + patchBit);
};

const tooLargeResult = (bytes: number, limitBytes: number): FrameResult => ({
    ok: false,
    err: {
        kind: "frame-too-large",
        bytes,
        message:
            `The frame has ${bytes} bytes and the limit is ${limitBytes}. Check that the peer runs the same version of cassiapick.`,
    },
});

const malformedResult = (): FrameResult => ({
    ok: false,
    err: {
        kind: "frame-malformed",
        message: "The frame is not valid CBOR. Check that the peer uses the cassiapick protocol on this port.",
    },
});

/**
 * Creates the reader of one connection. `maxBytes` limits each frame and each inflated value, and `maxFirstBytes` the first one:
 * until then, it is not known who has connected.
 */
export const createFrameReader = (maxBytes = maxFrameBytes, maxFirstBytes = maxBytes): FrameReader => {
    let limitBytes = maxFirstBytes;
    /** Bytes that are not decoded yet. They are joined when a frame is complete, so that a long frame is copied once. */
    const pending = createByteCollector();
    /** Length of the incomplete frame at the start of `pending`, in bytes; 0 while it is unknown. */
    let awaitedBytes = 0;
    const history = createFrameHistory();

    const inflate = (body: Uint8Array, hasHistory: boolean, isPatch: boolean): Buffer => {
        if (isPatch) {
            return history.inflatePatch(body, limitBytes);
        }
        return hasHistory ? history.inflate(body, limitBytes) : inflateRawSync(body, { maxOutputLength: limitBytes });
    };

    const push = (chunk: Uint8Array): FrameResult => {
        pending.push(chunk);
        const values: unknown[] = [];
        if (pending.length() < awaitedBytes) {
            return { ok: true, values };
        }
        awaitedBytes = 0;
        let buffered = pending.take();
        while (buffered.length > 0) {
            const isTiny = buffered[0]! >= tinyBase && buffered[0]! <= tinyBase + maxTinyBytes;
            const prefixBytes = isTiny ? 1 : lengthPrefixBytes;
            if (buffered.length < prefixBytes) {
                break;
            }
            const length = isTiny ? buffered[0]! - tinyBase : buffered.readUInt32BE(0);
            const isDeflated = length >= deflatedBit;
            const hasHistory = isDeflated && length - deflatedBit >= historyBit;
            const isPatch = hasHistory && length - deflatedBit - historyBit >= patchBit;
            const bytes = length - (isDeflated ? deflatedBit : 0) - (hasHistory ? historyBit : 0) - (isPatch ? patchBit : 0);
            if (bytes > limitBytes) {
                return tooLargeResult(bytes, limitBytes);
            }
            const frameEnd = prefixBytes + bytes;
            if (buffered.length < frameEnd) {
                awaitedBytes = frameEnd;
                break;
            }
            try {
                const body = buffered.subarray(prefixBytes, frameEnd);
                values.push(decoder.decode(isDeflated ? inflate(body, hasHistory, isPatch) : body));
                limitBytes = maxBytes;
            }
            catch {
                return malformedResult();
            }
            buffered = buffered.subarray(frameEnd);
        }
        pending.push(buffered);
        return { ok: true, values };
    };

    return { push, hasPartialFrame: () => pending.length() > 0 };
};
