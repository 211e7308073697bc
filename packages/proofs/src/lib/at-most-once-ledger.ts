/** What ran, what callers were told, and where the two contradict each other. */
import { Outcome } from "@cassiapick/core";
import type { ClaimAnswer, Refusal } from "@cassiapick/core";

/** One sending of a key by a caller. */
export interface Sending {
    requestId: string;
    key: string;
    fingerprint: string;
    sentAt: number;
    /** Whether it is certainly the first of its key. */
    isFirst: boolean;
    /** Whether nothing is wrong that would excuse a refusal. */
    mustBeTaken: boolean;
}

interface Run {
    requestId: string;
    fingerprint: string;
    answer: ClaimAnswer;
}

/** The ledger of one case. */
export interface Ledger {
    /** Runs a request at the fake backend server and returns its answer. */
    run(sending: Sending): ClaimAnswer;
    /** `heard` tells whether the caller still listened. */
    notRun(sending: Sending, heard: boolean): void;
    refused(sending: Sending, refusal: Refusal, heard: boolean): void;
    replayed(sending: Sending, answer: ClaimAnswer): void;
    violations: string[];
    granted: number;
    refusedCount: number;
    replayedCount: number;
}

const sameAnswer = (a: ClaimAnswer, b: ClaimAnswer): boolean =>
    a.status === b.status && JSON.stringify(a.headers) === JSON.stringify(b.headers)
    && a.body.length === b.body.length && a.body.every((byte, index) => byte === b.body[index]);

/** Creates an empty ledger. */
export const createLedger = (): Ledger => {
    const runs = new Map<string, Run[]>();
    const saidNotRun = new Set<string>();
    let made = 0;

    const runsOf = (key: string): Run[] => runs.get(key) ?? [];

    const makeAnswer = (sending: Sending): ClaimAnswer => {
        made += 1;
        const body = new TextEncoder().encode(`${sending.key} by ${sending.requestId} as ${made}`);
        return { status: 200 + made % 2, headers: [["x-booking", String(made)]], body };
    };

    const ledger: Ledger = {
        violations: [],
        granted: 0,
        refusedCount: 0,
        replayedCount: 0,
        run: sending => {
            const answer = makeAnswer(sending);
            const all = [...runsOf(sending.key), { requestId: sending.requestId, fingerprint: sending.fingerprint, answer }];
            runs.set(sending.key, all);
            if (all.length > 1) {
                ledger.violations.push(`${sending.key} ran ${all.length} times: ${all.map(run => run.requestId).join(", ")}`);
            }
            if (saidNotRun.has(sending.requestId)) {
                ledger.violations.push(`${sending.requestId} ran after it was said not to`);
            }
            return answer;
        },
        notRun: (sending, heard) => {
            saidNotRun.add(sending.requestId);
            if (heard && runsOf(sending.key).some(run => run.fingerprint === sending.fingerprint)) {
                ledger.violations.push(`${sending.requestId} was told that ${sending.key} had not run, and it had`);
            }
        },
        refused: (sending, refusal, heard) => {
            ledger.refusedCount += 1;
            if (refusal.outcome === Outcome.NotRun) {
                ledger.notRun(sending, heard);
            }
            if (sending.mustBeTaken) {
                ledger.violations.push(`${sending.requestId} was refused (${refusal.kind}) without a fault`);
            }
        },
        replayed: (sending, answer) => {
            ledger.replayedCount += 1;
            const first = runsOf(sending.key)[0];
            if (first?.fingerprint !== sending.fingerprint || !sameAnswer(first.answer, answer)) {
                ledger.violations.push(`${sending.requestId} got an answer that is not the whole first one of ${sending.key}`);
            }
        },
    };
    return ledger;
};
