/**
 * Sends one HTTP request, receives its answer, and classifies how the exchange ended. Used by the program `cassiapick-entry`;
 * the entry hosts of the platform use the exchange in `@cassiapick/gateway`.
 */
import { isChunked, isFinalStatus, isTransferEncoded } from "@cassiapick/core";
import type { PieceBudget } from "@cassiapick/core";
import { createByteCollector, createGate, createPiecePacer, GateReason } from "@cassiapick/wire";
import type { Dispatcher } from "undici";
import type { HeaderMap } from "./headers.js";

/** How an exchange ended. */
export enum ExchangeEnd {
    /** The complete answer was received. */
    Complete = "whole",
    /** The request was not written to a socket. */
    NotSent = "not-sent",
    /** The connection failed or violated the protocol after the request may have been sent. */
    Cut = "cut",
    /** The timeout expired after the request may have been sent. */
    Timeout = "timeout",
    /** The completeness of the answer can't be verified, or the answer names another request. */
    Corrupt = "corrupt",
    /** The body is longer than what is buffered and of no use, so the rest was not read; the head is complete. */
    Oversized = "oversized",
    /** Cancelled by this host. */
    Cancelled = "cancelled",
}

/** The status line and headers of an answer. */
export interface AnswerHead {
    status: number;
    headers: Record<string, string | string[] | undefined>;
}

/** Result of an exchange. */
export interface ExchangeResult {
    end: ExchangeEnd;
    head?: AnswerHead;
    /** The part of the body that was received and not streamed; complete when `end` is `Complete` and `streamed` is false. */
    body: Buffer;
    /** Whether the body was written to the sink. */
    streamed: boolean;
}

/** Receives an answer that is too large to buffer. */
export interface AnswerSink {
    begin(head: AnswerHead): void;
    /** Returns false when the sink's buffer is full; `onDrain` is then called once when it has drained. */
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
    /** Whether to close the connection after the answer. */
    reset: boolean;
    /** Answers larger than this many bytes are streamed to the sink, or ended if their body is of no use. */
    bufferBytes: number;
    /** The short pieces of bodies that the host takes. */
    pieceBudget?: PieceBudget;
    sink: AnswerSink;
    /** Returns whether the body of an answer is of use, judged by its head. */
    needsBody: (head: AnswerHead) => boolean;
    /** Returns whether the answer may belong to this request, judged by its head. */
    acceptHead: (head: AnswerHead) => boolean;
}

/** An exchange in progress. */
export interface Exchange {
    result: Promise<ExchangeResult>;
    cancel(): void;
}

const noContentStatus = 204;
const notModifiedStatus = 304;

const transferEncodingsOf = ({ headers }: AnswerHead): string[] => [headers["transfer-encoding"] ?? []].flat();

/** Whether the end of the body can be distinguished from a connection that closed early. */
const hasDelimitedBody = (head: AnswerHead, method: string): boolean =>
    method === "HEAD" || head.status === noContentStatus || head.status === notModifiedStatus
    || head.headers["content-length"] !== undefined
    || isChunked(transferEncodingsOf(head));

/** Starts one exchange. Its result never rejects. */
export const startExchange = (options: ExchangeOptions): Exchange => {
    let resolveResult: (result: ExchangeResult) => void = () => undefined;
    const result = new Promise<ExchangeResult>(resolve => {
        resolveResult = resolve;
    });
    const body = createByteCollector();
    let bufferedBytes = 0;
    let isHandedToSocket = false;
    let streamed = false;
    let isPassOnDue = false;
    let head: AnswerHead | undefined;
    let abortedAs: ExchangeEnd | undefined;
    let controller: Dispatcher.DispatchController | undefined;
    let isFinished = false;

    const gate = createGate(() => controller?.pause(), () => controller?.resume());
    const pacer = createPiecePacer(gate, options.pieceBudget);

    /** Passes on what one read of the connection has brought, as one part: a caller that reads nothing leaves few of them in a queue. */
    const passOn = (): void => {
        isPassOnDue = false;
        if (streamed && body.length() > 0 && !options.sink.write(body.take(), () => gate.open(GateReason.Unread))) {
            gate.close(GateReason.Unread);
        }
    };

    const finish = (end: ExchangeEnd): void => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        clearTimeout(timer);
        pacer.stop();
        passOn();
        resolveResult({ end, head, body: body.take(), streamed });
    };

    const abort = (end: ExchangeEnd): void => {
        abortedAs ??= end;
        if (controller === undefined) {
            // Nothing has been sent; onRequestStart aborts the request if the dispatcher still starts it.
            finish(end === ExchangeEnd.Timeout ? ExchangeEnd.NotSent : end);
            return;
        }
        controller.abort(new Error(end));
        finish(end);
    };

    const timer = setTimeout(() => abort(ExchangeEnd.Timeout), Math.max(1, options.timeoutMs));

    const startStreaming = (answerHead: AnswerHead): void => {
        streamed = true;
        options.sink.begin(answerHead);
        passOn();
    };

    /** Bounds what is held of an answer: it may have no end, also if it is a failure. */
    const endBuffering = (answerHead: AnswerHead): void => {
        if (options.needsBody(answerHead)) {
            startStreaming(answerHead);
            return;
        }
        body.take();
        abort(ExchangeEnd.Oversized);
    };

    const handler: Dispatcher.DispatchHandler = {
        onRequestStart: requestController => {
            controller = requestController;
            if (isFinished) {
                requestController.abort(new Error("finished"));
                return;
            }
            isHandedToSocket = true;
        },
        onResponseStart: (_responseController, status, headers) => {
            if (status >= 100 && status < 200) {
                return;
            }
            head = { status, headers };
            const isReadable = hasDelimitedBody(head, options.method) && !isTransferEncoded(transferEncodingsOf(head));
            if (!isFinalStatus(status) || !isReadable || !options.acceptHead(head)) {
                abort(ExchangeEnd.Corrupt);
            }
        },
        onResponseData: (_responseController, chunk) => {
            pacer.count(chunk.length);
            if (isFinished || head === undefined) {
                return;
            }
            bufferedBytes += chunk.length;
            body.push(chunk);
            if (!streamed && bufferedBytes > options.bufferBytes) {
                endBuffering(head);
            }
            else if (streamed && !isPassOnDue) {
                isPassOnDue = true;
                process.nextTick(passOn);
            }
        },
        onResponseEnd: () => finish(ExchangeEnd.Complete),
        onResponseError: () => finish(abortedAs ?? (isHandedToSocket ? ExchangeEnd.Cut : ExchangeEnd.NotSent)),
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

    return { result, cancel: () => abort(ExchangeEnd.Cancelled) };
};
