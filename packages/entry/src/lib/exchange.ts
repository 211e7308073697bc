/** One HTTP request and its whole answer, with a precise account of how it ended. */
import type { Dispatcher } from "undici";
import type { HeaderMap } from "./headers.js";

export enum ExchangeEnd {
    /** The whole answer arrived. */
    Whole = "whole",
    /** Nothing was handed to a socket. */
    NotSent = "not-sent",
    /** The connection ended, or broke the protocol, after the request may have left. */
    Cut = "cut",
    /** The time ran out after the request may have left. */
    Timeout = "timeout",
    /** The answer can't be known to be whole, or names another request. */
    Corrupt = "corrupt",
    /** Cancelled by this host. */
    Cancelled = "cancelled",
}

/** The status line and headers of an answer. */
export interface AnswerHead {
    status: number;
    headers: Record<string, string | string[] | undefined>;
}

/** How an exchange ended. */
export interface ExchangeResult {
    end: ExchangeEnd;
    head?: AnswerHead;
    /** The whole body, unless it was streamed. */
    body: Buffer;
    /** Whether the body went to the sink. */
    streamed: boolean;
}

/** Takes an answer that is too large to buffer. */
export interface AnswerSink {
    begin(head: AnswerHead): void;
    /** Returns false when the sink is full; `onDrain` is then called once. */
    write(chunk: Buffer, onDrain: () => void): boolean;
}

/** Options of {@link startExchange}. */
export interface ExchangeOptions {
    dispatcher: Dispatcher;
    origin: string;
    path: string;
    method: string;
    headers: HeaderMap;
    body: Buffer;
    timeoutMs: number;
    /** Closes the connection after the answer. */
    reset: boolean;
    /** Bytes of the answer that are held before the sink is used. */
    bufferBytes: number;
    sink: AnswerSink;
    /** Whether the head shows that the answer belongs to this request. */
    acceptHead: (head: AnswerHead) => boolean;
}

/** An exchange that is under way. */
export interface Exchange {
    result: Promise<ExchangeResult>;
    cancel(): void;
}

const firstErrorStatus = 500;
const noContent = 204;
const notModified = 304;

/** Whether the end of the body can be told from a cut connection. */
const isDelimited = (head: AnswerHead, method: string): boolean =>
    method === "HEAD" || head.status === noContent || head.status === notModified || head.headers["content-length"] !== undefined
    || head.headers["transfer-encoding"] !== undefined;

/** Starts one exchange. Its result never rejects. */
export const startExchange = (options: ExchangeOptions): Exchange => {
    let settle: (result: ExchangeResult) => void = () => undefined;
    const result = new Promise<ExchangeResult>(resolve => {
        settle = resolve;
    });
    const chunks: Buffer[] = [];
    let bufferedBytes = 0;
    let handedOver = false;
    let streamed = false;
    let head: AnswerHead | undefined;
    let reason: ExchangeEnd | undefined;
    let controller: Dispatcher.DispatchController | undefined;
    let finished = false;

    const finish = (end: ExchangeEnd): void => {
        if (finished) {
            return;
        }
        finished = true;
        clearTimeout(timer);
        settle({ end, head, body: Buffer.concat(chunks), streamed });
    };

    const stop = (end: ExchangeEnd): void => {
        reason ??= end;
        if (controller === undefined) {
            // Nothing has been written; the handler refuses to start from now on.
            finish(end === ExchangeEnd.Timeout ? ExchangeEnd.NotSent : end);
            return;
        }
        controller.abort(new Error(end));
        finish(end);
    };

    const timer = setTimeout(() => stop(ExchangeEnd.Timeout), Math.max(1, options.timeoutMs));

    const startStreaming = (known: AnswerHead): void => {
        streamed = true;
        options.sink.begin(known);
        for (const chunk of chunks.splice(0)) {
            options.sink.write(chunk, () => undefined);
        }
    };

    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: started => {
            controller = started;
            if (finished) {
                started.abort(new Error("finished"));
                return;
            }
            handedOver = true;
        },
        onResponseStart: (_started, status, headers) => {
            if (status < 200) {
                return;
            }
            head = { status, headers };
            if (!isDelimited(head, options.method) || !options.acceptHead(head)) {
                stop(ExchangeEnd.Corrupt);
            }
        },
        onResponseData: (started, chunk) => {
            if (finished || head === undefined) {
                return;
            }
            bufferedBytes += chunk.length;
            if (!streamed) {
                chunks.push(chunk);
                if (bufferedBytes > options.bufferBytes && head.status < firstErrorStatus) {
                    startStreaming(head);
                }
                return;
            }
            if (!options.sink.write(chunk, () => started.resume())) {
                started.pause();
            }
        },
        onResponseEnd: () => finish(ExchangeEnd.Whole),
        onResponseError: () => finish(reason ?? (handedOver ? ExchangeEnd.Cut : ExchangeEnd.NotSent)),
    };

    options.dispatcher.dispatch(
        {
            origin: options.origin,
            path: options.path,
            method: options.method,
            headers: options.headers,
            body: options.body.length > 0 ? options.body : null,
            reset: options.reset,
        },
        handler,
    );

    return { result, cancel: () => stop(ExchangeEnd.Cancelled) };
};
