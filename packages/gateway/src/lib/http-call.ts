/**
 * Sends one HTTP request over a connection of its own and reads the answer: its head, and its body up to a limit, beyond which
 * the rest is a stream. Attempts at backend servers and requests to other entry hosts both use it.
 */
import { AttemptOutcome } from "@cassiapick/core";
import type { ByteBudget, PieceBudget } from "@cassiapick/core";
import { createByteCollector, createPiecePacer, createReadGate, splitAddress } from "@cassiapick/wire";
import { request as httpRequest } from "node:http";
import type { IncomingMessage } from "node:http";
import { connect, Socket } from "node:net";
import type { Readable } from "node:stream";
import { afterArrivedEvents } from "./after-arrived-events.js";
import { createBodyRest } from "./body-rest.js";
import type { BodyRest } from "./body-rest.js";
import { describeFraming, isCloseDelimited } from "./framing.js";
import type { RawHeaders } from "./headers.js";
import { createRepeatedAnswerFinder } from "./repeated-answer.js";

/** Opens a connection to "host:port" from a local address. */
export type Connect = (address: string, localAddress?: string) => Socket;

/** One HTTP request. */
export interface HttpCall {
    /** "host:port" to connect to. */
    address: string;
    method: string;
    target: string;
    headers: RawHeaders;
    /** Returns the body when it is about to be sent. */
    body: () => Buffer;
}

/** An answer with its complete body, or with its first part and the rest as `stream`. */
export interface ServerAnswer {
    status: number;
    headers: RawHeaders;
    body: Buffer;
    /** The rest of a body that is too long to be buffered; it may still be truncated. */
    stream?: Readable;
    /** Whether the body was complete; to be called after `stream` has ended. */
    isComplete?: () => boolean;
}

/** How a call ended. */
export interface HttpCallResult {
    outcome: AttemptOutcome;
    /** Present if the outcome is `Answered` or `ServerError`. */
    answer?: ServerAnswer;
    /** Details of the outcome for the log. */
    detail: string;
}

/** What the head of a response says: the end of the call without an answer, or the head of an answer whose body follows. */
export type ResponseHead =
    | { kind: "rejected"; outcome: AttemptOutcome; detail: string; }
    | { kind: "answer"; status: number; headers: RawHeaders; };

/** A call in flight. */
export interface HttpCallInFlight {
    /** Never rejects. */
    readonly result: Promise<HttpCallResult>;
    /** Whether a byte of the request may have reached the peer. */
    mayHaveBeenSent(): boolean;
    /** Closes the connection, so that the peer can stop its work on the request. */
    cancel(): void;
}

/** Options of {@link startHttpCall}. */
export interface HttpCallOptions {
    localAddress?: string;
    connect?: Connect;
    /** Timeout for establishing the connection, and for the confirmation if there is one, in milliseconds. */
    connectTimeoutMs: number;
    /**
     * Whether the peer must confirm that it reads the request (`Expect: 100-continue`) before the body is sent. It does not run
     * a request whose body is missing, so a peer that does not answer can be given up without a risk.
     */
    awaitsConfirmation?: boolean;
    /** Longest head of the answer, in bytes; by default that of the HTTP library. */
    maxHeadBytes?: number;
    /** Timeout for the whole call, in milliseconds; the rest of a long body may take a little longer. */
    timeoutMs: number;
    /** Longer bodies are streamed to the caller, in bytes. */
    maxBufferedBytes?: number;
    /** The bytes that the host may hold; a body that exceeds them is streamed, as fast as its caller reads. */
    budget?: ByteBudget;
    /** The short pieces of bodies that the host takes. */
    pieceBudget?: PieceBudget;
    readHead: (res: IncomingMessage) => ResponseHead;
    /** Headers that servers add to their answers, by which a second answer is recognized in a body without a length. */
    answerHeaders?: readonly string[];
    onConnected?: () => void;
}

/** Longer bodies are streamed to the caller, unless {@link HttpCallOptions.maxBufferedBytes} says otherwise. */
const defaultMaxBufferedBytes = 256 * 1024;
/** Bodies up to this length are read whole even if the host holds too much, so that small answers can still be repeated. */
const alwaysBufferedBytes = 32 * 1024;
const serverErrorStatus = 500;
/** A body that is still being read this long after the timeout of its call is broken off, in milliseconds; it may have no end. */
const maxStreamOverrunMs = 1000;
/** Most interim responses (1xx) before an answer; more are taken for an answer without end. */
const maxInterimResponses = 20;

/** Opens a TCP connection; one to an address that can't be used fails like one that is refused. */
export const connectTcp: Connect = (address, localAddress) => {
    try {
        return connect({ ...splitAddress(address), localAddress, noDelay: true });
    }
    catch (err) {
        const socket = new Socket();
        process.nextTick(() => socket.destroy(err as Error));
        return socket;
    }
};

/** A call that could not be started, so that no byte was sent. */
const failedCall = (err: unknown): HttpCallInFlight => ({
    result: Promise.resolve({ outcome: AttemptOutcome.NotSent, detail: `the request can't be sent: ${(err as Error).message}` }),
    mayHaveBeenSent: () => false,
    cancel: () => undefined,
});

const startOn = (socket: Socket, call: HttpCall, options: HttpCallOptions): HttpCallInFlight => {
    let resolveResult: (result: HttpCallResult) => void = () => undefined;
    const result = new Promise<HttpCallResult>(resolve => {
        resolveResult = resolve;
    });
    const startedAt = performance.now();
    const { budget, maxBufferedBytes = defaultMaxBufferedBytes } = options;
    /** The memory that the first part of the answer takes. */
    let heldBytes = 0;
    let isFinished = false;
    let interimResponses = 0;
    let response: IncomingMessage | undefined;
    /** Whether the peer may run the request: it has a connection, and has confirmed that it reads the request if it must. */
    let mayRun = false;
    // If a reset has already arrived when the last bytes are read, the event loop reports an orderly end, but the socket
    // has no remote address any more. This listener must run before those that close the socket. After a reset that arrives
    // later there is an error and no end, and the HTTP client completes the answer all the same.
    let hasOrderlyEnd = false;
    /** Whether the connection ended before the answer was complete, so that only the end can have completed it. */
    let hasEndedEarly = false;
    const recordEnd = (): void => {
        hasEndedEarly ||= response?.complete !== true;
    };
    socket.once("end", () => {
        hasOrderlyEnd = socket.remoteAddress !== undefined;
        recordEnd();
    });
    socket.once("error", recordEnd);
    socket.once("close", recordEnd);
    const client = httpRequest({
        createConnection: () => socket,
        method: call.method,
        path: call.target,
        headers: [...call.headers],
        setHost: false,
        maxHeaderSize: options.maxHeadBytes,
    });

    const finish = (outcome: AttemptOutcome, detail: string, answer?: ServerAnswer): void => {
        if (isFinished) {
            return;
        }
        isFinished = true;
        clearTimeout(timer);
        clearTimeout(connectTimer);
        // Whoever writes the answer to the caller counts what it holds.
        budget?.remove(heldBytes);
        resolveResult({ outcome, detail, answer });
        if (answer?.stream === undefined) {
            client.destroy();
            return;
        }
        const streamTimer = setTimeout(
            () => client.destroy(),
            startedAt + options.timeoutMs + maxStreamOverrunMs - performance.now(),
        );
        answer.stream.once("close", () => clearTimeout(streamTimer));
    };

    const fail = (outcome: AttemptOutcome, detail: string): void => finish(mayRun ? outcome : AttemptOutcome.NotSent, detail);

    /** Fails unless the answer is complete: then the rest of its body is still to be read, and later bytes belong to no request. */
    const failUnlessComplete = (detail: string): void => {
        if (response?.complete !== true) {
            fail(AttemptOutcome.Broken, detail);
        }
    };

    const isComplete = (res: IncomingMessage): boolean => res.complete && (!hasEndedEarly || hasOrderlyEnd);

    const readBody = (res: IncomingMessage, { status, headers }: Extract<ResponseHead, { kind: "answer"; }>): void => {
        const collector = createByteCollector();
        const gate = createReadGate(socket);
        const pacer = createPiecePacer(gate, options.pieceBudget);
        let rest: BodyRest | undefined;
        const finder = isCloseDelimited(res.rawHeaders)
            ? createRepeatedAnswerFinder({ status, headers }, options.answerHeaders ?? [])
            : undefined;
        const finishWithAnswer = (stream?: Readable, body: Buffer = collector.take()): void => {
            const outcome = status >= serverErrorStatus ? AttemptOutcome.ServerError : AttemptOutcome.Answered;
            finish(outcome, `status ${status}, ${describeFraming(res.rawHeaders)}, ${body.length} bytes`, {
                status,
                headers,
                body,
                stream,
                isComplete: () => isComplete(res) && finder?.hasSecond() !== true,
            });
        };
        if (finder !== undefined) {
            res.on("data", (chunk: Buffer) => finder.push(chunk));
        }
        const startStreaming = (): void => {
            rest = createBodyRest(gate, () => client.destroy());
            // Its reader sees that the body is incomplete; the log has the end of the call.
            rest.stream.on("error", () => undefined);
            finishWithAnswer(rest.stream);
        };
        // The answer always flows: one that is paused keeps each piece as a buffer of its own.
        res.on("data", (piece: Buffer) => {
            pacer.count(piece.length);
            if (rest !== undefined) {
                rest.push(piece);
            }
            if (isFinished) {
                return;
            }
            const heldBefore = collector.heldBytes();
            collector.push(piece);
            heldBytes += collector.heldBytes() - heldBefore;
            budget?.add(collector.heldBytes() - heldBefore);
            const isShort = collector.length() > alwaysBufferedBytes && budget?.hasRoom(0) === false;
            if (collector.length() > maxBufferedBytes || isShort) {
                startStreaming();
            }
        });
        res.on("end", () => {
            if (rest !== undefined) {
                rest.end();
                return;
            }
            if (!isComplete(res)) {
                fail(AttemptOutcome.Broken, "the answer ended early");
                return;
            }
            const body = collector.take();
            const first = finder?.hasSecond() === true ? finder.firstOf(body) : body;
            if (first === undefined) {
                fail(AttemptOutcome.Broken, "another answer follows in a body without a length");
                return;
            }
            finishWithAnswer(undefined, first);
        });
        const breakOff = (err?: Error): void => {
            rest?.stream.destroy(err);
            fail(AttemptOutcome.Broken, err === undefined ? "the answer broke off" : `the answer broke off: ${err.message}`);
        };
        res.on("error", breakOff);
        res.on("close", () => {
            pacer.stop();
            if (!res.readableEnded) {
                breakOff();
            }
        });
    };

    const sendBody = (): void => {
        mayRun = true;
        clearTimeout(connectTimer);
        client.end(call.body());
    };

    const failUnlessSent = (): void => {
        if (!mayRun) {
            fail(AttemptOutcome.NotSent, "no connection in time");
        }
    };
    const connectTimer = setTimeout(() => afterArrivedEvents(failUnlessSent), options.connectTimeoutMs);
    socket.once("connect", () => {
        if (isFinished) {
            return;
        }
        options.onConnected?.();
        if (options.awaitsConfirmation !== true) {
            sendBody();
        }
    });
    client.once("continue", () => {
        if (options.awaitsConfirmation === true && !isFinished) {
            sendBody();
        }
    });
    client.on("information", () => {
        interimResponses += 1;
        if (interimResponses > maxInterimResponses) {
            fail(AttemptOutcome.Broken, "too many interim responses");
        }
    });
    client.on("response", res => {
        const head = options.readHead(res);
        if (head.kind === "rejected") {
            finish(head.outcome, head.detail);
            return;
        }
        response = res;
        readBody(res, head);
    });
    client.on("error", err => failUnlessComplete(err.message));
    client.on("close", () => failUnlessComplete("the connection closed without an answer"));
    const timer = setTimeout(() => fail(AttemptOutcome.TimedOut, "no answer in time"), options.timeoutMs);
    if (options.awaitsConfirmation === true) {
        client.flushHeaders();
    }

    return {
        result,
        mayHaveBeenSent: () => mayRun,
        cancel: () => finish(AttemptOutcome.Cancelled, "cancelled"),
    };
};

/** Starts a call. One with a head that can't be sent, such as an invalid header, ends as not sent. */
export const startHttpCall = (call: HttpCall, options: HttpCallOptions): HttpCallInFlight => {
    const socket = (options.connect ?? connectTcp)(call.address, options.localAddress);
    try {
        return startOn(socket, call, options);
    }
    catch (err) {
        socket.on("error", () => undefined).destroy();
        return failedCall(err);
    }
};
