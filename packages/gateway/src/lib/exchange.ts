/** One send of a request to one backend server, on a connection of its own. */
import { AttemptOutcome } from "@cassiapick/core";
import { splitAddress } from "@cassiapick/wire";
import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect } from "node:net";
import { valueOf } from "./headers.js";
import type { ExchangeHeaders, RawHeaders } from "./headers.js";

/** What is sent. */
export interface ExchangeRequest {
    /** "host:port" of the server. */
    address: string;
    method: string;
    target: string;
    headers: RawHeaders;
    body: Buffer;
    requestId: string | undefined;
}

/** An answer whose body is whole, or comes in as `stream`. */
export interface ServerAnswer {
    status: number;
    headers: RawHeaders;
    body: Buffer;
    /** The rest of a body that is too long to be held; it may still break off. */
    stream?: IncomingMessage;
    /** Whether `stream`, which has ended, was whole. */
    isWhole?: () => boolean;
}

/** How a send ended. */
export interface ExchangeResult {
    outcome: AttemptOutcome;
    /** With `Answered` and `ServerError`. */
    answer?: ServerAnswer;
    /** What was seen, for the log. */
    detail: string;
}

/** A send under way. */
export interface Exchange {
    readonly result: Promise<ExchangeResult>;
    /** Closes the connection, so that the server stops work. */
    cancel(): void;
}

/** Options of {@link startExchange}. */
export interface ExchangeOptions {
    names: ExchangeHeaders;
    localAddress?: string;
    /** How long a connection may take to open, in milliseconds. */
    connectTimeoutMs: number;
    /** How long the server may take to answer, in milliseconds. */
    timeoutMs: number;
}

/** Longer bodies are passed on while they come in. */
const maxHeldBytes = 256 * 1024;
const serverErrorStatus = 500;
const misdirectedStatus = 421;
/** Statuses that tell a caller that its request has not run; only a server's own mark makes that true. */
const promisingStatuses = new Set([408, 421, 429, 503]);

/** Whether only the end of the connection tells where an answer ends. */
const endsWithConnection = (headers: RawHeaders): boolean =>
    valueOf(headers, "transfer-encoding") === undefined && valueOf(headers, "content-length") === undefined;

/** How an answer tells its end, for the log. */
const framingOf = (headers: RawHeaders): string => {
    if (endsWithConnection(headers)) {
        return "ended by its connection";
    }
    return valueOf(headers, "transfer-encoding") === undefined ? "with a length" : "in chunks";
};

/** Sends a request. The result never rejects. */
export const startExchange = (req: ExchangeRequest, options: ExchangeOptions): Exchange => {
    const { names } = options;
    let settle: (result: ExchangeResult) => void = () => undefined;
    const result = new Promise<ExchangeResult>(resolve => {
        settle = resolve;
    });
    let isDone = false;
    let isConnected = false;
    const socket = connect({
        ...splitAddress(req.address),
        localAddress: options.localAddress,
        noDelay: true,
    });
    // When a reset is there as the last bytes are read, the event loop reports an orderly end; but then the socket has no
    // peer any more. This listener comes before those that close the socket.
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
        if (isDone) {
            return;
        }
        isDone = true;
        clearTimeout(timer);
        settle({ outcome, detail, answer });
        if (answer?.stream === undefined) {
            client.destroy();
        }
    };

    /** Before the connection is open no byte of the request has left this process. */
    const fail = (outcome: AttemptOutcome, detail: string): void =>
        finish(isConnected ? outcome : AttemptOutcome.NotSent, detail);

    const classify = (res: IncomingMessage): AttemptOutcome | undefined => {
        const status = res.statusCode ?? 0;
        if (valueOf(res.rawHeaders, names.notRun) !== undefined) {
            return AttemptOutcome.Declined;
        }
        if (status === misdirectedStatus) {
            return AttemptOutcome.WrongServer;
        }
        const echoed = valueOf(res.rawHeaders, names.requestId);
        if (req.requestId !== undefined && echoed !== undefined && echoed !== req.requestId) {
            return AttemptOutcome.Broken;
        }
        const isSuccess = status >= 200 && status < 300;
        if ((isSuccess && valueOf(res.rawHeaders, names.signature) === undefined) || promisingStatuses.has(status)) {
            return AttemptOutcome.Broken;
        }
        return valueOf(res.rawHeaders, "content-encoding") === undefined ? undefined : AttemptOutcome.Broken;
    };

    const isWhole = (res: IncomingMessage): boolean => res.complete && !(endsWithConnection(res.rawHeaders) && wasReset);

    const collect = (res: IncomingMessage): void => {
        const status = res.statusCode ?? 0;
        const chunks: Buffer[] = [];
        let bytes = 0;
        const deliver = (stream?: IncomingMessage): void => {
            const outcome = status >= serverErrorStatus ? AttemptOutcome.ServerError : AttemptOutcome.Answered;
            finish(outcome, `status ${status}, ${framingOf(res.rawHeaders)}, ${bytes} bytes`, {
                status,
                headers: res.rawHeaders,
                body: Buffer.concat(chunks),
                stream,
                isWhole: () => isWhole(res),
            });
        };
        res.on("data", (chunk: Buffer) => {
            if (isDone) {
                return;
            }
            chunks.push(chunk);
            bytes += chunk.length;
            if (bytes > maxHeldBytes) {
                res.pause();
                res.removeAllListeners("data");
                deliver(res);
            }
        });
        res.on("end", () => {
            if (!isWhole(res)) {
                fail(AttemptOutcome.Broken, "the answer ended early");
                return;
            }
            deliver();
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
        const rejected = classify(res);
        if (rejected !== undefined) {
            finish(rejected, `status ${res.statusCode ?? 0}`);
            return;
        }
        collect(res);
    });
    client.on("error", err => fail(AttemptOutcome.Broken, err.message));
    client.on("close", () => fail(AttemptOutcome.Broken, "the connection closed without an answer"));
    const timer = setTimeout(() => fail(AttemptOutcome.TimedOut, "no answer in time"), options.timeoutMs);
    client.end(req.body);

    return { result, cancel: () => finish(AttemptOutcome.Cancelled, "cancelled") };
};
