/**
 * The rest of a body that is too long to be buffered, as a stream. A stream that its reader has stopped keeps each piece as a buffer
 * of its own; this one joins them, and stops reading from the connection instead.
 */
import { createByteCollector, GateReason } from "@cassiapick/wire";
import type { ReadGate } from "@cassiapick/wire";
import { Readable } from "node:stream";

/** A body whose first part has been read. */
export interface BodyRest {
    /** Reads on only while its reader takes what it gets; fails if the body breaks off. */
    stream: Readable;
    /** Adds the next piece. */
    push(piece: Buffer): void;
    /** Ends the stream after the last piece. */
    end(): void;
}

/** More bytes than this are not read before the reader has taken some; what the kernel has delivered already comes on top. */
const maxPendingBytes = 64 * 1024;

/** The most memory that one rest takes, in bytes: what is pending, what its reader holds, and what the socket has read. */
export const maxBodyRestBytes = 3 * maxPendingBytes;

/** Creates the rest of a body that arrives through `gate`; `onDestroyed` is called when its reader wants no more of it. */
export const createBodyRest = (gate: ReadGate, onDestroyed: () => void): BodyRest => {
    const pending = createByteCollector();
    let isWanted = false;
    let isEnded = false;
    let isDeliveryDue = false;

    const deliver = (): void => {
        isDeliveryDue = false;
        if (!isWanted || stream.destroyed) {
            return;
        }
        if (pending.length() > 0) {
            isWanted = false;
            stream.push(pending.take());
            gate.open(GateReason.Unread);
        }
        else if (isEnded) {
            stream.push(null);
        }
    };

    /** Delivers what one read of the connection brings as one buffer. */
    const deliverSoon = (): void => {
        if (!isDeliveryDue) {
            isDeliveryDue = true;
            process.nextTick(deliver);
        }
    };

    const stream = new Readable({
        highWaterMark: 1,
        read: () => {
            isWanted = true;
            deliverSoon();
        },
        destroy: (err, done) => {
            pending.take();
            onDestroyed();
            done(err);
        },
    });

    return {
        stream,
        push: piece => {
            if (stream.destroyed) {
                return;
            }
            pending.push(piece);
            if (pending.length() >= maxPendingBytes) {
                gate.close(GateReason.Unread);
            }
            deliverSoon();
        },
        end: () => {
            isEnded = true;
            deliverSoon();
        },
    };
};
