/** Reads the body of a request, within the bytes that the host may hold. */
import type { ByteBudget, PieceBudget } from "@cassiapick/core";
import { createByteCollector, createPiecePacer, createReadGate } from "@cassiapick/wire";
import type { IncomingMessage } from "node:http";
import { headerValue } from "./headers.js";

export type BodyResult =
    /** `release` is to be called once the body is no longer held. */
    | { kind: "complete"; body: Buffer; release: () => void; }
    | { kind: "too-long"; }
    /** The host holds too many bytes to take this body too; it is not read on. */
    | { kind: "no-room"; }
    /** The connection closed before the end of the body. */
    | { kind: "cut"; };

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
    maxBytes: number;
    /** The bytes that the host may hold, of requests and answers. */
    budget?: ByteBudget;
    /** The short pieces of bodies that the host takes. */
    pieceBudget?: PieceBudget;
}

/** Bodies up to this length are read in any case, in bytes; they are fewer than the host has connections. */
const alwaysReadBytes = 4096;

/** Returns the length that the head of a request names; `undefined` if there is none. */
const contentLengthOf = (req: IncomingMessage): number | undefined => {
    const value = headerValue(req.rawHeaders, "content-length");
    return value === undefined ? undefined : Number(value);
};

/** Resolves once the body is complete, longer than `maxBytes`, without room, or cut; never rejects. */
export const readBody = (req: IncomingMessage, { maxBytes, budget, pieceBudget }: ReadBodyOptions): Promise<BodyResult> =>
    new Promise(resolve => {
        const length = contentLengthOf(req);
        const collector = createByteCollector();
        const pacer = createPiecePacer(createReadGate(req.socket), pieceBudget);
        let bytes = 0;
        let heldBytes = 0;
        let isEnded = false;

        const release = (): void => {
            budget?.remove(heldBytes);
            heldBytes = 0;
        };

        const end = (result: BodyResult): void => {
            if (isEnded) {
                return;
            }
            isEnded = true;
            if (result.kind !== "complete") {
                release();
                collector.take();
            }
            resolve(result);
        };

        /** Counts `count` bytes; returns whether they may be held. */
        const hold = (count: number): boolean => {
            if (heldBytes + count > alwaysReadBytes && budget?.hasRoomForBody(count, heldBytes) === false) {
                return false;
            }
            budget?.add(count);
            heldBytes += count;
            return true;
        };

        if (length !== undefined && length > maxBytes) {
            end({ kind: "too-long" });
            return;
        }
        if (length !== undefined && !hold(length)) {
            end({ kind: "no-room" });
            return;
        }
        // The whole length is held from the start, so that chunks and the body don't exist side by side.
        const whole = length === undefined ? undefined : Buffer.allocUnsafe(length);
        req.on("data", (chunk: Buffer) => {
            pacer.count(chunk.length);
            if (isEnded) {
                return;
            }
            if (bytes + chunk.length > maxBytes) {
                end({ kind: "too-long" });
                return;
            }
            if (whole === undefined) {
                const before = collector.heldBytes();
                collector.push(chunk);
                // While the pieces are joined, they exist twice.
                if (!hold(collector.heldBytes() - before + chunk.length)) {
                    end({ kind: "no-room" });
                    return;
                }
            }
            else {
                chunk.copy(whole, bytes);
            }
            bytes += chunk.length;
        });
        req.on("end", () => {
            pacer.stop();
            end({ kind: "complete", body: whole ?? collector.take(), release });
        });
        req.on("close", () => {
            pacer.stop();
            end({ kind: "cut" });
        });
        req.on("error", () => end({ kind: "cut" }));
    });
