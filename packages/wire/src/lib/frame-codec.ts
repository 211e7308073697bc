/** Frames: a length of four bytes, big-endian, then one cbor-x value. */
import { Decoder, Encoder } from "cbor-x";

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
            const bytes = pending.readUInt32BE(0);
            if (bytes > limit) {
                return tooLarge(bytes, limit);
            }
            const end = lengthBytes + bytes;
            if (pending.length < end) {
                break;
            }
            try {
                values.push(decoder.decode(pending.subarray(lengthBytes, end)));
            }
            catch {
                return malformed();
            }
            pending = pending.subarray(end);
        }
        return { ok: true, values };
    };

    return { push };
};
