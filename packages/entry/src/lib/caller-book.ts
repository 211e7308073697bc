/** The callers that wait for an answer, and the count of how they were answered. */
import { AttemptClass, BurnOutcome, Outcome, RefusalKind } from "@cassiapick/core";
import type { BurnFaultKind, BurnStatus, Refusal, StoredAnswer } from "@cassiapick/core";
import { createMetrics } from "@cassiapick/operations";
import { createBurnCounter } from "./burn-counter.js";
import { ExchangeEnd } from "./exchange.js";
import type { ExchangeResult } from "./exchange.js";
import { firstValue, fleetHeaders } from "./headers.js";
import { createCallerAnswers } from "./open-caller.js";
import type { CallerAnswers, OpenCaller } from "./open-caller.js";

/** Options of {@link createCallerBook}. */
export interface CallerBookOptions {
    hostId: string;
    startedAt: number;
    isDraining: () => boolean;
    destinationOf: (brand: string, kind: string) => string | undefined;
    now: () => number;
}

/** Waiting callers by request. */
export interface CallerBook {
    answers: CallerAnswers;
    open(caller: OpenCaller): void;
    find(requestId: string): OpenCaller | undefined;
    /** Passes a whole answer on, or ends the one that was streamed. */
    deliver(requestId: string, result: ExchangeResult | undefined): void;
    replay(requestId: string, answer: StoredAnswer): void;
    refuse(requestId: string, refusal: Refusal): void;
    /** Passes another entry host's answer on; a cut one is not passed on and the request stays open. */
    finishForwarded(caller: OpenCaller, result: ExchangeResult): void;
    /** Ends a request whose answer was streamed. */
    finishStreamed(caller: OpenCaller, whole: boolean): void;
    size(): number;
    burn(): BurnStatus;
    metrics(): Promise<string>;
}

const firstServerError = 500;

/** Creates an empty book. */
export const createCallerBook = (options: CallerBookOptions): CallerBook => {
    const callers = new Map<string, OpenCaller>();
    const counter = createBurnCounter(options.startedAt);
    const metrics = createMetrics({ now: options.now });
    metrics.addGauge("cassiapick_open_requests", "Requests that wait for an answer.", () => callers.size);
    const answers = createCallerAnswers({ hostId: options.hostId, isDraining: options.isDraining });

    const close = (caller: OpenCaller, outcome: BurnOutcome, fault?: BurnFaultKind): void => {
        callers.delete(caller.info.requestId);
        const destination = options.destinationOf(caller.info.brand, caller.info.kind);
        // Only the host that took the request from its caller counts it, so that the counts of all hosts add up.
        if (!caller.isPassedOn && destination !== undefined) {
            const durationMs = options.now() - caller.arrivedAt;
            metrics.record({ service: destination, brandClass: caller.info.brand, outcome, durationMs });
            counter.count(
                { brand: caller.info.brand, destination, outcome, durationMs, serverId: caller.lastServerId, fault },
                Date.now(),
            );
        }
    };

    const closeByStatus = (caller: OpenCaller, status: number): void => {
        if (status >= firstServerError) {
            close(caller, BurnOutcome.ServerError, AttemptClass.ServerError);
        }
        else {
            close(caller, BurnOutcome.Completed);
        }
    };

    const refuse = (requestId: string, refusal: Refusal): void => {
        const caller = callers.get(requestId);
        if (caller !== undefined) {
            answers.refuse(caller, refusal);
            close(caller, refusal.outcome === Outcome.NotRun ? BurnOutcome.NotRun : BurnOutcome.Unknown, refusal.kind);
        }
    };

    const deliver = (requestId: string, result: ExchangeResult | undefined): void => {
        const caller = callers.get(requestId);
        if (caller === undefined || result?.head === undefined) {
            return;
        }
        answers.whole(caller, result.head, result.body);
        closeByStatus(caller, result.head.status);
    };

    const replay = (requestId: string, answer: StoredAnswer): void => {
        const caller = callers.get(requestId);
        if (caller !== undefined) {
            answers.replay(caller, answer);
            closeByStatus(caller, answer.status);
        }
    };

    const finishStreamed = (caller: OpenCaller, whole: boolean): void => {
        if (whole) {
            caller.res.end();
            close(caller, BurnOutcome.Completed);
        }
        else {
            // A part must never look whole: the connection breaks.
            caller.res.destroy();
            close(caller, BurnOutcome.Unknown, AttemptClass.Cut);
        }
    };

    const countForwarded = (caller: OpenCaller, result: ExchangeResult): void => {
        const headers = result.head?.headers ?? {};
        caller.lastServerId = firstValue(headers[fleetHeaders.server]);
        const outcome = firstValue(headers[fleetHeaders.outcome]);
        const named = firstValue(headers[fleetHeaders.reason]);
        const reason = Object.values(RefusalKind).find(kind => kind === named);
        if (outcome === Outcome.NotRun || outcome === Outcome.Unknown) {
            close(caller, outcome === Outcome.NotRun ? BurnOutcome.NotRun : BurnOutcome.Unknown, reason);
        }
        else {
            closeByStatus(caller, result.head?.status ?? 0);
        }
    };

    const finishForwarded = (caller: OpenCaller, result: ExchangeResult): void => {
        if (result.streamed) {
            finishStreamed(caller, result.end === ExchangeEnd.Whole);
        }
        else if (result.end === ExchangeEnd.Whole && result.head !== undefined) {
            answers.passedOn(caller, result.head, result.body);
            countForwarded(caller, result);
        }
    };

    return {
        answers,
        open: caller => {
            callers.set(caller.info.requestId, caller);
        },
        find: requestId => callers.get(requestId),
        deliver,
        replay,
        refuse,
        finishForwarded,
        finishStreamed,
        size: () => callers.size,
        burn: () => counter.status(Date.now()),
        metrics: () => metrics.render(),
    };
};
