/** Frames: a length of four bytes, big-endian, then one cbor-x value, which is deflated when the length's highest bit is set. */
import { Decoder, Encoder } from "cbor-x";
import { deflateRawSync, inflateRawSync } from "node:zlib";

const lengthBytes = 4;
/** The largest frame that is sent or accepted, in bytes. */
export const maxFrameBytes = 32 * 1024 * 1024;

/** A frame that can't be accepted; the connection that carried it must be closed. */
export type FrameErr =
    | { kind: "frame-too-large"; bytes: number; message: string; }
    | { kind: "frame-malformed"; message: string; };

export type FrameResult = { ok: true; values: unknown[]; } | { ok: false; err: FrameErr; };

/** Collects the chunks of one connection into values. */
export interface FrameReader {
    push(chunk: Uint8Array): FrameResult;
    /** Whether a frame has come in part. */
    isAmidFrame(): boolean;
}

const encoder = new Encoder({ useRecords: false, mapsAsObjects: true });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Encodes one value as a frame. */
export const encodeFrame = (value: unknown): Buffer => {
    const body = encoder.encode(value);
    const frame = Buffer.allocUnsafe(lengthBytes + body.length);
    frame.writeUInt32BE(body.length, 0);
    body.copy(frame, lengthBytes);
    return frame;
};

/** Set in the length of a frame whose value is deflated. */
const deflatedBit = 0x8000_0000;
/** Shorter values are not worth the time, in bytes. */
const leastDeflatedBytes = 1024;
/** The fastest level: tables of routes and servers shrink to a fifth with it. */
const deflateLevel = 1;

/** Encodes one value as a frame, deflated when it is long. */
export const encodeCompactFrame = (value: unknown): Buffer => {
    const body = encoder.encode(value);
    if (body.length < leastDeflatedBytes) {
        return encodeFrame(value);
    }
    const deflated = deflateRawSync(body, { level: deflateLevel });
    const frame = Buffer.allocUnsafe(lengthBytes + deflated.length);
    frame.writeUInt32BE(deflatedBit + deflated.length, 0);
    deflated.copy(frame, lengthBytes);
    return frame;
};

const tooLarge = (bytes: number, limit: number): FrameResult => ({
    ok: false,
    err: {
        kind: "frame-too-large",
        bytes,
        message:
            `The frame has ${bytes} bytes and the limit is ${limit}. Check that the peer runs the same version of cassiapick.`,
    },
});

const malformed = (): FrameResult => ({
    ok: false,
    err: {
        kind: "frame-malformed",
        message: "The frame is not valid CBOR. Check that the peer speaks the protocol of cassiapick on this port.",
    },
});

/** Creates the reader of one connection. */
export const createFrameReader = (limit = maxFrameBytes): FrameReader => {
    let pending = Buffer.alloc(0);

    const push = (chunk: Uint8Array): FrameResult => {
        pending = pending.length === 0 ? Buffer.from(chunk) : Buffer.concat([pending, chunk]);
        const values: unknown[] = [];
        while (pending.length >= lengthBytes) {
            const length = pending.readUInt32BE(0);
            const isDeflated = length >= deflatedBit;
            const bytes = isDeflated ? length - deflatedBit : length;
            if (bytes > limit) {
                return tooLarge(bytes, limit);
            }
            const end = lengthBytes + bytes;
            if (pending.length < end) {
                break;
            }
            try {
                const body = pending.subarray(lengthBytes, end);
                values.push(decoder.decode(isDeflated ? inflateRawSync(body, { maxOutputLength: limit }) : body));
            }
            catch {
                return malformed();
            }
            pending = pending.subarray(end);
        }
        return { ok: true, values };
    };

    return { push, isAmidFrame: () => pending.length > 0 };
};
