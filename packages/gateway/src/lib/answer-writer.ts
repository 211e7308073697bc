/** Writes the bodies of answers whose heads have been written: small ones at once, large ones in turns on the host's link. */
import { createLinkSchedule } from "@cassiapick/core";
import type { ByteBudget, Transfer } from "@cassiapick/core";
import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";
import { maxBodyRestBytes } from "./body-rest.js";
import type { ServerAnswer } from "./http-call.js";

/** Options of {@link createAnswerWriter}. */
export interface AnswerWriterOptions {
    /** Counts the bytes that are held until their callers have read them. */
    budget: ByteBudget;
    /** Rate of this host's link, in bytes a millisecond, if known. */
    linkBytesPerMs?: number;
    clock: () => number;
}

/** Writes answers. */
export interface AnswerWriter {
    /**
     * Writes the body of `answer` to `res` and ends it. With `largePriority`, the priority of a request whose answer may be large, a
     * long body takes turns with others on the link.
     */
    write(res: ServerResponse, answer: ServerAnswer, largePriority?: number): void;
    /** Number of answers that take turns. */
    openLargeAnswers(): number;
}

/** A shorter body is written at once, in bytes. */
const minScheduledBytes = 16 * 1024;

/** A caller that takes nothing of a large answer for this long is cut off, so that it does not hold memory for good, in milliseconds. */
const maxUnreadMs = 15_000;

/** Streams the rest of a body as fast as the caller reads it. A truncated body must not look complete, so `res` is destroyed then. */
const streamRest = (res: ServerResponse, stream: Readable, isComplete: () => boolean): void => {
    if (stream.destroyed) {
        // No event would tell of its end any more.
        res.destroy();
        return;
    }
    stream.on("error", () => res.destroy());
    stream.on("end", () => {
        if (isComplete()) {
            res.end();
        }
        else {
            res.destroy();
        }
    });
    stream.on("close", () => {
        if (!stream.readableEnded) {
            res.destroy();
        }
    });
    res.on("close", () => stream.destroy());
    // One part is under way at a time, so that short ones don't queue up behind a caller that reads nothing.
    stream.on("data", (part: Buffer) => {
        stream.pause();
        res.write(part, () => stream.resume());
    });
};

/** Creates the writer of one host. */
export const createAnswerWriter = ({ budget, linkBytesPerMs, clock }: AnswerWriterOptions): AnswerWriter => {
    const schedule = createLinkSchedule({ bytesPerMs: linkBytesPerMs });
    const writers = new Map<Transfer, (bytes: number) => void>();
    let stallTimer: NodeJS.Timeout | undefined;

    const writeParts = (): void => {
        clearTimeout(stallTimer);
        stallTimer = undefined;
        for (let part = schedule.next(clock()); part !== undefined; part = schedule.next(clock())) {
            writers.get(part.transfer)?.(part.bytes);
        }
        const stallInMs = schedule.nextStallInMs(clock());
        if (Number.isFinite(stallInMs)) {
            stallTimer = setTimeout(writeParts, stallInMs);
        }
    };

    const writeInTurns = (res: ServerResponse, body: Buffer, priority: number): void => {
        const transfer: Transfer = { priority, remainingBytes: body.length };
        let offset = 0;
        let unreadTimer: NodeJS.Timeout | undefined;
        writers.set(transfer, bytes => {
            const part = body.subarray(offset, offset + bytes);
            offset += bytes;
            const isLast = offset === body.length;
            unreadTimer = setTimeout(() => res.destroy(), maxUnreadMs);
            res.write(part, () => {
                clearTimeout(unreadTimer);
                // Not before: a stopping HTTP server closes connections whose answers have been ended, written or not.
                if (isLast) {
                    res.end();
                }
                schedule.partTaken(transfer, clock());
                writeParts();
            });
        });
        schedule.add(transfer, clock());
        res.once("close", () => {
            clearTimeout(unreadTimer);
            writers.delete(transfer);
            schedule.remove(transfer);
            writeParts();
        });
        writeParts();
    };

    return {
        write: (res, answer, largePriority) => {
            const { body, stream } = answer;
            budget.add(body.length);
            res.once("close", () => budget.remove(body.length));
            if (stream !== undefined) {
                budget.add(maxBodyRestBytes);
                res.once("close", () => budget.remove(maxBodyRestBytes));
                res.write(body);
                streamRest(res, stream, () => answer.isComplete?.() === true);
            }
            else if (largePriority === undefined || body.length < minScheduledBytes) {
                res.end(body);
            }
            else {
                writeInTurns(res, body, largePriority);
            }
        },
        openLargeAnswers: () => schedule.size(),
    };
};
