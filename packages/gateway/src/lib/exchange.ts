/**
 * Sends a request to one backend server over a separate connection and classifies the outcome. Used by the entry hosts of the
 * platform; the program `cassiapick-entry` has its own exchange in `@cassiapick/entry`.
 */
import { AttemptOutcome } from "@cassiapick/core";
import { splitAddress } from "@cassiapick/wire";
import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import type { Socket } from "node:net";
import { headerValue } from "./headers.js";
import type { HeaderNames, RawHeaders } from "./headers.js";

/** A request to one backend server. */
export interface ExchangeRequest {
    /** "host:port" of the server. */
    address: string;
    method: string;
    target: string;
    headers: RawHeaders;
    body: Buffer;
    requestId: string | undefined;
}

/** An answer with its complete body, or with its first part and the rest as `stream`. */
export interface ServerAnswer {
    status: number;
    headers: RawHeaders;
    body: Buffer;
    /** The rest of a body that is too long to be buffered; it may still be truncated. */
    stream?: IncomingMessage;
    /** Whether the body was complete; to be called after `stream` has ended. */
    isComplete?: () => boolean;
}

/** Result of an attempt. */
export interface ExchangeResult {
    outcome: AttemptOutcome;
    /** Present if the outcome is `Answered` or `ServerError`. */
    answer?: ServerAnswer;
    /** Details of the outcome for the log. */
    detail: string;
    /** Requests a second that the server takes from the whole fleet, if its answer names such a limit. */
    limitPerS?: number;
}

/** An attempt in flight. */
export interface Exchange {
    /** Never rejects. */
    readonly result: Promise<ExchangeResult>;
    /** Closes the connection, so that the server can stop its work on the request. */
    cancel(): void;
}

/** Opens a connection to "host:port" from a local address. */
export type Connect = (address: string, localAddress?: string) => Socket;

/** Opens a TCP connection. */
export const connectTcp: Connect = (address, localAddress) => connect({ ...splitAddress(address), localAddress, noDelay: true });

/** Options of {@link startExchange}. */
export interface ExchangeOptions {
    headerNames: HeaderNames;
    localAddress?: string;
    /** Opens the connection; by default, over TCP. */
    connect?: Connect;
    /** Timeout for establishing the connection, in milliseconds. */
    connectTimeoutMs: number;
    /** Timeout for the whole attempt, in milliseconds. */
    timeoutMs: number;
}

/** Longer bodies are streamed to the caller. */
const maxBufferedBytes = 256 * 1024;
const serverErrorStatus = 500;
const misdirectedStatus = 421;
/**
 * Statuses that a caller may take as proof that its request has not run. Without the server's `notRun` header there is
 * no such proof, so an answer with one of them is not passed on.
 */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Whether the end of the body is marked only by the close of the connection. */
const isCloseDelimited = (headers: RawHeaders): boolean =>
    headerValue(headers, "transfer-encoding") === undefined && headerValue(headers, "content-length") === undefined;

/** Describes how the length of an answer's body is determined, for the log. */
const describeFraming = (headers: RawHeaders): string => {
    if (isCloseDelimited(headers)) {
        return "delimited by the close of the connection";
    }
    return headerValue(headers, "transfer-encoding") === undefined ? "with Content-Length" : "chunked";
};

/** Reads a limit in requests a second; `undefined` if there is none or it is not a number from 0. */
const limitOf = (headers: RawHeaders, name: string): number | undefined => {
    const value = headerValue(headers, name);
    const limitPerS = value === undefined || value.trim() === "" ? NaN : Number(value);
    return Number.isFinite(limitPerS) && limitPerS >= 0 ? limitPerS : undefined;
};

/** Sends a request. */
export const startExchange = (req: ExchangeRequest, options: ExchangeOptions): Exchange => {
    const { headerNames } = options;
    let resolveResult: (result: ExchangeResult) => void = () => undefined;
    const result = new Promise<ExchangeResult>(resolve => {
        resolveResult = resolve;
    });
    let isFinished = false;
    let isConnected = false;
    let limitPerS: number | undefined;
    const socket = (options.connect ?? connectTcp)(req.address, options.localAddress);
    // If a reset has already arrived when the last bytes are read, the event loop reports an orderly end, but the socket
    // has no remote address any more. This listener must run before those that close the socket.
    let wasReset = false;
    socket.once("end", () => {
        wasReset = socket.remoteAddress === undefined;
    });
    const client = httpRequest({
        createConnection: () => socket,
        method: req.method,
        path: req.target,
        headers: [...req.headers],
        setHost: false,
    });

    const finish = (outcome: AttemptOutcome, detail: string, answer?: ServerAnswer): void => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        clearTimeout(timer);
        resolveResult({ outcome, detail, answer, limitPerS });
        if (answer?.stream === undefined) {
            client.destroy();
        }
    };

    /** Before the connection is established, no byte of the request has left this process. */
    const fail = (outcome: AttemptOutcome, detail: string): void =>
        finish(isConnected ? outcome : AttemptOutcome.NotSent, detail);

    /** Returns the outcome if the status and the headers already rule the answer out. */
    const rejectByHead = (res: IncomingMessage): AttemptOutcome | undefined => {
        const status = res.statusCode ?? 0;
        if (headerValue(res.rawHeaders, headerNames.notRun) !== undefined) {
            return AttemptOutcome.Declined;
        }
        if (status === misdirectedStatus) {
            return AttemptOutcome.WrongServer;
        }
        const echoedId = headerValue(res.rawHeaders, headerNames.requestId);
        if (req.requestId !== undefined && echoedId !== undefined && echoedId !== req.requestId) {
            return AttemptOutcome.Broken;
        }
        const isSuccess = status >= 200 && status < 300;
        if ((isSuccess && headerValue(res.rawHeaders, headerNames.signature) === undefined) || notRunStatuses.has(status)) {
            return AttemptOutcome.Broken;
        }
        return headerValue(res.rawHeaders, "content-encoding") === undefined ? undefined : AttemptOutcome.Broken;
    };

    const isComplete = (res: IncomingMessage): boolean => res.complete && !(isCloseDelimited(res.rawHeaders) && wasReset);

    const readAnswer = (res: IncomingMessage): void => {
        const status = res.statusCode ?? 0;
        const chunks: Buffer[] = [];
        let bytes = 0;
        const finishWithAnswer = (stream?: IncomingMessage): void => {
            const outcome = status >= serverErrorStatus ? AttemptOutcome.ServerError : AttemptOutcome.Answered;
            finish(outcome, `status ${status}, ${describeFraming(res.rawHeaders)}, ${bytes} bytes`, {
                status,
                headers: res.rawHeaders,
                body: Buffer.concat(chunks),
                stream,
                isComplete: () => isComplete(res),
            });
        };
        res.on("data", (chunk: Buffer) => {
            if (isFinished) {
                return;
            }
            chunks.push(chunk);
            bytes += chunk.length;
            if (bytes > maxBufferedBytes) {
                res.pause();
                res.removeAllListeners("data");
                finishWithAnswer(res);
            }
        });
        res.on("end", () => {
            if (!isComplete(res)) {
                fail(AttemptOutcome.Broken, "the answer ended early");
                return;
            }
            finishWithAnswer();
        });
        res.on("error", err => fail(AttemptOutcome.Broken, `the answer broke off: ${err.message}`));
        res.on("close", () => fail(AttemptOutcome.Broken, "the answer broke off"));
    };

    const connectTimer = setTimeout(() => fail(AttemptOutcome.NotSent, "no connection in time"), options.connectTimeoutMs);
    socket.once("connect", () => {
        isConnected = true;
        clearTimeout(connectTimer);
    });
    socket.once("close", () => clearTimeout(connectTimer));
    client.on("response", res => {
        const rejection = rejectByHead(res);
        // Other rejected answers may be from another server or for another request.
        if (rejection === undefined || (rejection === AttemptOutcome.Declined && res.statusCode !== misdirectedStatus)) {
            limitPerS = limitOf(res.rawHeaders, headerNames.serverLimit);
        }
        if (rejection !== undefined) {
            finish(rejection, `status ${res.statusCode ?? 0}`);
            return;
        }
        readAnswer(res);
    });
    client.on("error", err => fail(AttemptOutcome.Broken, err.message));
    client.on("close", () => fail(AttemptOutcome.Broken, "the connection closed without an answer"));
    const timer = setTimeout(() => fail(AttemptOutcome.TimedOut, "no answer in time"), options.timeoutMs);
    client.end(req.body);

    return { result, cancel: () => finish(AttemptOutcome.Cancelled, "cancelled") };
};
