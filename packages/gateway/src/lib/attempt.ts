/** What the ways of sending a request to a backend server have in common: directly, and through another entry host. */
import type { Repeatability } from "@cassiapick/core";
import type { CallerRequest } from "./caller-request.js";
import type { RawHeaders } from "./headers.js";
import type { HttpCallResult } from "./http-call.js";

/** What an attempt needs to know of its request. */
export interface AttemptRequest {
    requestId: string | undefined;
    /** Identifies the request by its content; `undefined` if an earlier version forwarded it. */
    requestKey?: string;
    routeName: string;
    /** Latency objective of the route, in milliseconds. */
    latencyObjectiveMs: number;
    service: string;
    repeatability: Repeatability;
    /** Whether the answer may be large; it is read whole before a byte is passed on, so that the request can be repeated until then. */
    hasLargeAnswer?: boolean;
    method: string;
    target: string;
    /** End-to-end headers, without those that the gateway sets. */
    headers: RawHeaders;
    body: Buffer;
    /** When the caller must have a response, in milliseconds of the host's clock. */
    deadlineAt: number;
}

/** What the attempts of a caller's request at `service` need to know of it. */
export const attemptRequestOf = ({ route, ...req }: CallerRequest, service: string): AttemptRequest => ({
    requestId: req.requestId,
    requestKey: req.requestKey,
    routeName: route.name,
    latencyObjectiveMs: route.latencyObjectiveMs,
    service,
    repeatability: route.repeatability,
    hasLargeAnswer: route.hasLargeAnswers,
    method: req.method,
    target: req.target,
    headers: req.headers,
    body: req.body,
    deadlineAt: req.deadlineAt,
});

/** How an attempt ended. */
export interface AttemptResult extends HttpCallResult {
    /** The server that the request was sent to, or to which no connection was established; `undefined` if none was selected. */
    server?: { number: number; serverId: string; };
    /** Whether the server has stated that it is leaving. */
    isLeaving?: boolean;
    /** Whether another entry host turned the request away, so that no server was tried. */
    isTurnedAway?: boolean;
}

/** An attempt in flight. */
export interface Attempt {
    /** Never rejects. */
    readonly result: Promise<AttemptResult>;
    /** Resolves after `result`, with whether the server has ended under the request; never rejects. */
    readonly hasServerEnded: Promise<boolean>;
    /** Whether the request may run on a server because of this attempt. */
    mayHaveBeenSent(): boolean;
    /** Ends the attempt, so that the server can stop its work on the request. */
    cancel(): void;
}

/**
 * Longest answer of a request with {@link AttemptRequest.hasLargeAnswer} that is read whole, in bytes. A longer one is streamed, so
 * that an answer which breaks off is lost.
 */
const maxLargeAnswerBytes = 1024 * 1024;

/** How many bytes of the answer are read before it is passed on; `undefined` for the usual number. */
export const maxBufferedBytesOf = (req: AttemptRequest): number | undefined =>
    req.hasLargeAnswer === true ? maxLargeAnswerBytes : undefined;

/** The request's deadline ends its attempts; an attempt's own timeout, this much later, is only a safeguard, in milliseconds. */
export const attemptTimeoutMarginMs = 100;

/** Time until the caller must have a response, in milliseconds; at least 1. */
export const remainingMsAt = (req: AttemptRequest, now: number): number => Math.max(1, Math.floor(req.deadlineAt - now));
