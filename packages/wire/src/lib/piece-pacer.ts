/** Slows a body in very short pieces down to what the host's budget for them allows. */
import { freePieceBytes } from "@cassiapick/core";
import type { PieceBudget } from "@cassiapick/core";
import { GateReason } from "./read-gate.js";
import type { ReadGate } from "./read-gate.js";

/** The pacer of one body. */
export interface PiecePacer {
    /** Counts a piece of `bytes` bytes. */
    count(bytes: number): void;
    /** Ends the pacing; to be called when the body has ended or its connection is closed. */
    stop(): void;
}

/** The budget is asked after this many short pieces, so that usual bodies cost nothing. */
const piecesPerAsk = 256;

/** Creates the pacer of the body that arrives through `gate`; without a budget, it does nothing. */
export const createPiecePacer = (
    gate: ReadGate,
    budget: PieceBudget | undefined,
    now: () => number = () => performance.now(),
): PiecePacer => {
    if (budget === undefined) {
        return { count: () => undefined, stop: () => undefined };
    }
    let pieces = 0;
    let bytes = 0;
    let isAskDue = false;
    let isStopped = false;
    let openAt = 0;
    let timer: NodeJS.Timeout | undefined;

    const openInTime = (): void => {
        const remainingMs = openAt - now();
        timer = remainingMs > 0 ? setTimeout(openInTime, remainingMs) : undefined;
        if (timer === undefined) {
            gate.open(GateReason.Pace);
        }
    };

    const ask = (): void => {
        isAskDue = false;
        if (isStopped) {
            return;
        }
        const waitMs = budget.take(pieces, bytes, now());
        pieces = 0;
        bytes = 0;
        if (waitMs > 0) {
            openAt = now() + waitMs;
            gate.close(GateReason.Pace);
            timer ??= setTimeout(openInTime, waitMs);
        }
    };

    return {
        count: length => {
            pieces += 1;
            bytes += length;
            if (!isAskDue && pieces >= piecesPerAsk + bytes / freePieceBytes) {
                isAskDue = true;
                // All pieces that one read of the connection brings are counted together where the HTTP library allows it.
                process.nextTick(ask);
            }
        },
        stop: () => {
            isStopped = true;
            clearTimeout(timer);
            gate.open(GateReason.Pace);
        },
    };
};
