/** Carries out what the decisions ask for: attempts at backend servers and hops to other entry hosts. */
import { AttemptClass, EntryEventKind, ForwardClass } from "@cassiapick/core";
import type { EntryAction, EntryActionKind, EntryEvent, StoredAnswer } from "@cassiapick/core";
import type { BackendClients } from "./backend-clients.js";
import { ExchangeEnd, startExchange } from "./exchange.js";
import type { AnswerHead, AnswerSink, Exchange, ExchangeResult } from "./exchange.js";
import { endToEndHeaders, firstValue, fleetHeaders } from "./headers.js";
import type { OpenCaller } from "./open-caller.js";

type AttemptAction = Extract<EntryAction, { kind: EntryActionKind.Attempt; }>;
type ProbeAction = Extract<EntryAction, { kind: EntryActionKind.Probe; }>;
type ForwardAction = Extract<EntryAction, { kind: EntryActionKind.Forward; }>;

/** Options of {@link createAttemptRunner}. */
export interface AttemptRunnerOptions {
    clients: BackendClients;
    bufferBytes: number;
    /** The token that other entry hosts accept. */
    hopToken: string;
    now: () => number;
    /** Hands an event to the decisions. */
    emit: (event: EntryEvent) => void;
    sinkOf: (caller: OpenCaller) => AnswerSink;
    /** A large answer, which was passed on as it came, has ended. */
    onStreamed: (caller: OpenCaller, whole: boolean) => void;
    /** Passes the whole answer of another entry host on. */
    onForwarded: (caller: OpenCaller, result: ExchangeResult) => void;
}

/** Runs attempts and hops. */
export interface AttemptRunner {
    attempt(action: AttemptAction, caller: OpenCaller): void;
    forward(action: ForwardAction, caller: OpenCaller): void;
    /** Sends a copy of the caller's idempotent request, or an OPTIONS request, and drops the answer. */
    probe(action: ProbeAction, caller: OpenCaller | undefined): void;
    cancel(attemptId: string): void;
    /** The whole answer of an attempt; it is kept until it is taken or the request ends. */
    take(attemptId: string): ExchangeResult | undefined;
    /** Forgets the answers of a request. */
    forget(requestId: string): void;
    running(): number;
}

const firstServerError = 500;
const msPerSecond = 1000;
const probeTimeoutMs = 2000;
const noBody = Buffer.alloc(0);

/** Takes the part of a probe's answer that is not worth keeping. */
const dropSink: AnswerSink = { begin: () => undefined, write: () => true };

const classByEnd: Readonly<Record<Exclude<ExchangeEnd, ExchangeEnd.Whole>, AttemptClass>> = {
    [ExchangeEnd.NotSent]: AttemptClass.NotSent,
    [ExchangeEnd.Cut]: AttemptClass.Cut,
    [ExchangeEnd.Timeout]: AttemptClass.Timeout,
    [ExchangeEnd.Corrupt]: AttemptClass.Corrupt,
    [ExchangeEnd.Cancelled]: AttemptClass.Cancelled,
};

const forwardByEnd: Readonly<Record<ExchangeEnd, ForwardClass>> = {
    [ExchangeEnd.Whole]: ForwardClass.Completed,
    [ExchangeEnd.NotSent]: ForwardClass.NotSent,
    [ExchangeEnd.Cut]: ForwardClass.Cut,
    [ExchangeEnd.Timeout]: ForwardClass.Cut,
    [ExchangeEnd.Corrupt]: ForwardClass.Cut,
    [ExchangeEnd.Cancelled]: ForwardClass.Cut,
};

/** Whether the backend server itself says that it did not run the request. */
const saysNotRun = (head: AnswerHead): boolean =>
    firstValue(head.headers[fleetHeaders.outcome]) === "not-run" && head.status >= 400;

const classify = (result: ExchangeResult): AttemptClass => {
    if (result.end !== ExchangeEnd.Whole) {
        return classByEnd[result.end];
    }
    if (result.head === undefined) {
        return AttemptClass.Cut;
    }
    if (saysNotRun(result.head)) {
        return AttemptClass.Shed;
    }
    return result.head.status >= firstServerError ? AttemptClass.ServerError : AttemptClass.Success;
};

const readRetryAfterMs = (head: AnswerHead | undefined): number | undefined => {
    const seconds = Number(firstValue(head?.headers["retry-after"]));
    return Number.isFinite(seconds) && seconds > 0 ? seconds * msPerSecond : undefined;
};

const toStored = (result: ExchangeResult): StoredAnswer | undefined => {
    if (result.head === undefined || result.streamed) {
        return undefined;
    }
    const headers = Object.entries(endToEndHeaders(result.head.headers))
        .flatMap(([name, value]) => [value].flat().map((single): [string, string] => [name, single]));
    return { status: result.head.status, headers, body: result.body };
};

/** Creates a runner without attempts. */
export const createAttemptRunner = (options: AttemptRunnerOptions): AttemptRunner => {
    const { clients } = options;
    const running = new Map<string, Exchange>();
    const answers = new Map<string, ExchangeResult>();

    const finishAttempt = (action: AttemptAction, caller: OpenCaller, result: ExchangeResult): void => {
        const { attemptId } = action;
        running.delete(attemptId);
        const attemptClass = classify(result);
        const isAnswer = result.end === ExchangeEnd.Whole && !result.streamed;
        if (isAnswer) {
            answers.set(attemptId, result);
        }
        if (result.streamed) {
            options.onStreamed(caller, result.end === ExchangeEnd.Whole);
        }
        options.emit({
            kind: EntryEventKind.AttemptEnded,
            attemptId,
            attemptClass,
            retryAfterMs: readRetryAfterMs(result.head),
            answer: isAnswer && !action.idempotent ? toStored(result) : undefined,
            committed: result.streamed,
        });
    };

    const attempt = (action: AttemptAction, caller: OpenCaller): void => {
        const origin = `http://${action.host}:${action.port}`;
        const timeoutMs = action.deadlineAt - options.now();
        caller.lastServerId = action.serverId;

        const acceptHead = (head: AnswerHead): boolean => {
            const named = firstValue(head.headers[fleetHeaders.attempt]);
            if (named === action.attemptId) {
                clients.provedIdentity(origin);
                return true;
            }
            clients.distrust(origin);
            return named === undefined;
        };

        const exchange = startExchange({
            dispatcher: action.idempotent ? clients.shared : clients.fresh,
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
            reset: !action.idempotent || !clients.mayKeep(origin),
            bufferBytes: options.bufferBytes,
            sink: options.sinkOf(caller),
            acceptHead,
        });
        running.set(action.attemptId, exchange);
        void exchange.result.then(result => finishAttempt(action, caller, result));
    };

    const forward = (action: ForwardAction, caller: OpenCaller): void => {
        const timeoutMs = action.deadlineAt - options.now();
        const exchange = startExchange({
            dispatcher: clients.hops,
            origin: `http://${action.host}:${action.port}`,
            path: caller.path,
            method: caller.info.method,
            headers: {
                ...caller.headers,
                [fleetHeaders.brand]: caller.info.brand,
                [fleetHeaders.requestId]: caller.info.requestId,
                [fleetHeaders.visited]: action.visited.join(","),
                [fleetHeaders.hopToken]: options.hopToken,
                [fleetHeaders.deadline]: String(Math.max(1, Math.floor(timeoutMs))),
            },
            body: caller.body,
            timeoutMs,
            reset: false,
            bufferBytes: options.bufferBytes,
            sink: options.sinkOf(caller),
            acceptHead: head => firstValue(head.headers[fleetHeaders.requestId]) === caller.info.requestId,
        });
        void exchange.result.then(result => {
            options.onForwarded(caller, result);
            const forwardClass = result.streamed ? ForwardClass.Completed : forwardByEnd[result.end];
            options.emit({ kind: EntryEventKind.ForwardEnded, requestId: action.requestId, forwardClass });
        });
    };

    const probe = (action: ProbeAction, caller: OpenCaller | undefined): void => {
        const startedAt = options.now();
        const name = `probe/${startedAt}`;
        const exchange = startExchange({
            dispatcher: clients.fresh,
            origin: `http://${action.host}:${action.port}`,
            path: caller?.path ?? `/${action.service}`,
            method: caller?.info.method ?? "OPTIONS",
            headers: {
                ...caller?.headers,
                ...caller === undefined ? {} : { [fleetHeaders.brand]: caller.info.brand },
                [fleetHeaders.attempt]: name,
                [fleetHeaders.deadline]: String(probeTimeoutMs),
            },
            body: caller?.body ?? noBody,
            timeoutMs: probeTimeoutMs,
            reset: true,
            bufferBytes: options.bufferBytes,
            sink: dropSink,
            acceptHead: head => [undefined, name].includes(firstValue(head.headers[fleetHeaders.attempt])),
        });
        void exchange.result.then(result => {
            const { service, serverId } = action;
            const durationMs = options.now() - startedAt;
            options.emit({ kind: EntryEventKind.ProbeEnded, service, serverId, attemptClass: classify(result), durationMs });
        });
    };

    const take = (attemptId: string): ExchangeResult | undefined => {
        const result = answers.get(attemptId);
        answers.delete(attemptId);
        return result;
    };

    const forget = (requestId: string): void => {
        for (const attemptId of answers.keys()) {
            if (attemptId.startsWith(`${requestId}/`)) {
                answers.delete(attemptId);
            }
        }
    };

    return {
        attempt,
        forward,
        probe,
        cancel: attemptId => running.get(attemptId)?.cancel(),
        take,
        forget,
        running: () => running.size,
    };
};
