/**
 * Sends a request to one backend server over a separate connection and classifies the outcome. Used by the entry hosts of the
 * platform; the program `cassiapick-entry` has its own exchange in `@cassiapick/entry`.
 */
import { AttemptOutcome, isFinalStatus, isTransferEncoded } from "@cassiapick/core";
import type { ByteBudget, PieceBudget } from "@cassiapick/core";
import type { IncomingMessage } from "node:http";
import { headerValue, headerValues } from "./headers.js";
import type { HeaderNames, RawHeaders } from "./headers.js";
import { startHttpCall } from "./http-call.js";
import type { Connect, HttpCallInFlight, HttpCallResult, ResponseHead } from "./http-call.js";

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

/** Result of an attempt. */
export interface ExchangeResult extends HttpCallResult {
    /** Requests a second that the server takes from the whole fleet, if its answer names such a limit. */
    limitPerS?: number;
    /** Time for which the server wants no requests of this host, in milliseconds, if its answer names one. */
    restMs?: number;
    /** Whether the server has stated that it is leaving. */
    isLeaving?: boolean;
}

/** An attempt in flight. */
export interface Exchange extends Omit<HttpCallInFlight, "result"> {
    /** Never rejects. */
    readonly result: Promise<ExchangeResult>;
}

/** Options of {@link startExchange}. */
export interface ExchangeOptions {
    headerNames: HeaderNames;
    localAddress?: string;
    connect?: Connect;
    /** Timeout for establishing the connection, in milliseconds. */
    connectTimeoutMs: number;
    /** Timeout for the whole attempt, in milliseconds. */
    timeoutMs: number;
    /** Longer bodies are streamed to the caller, in bytes. */
    maxBufferedBytes?: number;
    /** The bytes of answers that the host may hold. */
    budget?: ByteBudget;
    /** The short pieces of bodies that the host takes. */
    pieceBudget?: PieceBudget;
    onConnected?: () => void;
}

/** The versions in which a server may answer a request in HTTP/1.1 (RFC 9110, section 2.5). */
const answerVersions: ReadonlySet<string> = new Set(["1.0", "1.1"]);
const misdirectedStatus = 421;
/**
 * Statuses that a caller may take as proof that its request has not run. Without the server's `notRun` header there is
 * no such proof, so an answer with one of them is not passed on.
 */
const notRunStatuses = new Set([408, 421, 429, 503]);

/** Reads a limit in requests a second; `undefined` if there is none or it is not a number from 0. */
const limitOf = (headers: RawHeaders, name: string): number | undefined => {
    const value = headerValue(headers, name);
    const limitPerS = value === undefined || value.trim() === "" ? NaN : Number(value);
    return Number.isFinite(limitPerS) && limitPerS >= 0 ? limitPerS : undefined;
};

/** Statuses of servers that turn a request away and may ask for a rest. */
const restStatuses = new Set([429, 503]);
/** A longer rest is not believed, in milliseconds; a server that restarts in the meantime rests no more. */
const maxRestMs = 600_000;
const msPerSecond = 1000;

/** Reads the time in milliseconds for which a server wants no requests; `undefined` if it names none. */
const restOf = (status: number, headers: RawHeaders): number | undefined => {
    const value = headerValue(headers, "retry-after");
    const restMs = value === undefined || value.trim() === "" ? NaN : msPerSecond * Number(value);
    return restStatuses.has(status) && restMs > 0 ? Math.min(restMs, maxRestMs) : undefined;
};

/** Whether an answer belongs to the request, by the id that it echoes. */
const isForRequest = (res: IncomingMessage, requestId: string | undefined, names: HeaderNames): boolean => {
    const echoedId = headerValue(res.rawHeaders, names.requestId);
    return requestId === undefined || echoedId === undefined || echoedId === requestId;
};

/** Whether an answer comes from the server that the request was sent to, and belongs to the request. */
const isOwnAnswer = (res: IncomingMessage, requestId: string | undefined, names: HeaderNames): boolean =>
    res.statusCode !== misdirectedStatus && isForRequest(res, requestId, names);

/** Returns the outcome if the status and the headers already rule the answer out. */
const rejectionOf = (res: IncomingMessage, requestId: string | undefined, names: HeaderNames): AttemptOutcome | undefined => {
    const status = res.statusCode ?? 0;
    // An answer to another request proves nothing about this one, not even that it has not run.
    if (!isForRequest(res, requestId, names)) {
        return AttemptOutcome.Broken;
    }
    if (headerValue(res.rawHeaders, names.notRun) !== undefined) {
        return AttemptOutcome.Declined;
    }
    if (status === misdirectedStatus) {
        return AttemptOutcome.WrongServer;
    }
    const isSuccess = status >= 200 && status < 300;
    if ((isSuccess && headerValue(res.rawHeaders, names.signature) === undefined) || notRunStatuses.has(status)) {
        return AttemptOutcome.Broken;
    }
    const isEncoded = headerValue(res.rawHeaders, "content-encoding") !== undefined
        || isTransferEncoded(headerValues(res.rawHeaders, "transfer-encoding"));
    return isEncoded ? AttemptOutcome.Broken : undefined;
};

/** The headers that servers add to their answers. */
const answerHeadersOf = ({ requestId, signature, notRun, serverLimit, serverLeaving }: HeaderNames): string[] => [
    requestId,
    signature,
    notRun,
    serverLimit,
    serverLeaving,
];

/** Sends a request. */
export const startExchange = (req: ExchangeRequest, options: ExchangeOptions): Exchange => {
    const { headerNames } = options;
    const notice: Pick<ExchangeResult, "limitPerS" | "restMs" | "isLeaving"> = {};

    const readHead = (res: IncomingMessage): ResponseHead => {
        const status = res.statusCode;
        if (!answerVersions.has(res.httpVersion)) {
            return {
                kind: "rejected",
                outcome: AttemptOutcome.Broken,
                detail: `no answer to HTTP/1.1 is in HTTP/${res.httpVersion}`,
            };
        }
        if (!isFinalStatus(status)) {
            // Not an answer, so that its headers prove nothing either.
            return { kind: "rejected", outcome: AttemptOutcome.Broken, detail: `no answer has the status ${status}` };
        }
        const rejection = rejectionOf(res, req.requestId, headerNames);
        // Other rejected answers may be from another server or for another request.
        if (rejection === undefined || (rejection === AttemptOutcome.Declined && status !== misdirectedStatus)) {
            notice.limitPerS = limitOf(res.rawHeaders, headerNames.serverLimit);
        }
        if (isOwnAnswer(res, req.requestId, headerNames)) {
            notice.restMs = restOf(status, res.rawHeaders);
            notice.isLeaving = headerValue(res.rawHeaders, headerNames.serverLeaving)?.trim() === "1";
        }
        return rejection === undefined
            ? { kind: "answer", status, headers: res.rawHeaders }
            : { kind: "rejected", outcome: rejection, detail: `status ${status}` };
    };

    const call = startHttpCall({ ...req, body: () => req.body }, {
        localAddress: options.localAddress,
        connect: options.connect,
        connectTimeoutMs: options.connectTimeoutMs,
        timeoutMs: options.timeoutMs,
        maxBufferedBytes: options.maxBufferedBytes,
        budget: options.budget,
        pieceBudget: options.pieceBudget,
        onConnected: options.onConnected,
        readHead,
        answerHeaders: answerHeadersOf(headerNames),
    });
    return { ...call, result: call.result.then(result => ({ ...result, ...notice })) };
};
