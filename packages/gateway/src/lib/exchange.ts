/**
 * Sends a request to one backend server over a separate connection and classifies the outcome. Used by the entry hosts of the
 * platform; the program `cassiapick-entry` has its own exchange in `@cassiapick/entry`.
 */
import { AttemptOutcome } from "@cassiapick/core";
import type { IncomingMessage } from "node:http";
import { headerValue } from "./headers.js";
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
    onConnected?: () => void;
}

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

/** Returns the outcome if the status and the headers already rule the answer out. */
const rejectionOf = (res: IncomingMessage, requestId: string | undefined, names: HeaderNames): AttemptOutcome | undefined => {
    const status = res.statusCode ?? 0;
    if (headerValue(res.rawHeaders, names.notRun) !== undefined) {
        return AttemptOutcome.Declined;
    }
    if (status === misdirectedStatus) {
        return AttemptOutcome.WrongServer;
    }
    const echoedId = headerValue(res.rawHeaders, names.requestId);
    if (requestId !== undefined && echoedId !== undefined && echoedId !== requestId) {
        return AttemptOutcome.Broken;
    }
    const isSuccess = status >= 200 && status < 300;
    if ((isSuccess && headerValue(res.rawHeaders, names.signature) === undefined) || notRunStatuses.has(status)) {
        return AttemptOutcome.Broken;
    }
    return headerValue(res.rawHeaders, "content-encoding") === undefined ? undefined : AttemptOutcome.Broken;
};

/** Sends a request. */
export const startExchange = (req: ExchangeRequest, options: ExchangeOptions): Exchange => {
    const { headerNames } = options;
    let limitPerS: number | undefined;

    const readHead = (res: IncomingMessage): ResponseHead => {
        const status = res.statusCode ?? 0;
        const rejection = rejectionOf(res, req.requestId, headerNames);
        // Other rejected answers may be from another server or for another request.
        if (rejection === undefined || (rejection === AttemptOutcome.Declined && status !== misdirectedStatus)) {
            limitPerS = limitOf(res.rawHeaders, headerNames.serverLimit);
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
        onConnected: options.onConnected,
        readHead,
    });
    return { ...call, result: call.result.then(result => ({ ...result, limitPerS })) };
};
