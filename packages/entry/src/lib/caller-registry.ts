/** Holds the callers that wait for an answer, and counts how their requests end. */
import { AttemptClass, BurnOutcome, Outcome, RefusalKind } from "@cassiapick/core";
import type { BurnFaultKind, BurnStatus, Refusal, StoredAnswer } from "@cassiapick/core";
import { createMetrics } from "@cassiapick/operations";
import { createBurnCounter } from "./burn-counter.js";
import { createCallerAnswerWriter } from "./caller-answer-writer.js";
import type { CallerAnswerWriter, PendingCaller } from "./caller-answer-writer.js";
import { ExchangeEnd } from "./exchange.js";
import type { ExchangeResult } from "./exchange.js";
import { firstValue, fleetHeaders } from "./headers.js";

/** Options of {@link createCallerRegistry}. */
export interface CallerRegistryOptions {
    hostId: string;
    /** Start of the process, in milliseconds since the Unix epoch. */
    startedAt: number;
    isDraining: () => boolean;
    /** Returns the destination of a request; `undefined` when no route matches. */
    destinationOf: (brand: string, kind: string) => string | undefined;
    /** Monotonic time in milliseconds. */
    now: () => number;
}

/** Callers that wait for an answer, by request id. */
export interface CallerRegistry {
    answerWriter: CallerAnswerWriter;
    add(caller: PendingCaller): void;
    find(requestId: string): PendingCaller | undefined;
    /** Sends a complete answer; does nothing when there is none or the caller has been answered. */
    deliver(requestId: string, result: ExchangeResult | undefined): void;
    replay(requestId: string, answer: StoredAnswer): void;
    refuse(requestId: string, refusal: Refusal): void;
    /** Sends another entry host's answer; when that is incomplete and nothing was streamed, the request stays pending. */
    finishForwarded(caller: PendingCaller, result: ExchangeResult): void;
    /** Ends a request whose answer was streamed; aborts the caller's connection when the answer is incomplete. */
    finishStreamed(caller: PendingCaller, isComplete: boolean): void;
    pendingCount(): number;
    burnStatus(): BurnStatus;
    /** Metrics in the Prometheus text format. */
    metrics(): Promise<string>;
}

const firstServerErrorStatus = 500;

/** Creates an empty registry. */
export const createCallerRegistry = (options: CallerRegistryOptions): CallerRegistry => {
    const callers = new Map<string, PendingCaller>();
    const burnCounter = createBurnCounter(options.startedAt);
    const metrics = createMetrics({ now: options.now });
    metrics.addGauge("cassiapick_open_requests", "Requests that wait for an answer.", () => callers.size);
    const answerWriter = createCallerAnswerWriter({ hostId: options.hostId, isDraining: options.isDraining });

    const close = (caller: PendingCaller, outcome: BurnOutcome, fault?: BurnFaultKind): void => {
        callers.delete(caller.info.requestId);
        const destination = options.destinationOf(caller.info.brand, caller.info.kind);
        // Only the host that the caller sent the request to counts it, so that no request is counted twice in the fleet.
        if (!caller.isForwarded && destination !== undefined) {
            const durationMs = options.now() - caller.arrivedAt;
            metrics.record({ service: destination, brandClass: caller.info.brand, outcome, durationMs });
            burnCounter.count(
                { brand: caller.info.brand, destination, outcome, durationMs, serverId: caller.lastServerId, fault },
                Date.now(),
            );
        }
    };

    const closeByStatus = (caller: PendingCaller, status: number): void => {
        if (status >= firstServerErrorStatus) {
            close(caller, BurnOutcome.ServerError, AttemptClass.ServerError);
        }
        else {
            close(caller, BurnOutcome.Completed);
        }
    };

    const refuse = (requestId: string, refusal: Refusal): void => {
        const caller = callers.get(requestId);
        if (caller !== undefined) {
            answerWriter.sendRefusal(caller, refusal);
            close(caller, refusal.outcome === Outcome.NotRun ? BurnOutcome.NotRun : BurnOutcome.Unknown, refusal.kind);
        }
    };

    const deliver = (requestId: string, result: ExchangeResult | undefined): void => {
        const caller = callers.get(requestId);
        if (caller === undefined || result?.head === undefined) {
            return;
        }
        answerWriter.sendComplete(caller, result.head, result.body);
        closeByStatus(caller, result.head.status);
    };

    const replay = (requestId: string, answer: StoredAnswer): void => {
        const caller = callers.get(requestId);
        if (caller !== undefined) {
            answerWriter.sendReplay(caller, answer);
            closeByStatus(caller, answer.status);
        }
    };

    const finishStreamed = (caller: PendingCaller, isComplete: boolean): void => {
        if (isComplete) {
            caller.res.end();
            close(caller, BurnOutcome.Completed);
        }
        else {
            // Aborts the connection, so that the caller can't take the partial answer for a complete one.
            caller.res.destroy();
            close(caller, BurnOutcome.Unknown, AttemptClass.Cut);
        }
    };

    const closeForwarded = (caller: PendingCaller, result: ExchangeResult): void => {
        const headers = result.head?.headers ?? {};
        caller.lastServerId = firstValue(headers[fleetHeaders.server]);
        const outcome = firstValue(headers[fleetHeaders.outcome]);
        const reasonHeader = firstValue(headers[fleetHeaders.reason]);
        const refusalKind = Object.values(RefusalKind).find(kind => kind === reasonHeader);
        if (outcome === Outcome.NotRun || outcome === Outcome.Unknown) {
            close(caller, outcome === Outcome.NotRun ? BurnOutcome.NotRun : BurnOutcome.Unknown, refusalKind);
        }
        else {
            closeByStatus(caller, result.head?.status ?? 0);
        }
    };

    const finishForwarded = (caller: PendingCaller, result: ExchangeResult): void => {
        if (result.streamed) {
            finishStreamed(caller, result.end === ExchangeEnd.Complete);
        }
        else if (result.end === ExchangeEnd.Complete && result.head !== undefined) {
            answerWriter.sendForwarded(caller, result.head, result.body);
            closeForwarded(caller, result);
        }
    };

    return {
        answerWriter,
        add: caller => {
            callers.set(caller.info.requestId, caller);
        },
        find: requestId => callers.get(requestId),
        deliver,
        replay,
        refuse,
        finishForwarded,
        finishStreamed,
        pendingCount: () => callers.size,
        burnStatus: () => burnCounter.status(Date.now()),
        metrics: () => metrics.render(),
    };
};
