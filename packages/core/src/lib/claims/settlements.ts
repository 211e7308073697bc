/** Releases and answers that are sent until every replica has confirmed them. */
import type { Addressed, ClaimMessage } from "./claim-message.js";

/** How long a silent replica is told again, in milliseconds. */
const persistMs = 120_000;
/** The longest pause before a silent replica is told again, in milliseconds. */
const maxPauseMs = 10_000;
/** The most settlements that are sent again; beyond it the oldest are given up. */
const maxOpen = 10_000;

interface Settlement {
    message: ClaimMessage;
    waiting: Set<string>;
    sentAt: number;
    /** Doubles each time: with a replica down, every booking of the last minutes waits here. */
    pauseMs: number;
    giveUpAt: number;
}

/** Options of {@link createSettlements}. */
export interface SettlementsCfg {
    resendMs: number;
}

/** The settlements of one host. */
export interface Settlements {
    start(attemptId: string, message: ClaimMessage, hostIds: string[], now: number): Addressed[];
    confirm(attemptId: string, hostId: string): void;
    tick(now: number): Addressed[];
    size(): number;
}

/** Creates an empty list of settlements. */
export const createSettlements = (cfg: SettlementsCfg): Settlements => {
    const open = new Map<string, Settlement>();

    const sendAgain = (settlement: Settlement): Addressed[] =>
        [...settlement.waiting].map(hostId => ({ hostId, message: settlement.message }));

    const start = (attemptId: string, message: ClaimMessage, hostIds: string[], now: number): Addressed[] => {
        const settlement = { message, waiting: new Set(hostIds), sentAt: now, pauseMs: cfg.resendMs, giveUpAt: now + persistMs };
        open.set(attemptId, settlement);
        if (open.size > maxOpen) {
            open.delete(open.keys().next().value!);
        }
        return sendAgain(settlement);
    };

    const confirm = (attemptId: string, hostId: string): void => {
        const settlement = open.get(attemptId);
        settlement?.waiting.delete(hostId);
        if (settlement?.waiting.size === 0) {
            open.delete(attemptId);
        }
    };

    const tick = (now: number): Addressed[] => {
        const actions: Addressed[] = [];
        for (const [attemptId, settlement] of open) {
            if (now >= settlement.giveUpAt) {
                open.delete(attemptId);
            }
            else if (now - settlement.sentAt >= settlement.pauseMs) {
                settlement.sentAt = now;
                settlement.pauseMs = Math.min(settlement.pauseMs * 2, maxPauseMs);
                actions.push(...sendAgain(settlement));
            }
        }
        return actions;
    };

    return { start, confirm, tick, size: () => open.size };
};
