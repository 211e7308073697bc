/** Sends attempts and probes to backend servers, and forwards requests to other entry hosts. */
import { AttemptClass, createPieceBudget, createTrialBudget, EntryEventKind, ForwardClass } from "@cassiapick/core";
import type { EntryAction, EntryActionKind, EntryEvent, StoredAnswer } from "@cassiapick/core";
import type { PendingCaller } from "./caller-answer-writer.js";
import { ExchangeEnd, startExchange } from "./exchange.js";
import type { AnswerHead, AnswerSink, Exchange, ExchangeResult } from "./exchange.js";
import { endToEndHeaders, firstValue, fleetHeaders } from "./headers.js";
import type { HttpDispatchers } from "./http-dispatchers.js";
import { refusesConnections } from "./refuses-connections.js";

type AttemptAction = Extract<EntryAction, { kind: EntryActionKind.Attempt; }>;
type ProbeAction = Extract<EntryAction, { kind: EntryActionKind.Probe; }>;
type ForwardAction = Extract<EntryAction, { kind: EntryActionKind.Forward; }>;

/** Options of {@link createAttemptRunner}. */
export interface AttemptRunnerOptions {
    dispatchers: HttpDispatchers;
    /** Answers larger than this many bytes are streamed. */
    bufferBytes: number;
    /** The token that authenticates forwarded requests at other entry hosts. */
    hopToken: string;
    /** Monotonic time in milliseconds. */
    now: () => number;
    /** Sends an event to the entry node, which decides about attempts, probes and forwarding. */
    sendEvent: (event: EntryEvent) => void;
    /** Creates the sink that streams a large answer to the caller. */
    createSink: (caller: PendingCaller) => AnswerSink;
    /** Called when a streamed answer has ended. */
    onStreamed: (caller: PendingCaller, isComplete: boolean) => void;
    /** Called when forwarding has ended, also when the answer is incomplete. */
    onForwarded: (caller: PendingCaller, result: ExchangeResult) => void;
}

/** Runs attempts, probes and forwarded requests. */
export interface AttemptRunner {
    startAttempt(action: AttemptAction, caller: PendingCaller): void;
    forwardRequest(action: ForwardAction, caller: PendingCaller): void;
    /** Sends a copy of the caller's idempotent request, or an OPTIONS request without a caller, and discards the answer. */
    sendProbe(action: ProbeAction, caller: PendingCaller | undefined): void;
    cancelAttempt(attemptId: string): void;
    /** Removes and returns the complete answer of an attempt; it is kept until it is taken or discarded. */
    takeAnswer(attemptId: string): ExchangeResult | undefined;
    /** Discards the answers of a request that have not been taken. */
    discardAnswers(requestId: string): void;
    /** Number of attempts in progress; probes and forwarded requests are not counted. */
    runningCount(): number;
}

const firstServerErrorStatus = 500;
const msPerSecond = 1000;
const probeTimeoutMs = 2000;
const emptyBody = Buffer.alloc(0);

/** Discards a probe's answer. */
const discardingSink: AnswerSink = { begin: () => undefined, write: () => true };

/** Bounds the connections that show whether servers have ended, while servers cut many requests. */
const endChecks = { burst: 10, ratePerS: 4 };

/** The ends that leave a complete head, which then says how the attempt ended. */
type AnsweredEnd = ExchangeEnd.Complete | ExchangeEnd.Oversized;

const isAnsweredEnd = (end: ExchangeEnd): end is AnsweredEnd => end === ExchangeEnd.Complete || end === ExchangeEnd.Oversized;

const attemptClassByEnd: Readonly<Record<Exclude<ExchangeEnd, AnsweredEnd>, AttemptClass>> = {
    [ExchangeEnd.NotSent]: AttemptClass.NotSent,
    [ExchangeEnd.Cut]: AttemptClass.Cut,
    [ExchangeEnd.Timeout]: AttemptClass.Timeout,
    [ExchangeEnd.Corrupt]: AttemptClass.Corrupt,
    [ExchangeEnd.Cancelled]: AttemptClass.Cancelled,
};

const forwardClassByEnd: Readonly<Record<ExchangeEnd, ForwardClass>> = {
    [ExchangeEnd.Complete]: ForwardClass.Completed,
    [ExchangeEnd.NotSent]: ForwardClass.NotSent,
    [ExchangeEnd.Cut]: ForwardClass.Cut,
    [ExchangeEnd.Timeout]: ForwardClass.Cut,
    [ExchangeEnd.Corrupt]: ForwardClass.Cut,
    [ExchangeEnd.Oversized]: ForwardClass.Cut,
    [ExchangeEnd.Cancelled]: ForwardClass.Cut,
};

/** Whether the backend server reports that it did not run the request: by its mark, with a client or server error (400 or higher). */
const reportsNotRun = (head: AnswerHead): boolean =>
    firstValue(head.headers[fleetHeaders.outcome]) === "not-run" && head.status >= 400;

const classify = (result: ExchangeResult): AttemptClass => {
    if (!isAnsweredEnd(result.end)) {
        return attemptClassByEnd[result.end];
    }
    if (result.head === undefined) {
        return AttemptClass.Cut;
    }
    if (reportsNotRun(result.head)) {
        return AttemptClass.Shed;
    }
    return result.head.status >= firstServerErrorStatus ? AttemptClass.ServerError : AttemptClass.Success;
};

const readRetryAfterMs = (head: AnswerHead | undefined): number | undefined => {
    const seconds = Number(firstValue(head?.headers["retry-after"]));
    return Number.isFinite(seconds) && seconds > 0 ? seconds * msPerSecond : undefined;
};

const toStoredAnswer = (result: ExchangeResult): StoredAnswer | undefined => {
    if (result.head === undefined || result.streamed) {
        return undefined;
    }
    const headers = Object.entries(endToEndHeaders(result.head.headers))
        .flatMap(([name, value]) => [value].flat().map((single): [string, string] => [name, single]));
    return { status: result.head.status, headers, body: result.body };
};

/** Creates a runner without exchanges in progress. */
export const createAttemptRunner = (options: AttemptRunnerOptions): AttemptRunner => {
    const { dispatchers } = options;
    const runningExchanges = new Map<string, Exchange>();
    const pieceBudget = createPieceBudget();
    const checkBudget = createTrialBudget(endChecks);
    const completeAnswers = new Map<string, ExchangeResult>();

    const finishAttempt = async (action: AttemptAction, caller: PendingCaller, result: ExchangeResult): Promise<void> => {
        const { attemptId } = action;
        runningExchanges.delete(attemptId);
        const attemptClass = classify(result);
        const hasCompleteAnswer = result.end === ExchangeEnd.Complete && !result.streamed;
        if (hasCompleteAnswer) {
            completeAnswers.set(attemptId, result);
        }
        if (result.streamed) {
            options.onStreamed(caller, result.end === ExchangeEnd.Complete);
        }
        // A server that has ended refuses the next connection; a reset alone also comes from one that goes on.
        const hasServerEnded = attemptClass === AttemptClass.Cut && checkBudget.tryTake(options.now())
            && await refusesConnections(action.host, action.port);
        options.sendEvent({
            kind: EntryEventKind.AttemptEnded,
            attemptId,
            attemptClass,
            hasServerEnded,
            retryAfterMs: readRetryAfterMs(result.head),
            answer: hasCompleteAnswer && !action.idempotent ? toStoredAnswer(result) : undefined,
            committed: result.streamed,
        });
    };

    const startAttempt = (action: AttemptAction, caller: PendingCaller): void => {
        const origin = `http://${action.host}:${action.port}`;
        const timeoutMs = action.deadlineAt - options.now();
        caller.lastServerId = action.serverId;

        const acceptHead = (head: AnswerHead): boolean => {
            const echoedAttemptId = firstValue(head.headers[fleetHeaders.attempt]);
            if (echoedAttemptId === action.attemptId) {
                dispatchers.allowReuse(origin);
                return true;
            }
            // A backend server need not echo the id: connections are reused only to those that do.
            dispatchers.revokeReuse(origin);
            return echoedAttemptId === undefined;
        };

        const exchange = startExchange({
            dispatcher: action.idempotent ? dispatchers.pooled : dispatchers.singleUse,
            origin,
            path: caller.path,
            method: caller.info.method,
            headers: {
                ...caller.headers,
                [fleetHeaders.brand]: caller.info.brand,
                [fleetHeaders.attempt]: action.attemptId,
                [fleetHeaders.requestId]: caller.info.requestId,
                [fleetHeaders.deadline]: String(Math.max(1, Math.floor(timeoutMs))),
            },
            body: caller.body,
            timeoutMs,
            // An option of undici: the connection is closed after the answer.
            reset: !action.idempotent || !dispatchers.mayReuse(origin),
            bufferBytes: options.bufferBytes,
            pieceBudget,
            sink: options.createSink(caller),
            needsBody: head => !reportsNotRun(head),
            acceptHead,
        });
        runningExchanges.set(action.attemptId, exchange);
        void exchange.result.then(result => finishAttempt(action, caller, result));
    };

    const forwardRequest = (action: ForwardAction, caller: PendingCaller): void => {
        const timeoutMs = action.deadlineAt - options.now();
        const exchange = startExchange({
            dispatcher: dispatchers.forwarding,
            origin: `http://${action.host}:${action.port}`,
            path: caller.path,
            method: caller.info.method,
            headers: {
                ...caller.headers,
                [fleetHeaders.brand]: caller.info.brand,
                [fleetHeaders.requestId]: caller.info.requestId,
                [fleetHeaders.requestKey]: caller.info.requestKey,
                [fleetHeaders.visited]: action.visited.join(","),
                [fleetHeaders.hopToken]: options.hopToken,
                [fleetHeaders.deadline]: String(Math.max(1, Math.floor(timeoutMs))),
            },
            body: caller.body,
            timeoutMs,
            reset: false,
            bufferBytes: options.bufferBytes,
            pieceBudget,
            sink: options.createSink(caller),
            needsBody: () => true,
            acceptHead: head => firstValue(head.headers[fleetHeaders.requestId]) === caller.info.requestId,
        });
        void exchange.result.then(result => {
            options.onForwarded(caller, result);
            const forwardClass = result.streamed ? ForwardClass.Completed : forwardClassByEnd[result.end];
            options.sendEvent({ kind: EntryEventKind.ForwardEnded, requestId: action.requestId, forwardClass });
        });
    };

    const sendProbe = (action: ProbeAction, caller: PendingCaller | undefined): void => {
        const startedAt = options.now();
        const probeId = `probe/${startedAt}`;
        const exchange = startExchange({
            dispatcher: dispatchers.singleUse,
            origin: `http://${action.host}:${action.port}`,
            // Without a caller's path, any path serves: every answer below 500 counts as a success.
            path: caller?.path ?? `/${action.service}`,
            method: caller?.info.method ?? "OPTIONS",
            headers: {
                ...caller?.headers,
                ...caller === undefined ? {} : { [fleetHeaders.brand]: caller.info.brand },
                [fleetHeaders.attempt]: probeId,
                [fleetHeaders.deadline]: String(probeTimeoutMs),
            },
            body: caller?.body ?? emptyBody,
            timeoutMs: probeTimeoutMs,
            reset: true,
            bufferBytes: options.bufferBytes,
            pieceBudget,
            sink: discardingSink,
            needsBody: () => false,
            acceptHead: head => [undefined, probeId].includes(firstValue(head.headers[fleetHeaders.attempt])),
        });
        void exchange.result.then(result => {
            const { service, serverId } = action;
            const durationMs = options.now() - startedAt;
            options.sendEvent({ kind: EntryEventKind.ProbeEnded, service, serverId, attemptClass: classify(result), durationMs });
        });
    };

    const takeAnswer = (attemptId: string): ExchangeResult | undefined => {
        const result = completeAnswers.get(attemptId);
        completeAnswers.delete(attemptId);
        return result;
    };

    const discardAnswers = (requestId: string): void => {
        for (const attemptId of completeAnswers.keys()) {
            if (attemptId.startsWith(`${requestId}/`)) {
                completeAnswers.delete(attemptId);
            }
        }
    };

    return {
        startAttempt,
        forwardRequest,
        sendProbe,
        cancelAttempt: attemptId => runningExchanges.get(attemptId)?.cancel(),
        takeAnswer,
        discardAnswers,
        runningCount: () => runningExchanges.size,
    };
};
