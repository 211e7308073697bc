/** Records which requests ran and what callers were answered, and finds contradictions between the two. */
import { Outcome } from "@cassiapick/core";
import type { ClaimAnswer, Refusal } from "@cassiapick/core";

/** One request of a caller under a key; a retry is another one. */
export interface KeyedRequest {
    requestId: string;
    key: string;
    fingerprint: string;
    sentAt: number;
    /** Whether it is certainly the first request of its key. */
    isFirst: boolean;
    /** Whether no fault excuses a refusal. */
    mustBeAccepted: boolean;
}

interface Execution {
    requestId: string;
    fingerprint: string;
    answer: ClaimAnswer;
}

/** The checker of one case. */
export interface AtMostOnceChecker {
    /** Runs a request at the simulated backend server and returns its answer. */
    execute(request: KeyedRequest): ClaimAnswer;
    /** Records the outcome "not run"; `isConnected` says whether the caller received it. */
    recordNotRun(request: KeyedRequest, isConnected: boolean): void;
    /** Records a refusal, with the outcome that it states. */
    recordRefusal(request: KeyedRequest, refusal: Refusal, isConnected: boolean): void;
    /** Records a replayed answer, which must be the answer of the first run. */
    recordReplay(request: KeyedRequest, answer: ClaimAnswer): void;
    violations: string[];
    grantedCount: number;
    refusedCount: number;
    replayedCount: number;
}

const isSameAnswer = (a: ClaimAnswer, b: ClaimAnswer): boolean =>
    a.status === b.status && JSON.stringify(a.headers) === JSON.stringify(b.headers)
    && a.body.length === b.body.length && a.body.every((byte, index) => byte === b.body[index]);

/** Creates a checker without records. */
export const createAtMostOnceChecker = (): AtMostOnceChecker => {
    const executionsByKey = new Map<string, Execution[]>();
    const reportedNotRun = new Set<string>();
    let answerCount = 0;

    const executionsOf = (key: string): Execution[] => executionsByKey.get(key) ?? [];

    const createAnswer = (request: KeyedRequest): ClaimAnswer => {
        answerCount += 1;
        const body = new TextEncoder().encode(`${request.key} by ${request.requestId} as ${answerCount}`);
        return { status: 200 + answerCount % 2, headers: [["x-booking", String(answerCount)]], body };
    };

    const checker: AtMostOnceChecker = {
        violations: [],
        grantedCount: 0,
        refusedCount: 0,
        replayedCount: 0,
        execute: request => {
            const answer = createAnswer(request);
            const executions = [...executionsOf(request.key), {
                requestId: request.requestId,
                fingerprint: request.fingerprint,
                answer,
            }];
            executionsByKey.set(request.key, executions);
            if (executions.length > 1) {
                checker.violations.push(
                    `${request.key} ran ${executions.length} times: ${
                        executions.map(execution => execution.requestId).join(", ")
                    }`,
                );
            }
            if (reportedNotRun.has(request.requestId)) {
                checker.violations.push(`${request.requestId} ran after it was reported as not run`);
            }
            return answer;
        },
        recordNotRun: (request, isConnected) => {
            reportedNotRun.add(request.requestId);
            if (isConnected && executionsOf(request.key).some(execution => execution.fingerprint === request.fingerprint)) {
                checker.violations.push(`${request.requestId} was answered that ${request.key} had not run, although it had`);
            }
        },
        recordRefusal: (request, refusal, isConnected) => {
            checker.refusedCount += 1;
            if (refusal.outcome === Outcome.NotRun) {
                checker.recordNotRun(request, isConnected);
            }
            if (request.mustBeAccepted) {
                checker.violations.push(`${request.requestId} was refused (${refusal.kind}) without a fault`);
            }
        },
        recordReplay: (request, answer) => {
            checker.replayedCount += 1;
            const firstExecution = executionsOf(request.key)[0];
            if (firstExecution?.fingerprint !== request.fingerprint || !isSameAnswer(firstExecution.answer, answer)) {
                checker.violations.push(`${request.requestId} got a replay that differs from the first answer of ${request.key}`);
            }
        },
    };
    return checker;
};
