/**
 * Messages between two entry hosts of which one sends a request to a backend server for the other.
 *
 * The body of the HTTP request is one frame with a {@link ForwardRequest}. The response has the {@link ForwardResult} in a header,
 * and the server's body, if there is one, as its own body, so that long answers are streamed and truncated ones are recognized.
 */
import { AttemptOutcome, isFinalStatus, Repeatability } from "@cassiapick/core";
import { createFrameReader, encodeFrame } from "@cassiapick/wire";

/** A request that another entry host sends on. Short enough to be sent again in full when it is sent to a further host. */
export interface ForwardRequest {
    /** The caller's id of the request; `undefined` if it has none. */
    requestId?: string;
    /** Identifies the request by its content; earlier versions send none. */
    requestKey?: string;
    routeName: string;
    /** Latency objective of the route, in milliseconds. */
    latencyObjectiveMs: number;
    service: string;
    repeatability: Repeatability;
    /** Whether the answer may be large; earlier versions don't say. */
    hasLargeAnswer?: boolean;
    /** Time until the caller must have a response, in milliseconds. */
    remainingMs: number;
    /** Numbers of the servers that must not get the request. */
    excluded: number[];
    method: string;
    target: string;
    headers: string[];
    body: Uint8Array;
}

/** How the attempt of the other entry host ended. */
export interface ForwardResult {
    outcome: AttemptOutcome;
    detail: string;
    /** Whether the host has sent nothing and can't send requests to the service now, so that others should be asked. */
    isUnavailable?: boolean;
    /** Whether the host is unavailable only for requests with large answers, as it holds too many bytes. */
    isShortOfMemory?: boolean;
    /** Whether the server has stated that it is leaving. */
    isLeaving?: boolean;
    /** Whether the server has ended under the request. */
    hasServerEnded?: boolean;
    /** The server that was tried. */
    server?: { number: number; serverId: string; };
    /** Status and headers of the server's answer; its body follows. */
    answer?: { status: number; headers: string[]; };
}

/** Path of the requests. */
export const forwardTarget = "/forward";
/** Header of the response with a {@link ForwardResult}, as a frame in base64. */
export const forwardResultHeader = "cassiapick-result";
/** Longest head of a response, in bytes: a server's headers in base64. */
export const maxForwardHeadBytes = 128 * 1024;

const decodeFrame = (frame: Uint8Array, limitBytes: number): unknown => {
    const result = createFrameReader(limitBytes).push(frame);
    return result.ok && result.values.length === 1 ? result.values[0] : undefined;
};

const isStringList = (value: unknown): value is string[] => Array.isArray(value) && value.every(item => typeof item === "string");

const isForwardRequest = (value: unknown): value is ForwardRequest => {
    const req = value as Partial<ForwardRequest> | null | undefined;
    return typeof req === "object" && req !== null
        && (req.requestId === undefined || typeof req.requestId === "string")
        && (req.requestKey === undefined || typeof req.requestKey === "string")
        && typeof req.routeName === "string" && typeof req.service === "string"
        && typeof req.latencyObjectiveMs === "number" && typeof req.remainingMs === "number"
        && Object.values(Repeatability).includes(req.repeatability!)
        && (req.hasLargeAnswer === undefined || typeof req.hasLargeAnswer === "boolean")
        && Array.isArray(req.excluded) && req.excluded.every(number => typeof number === "number")
        && typeof req.method === "string" && typeof req.target === "string" && isStringList(req.headers)
        && req.body instanceof Uint8Array;
};

const isServer = (value: unknown): boolean =>
    typeof value === "object" && value !== null && "number" in value && typeof value.number === "number"
    && "serverId" in value && typeof value.serverId === "string";

const isForwardResult = (value: unknown): value is ForwardResult => {
    const result = value as Partial<ForwardResult> | null | undefined;
    return typeof result === "object" && result !== null
        && Object.values(AttemptOutcome).includes(result.outcome!) && typeof result.detail === "string"
        && (result.server === undefined || isServer(result.server))
        && (result.answer === undefined || (isFinalStatus(result.answer.status) && isStringList(result.answer.headers)));
};

export const encodeForwardRequest = (req: ForwardRequest): Buffer => encodeFrame(req);

/** Decodes a request; `undefined` if it is not one. */
export const decodeForwardRequest = (body: Buffer): ForwardRequest | undefined => {
    const value = decodeFrame(body, body.length);
    return isForwardRequest(value) ? value : undefined;
};

export const encodeForwardResult = (result: ForwardResult): string => encodeFrame(result).toString("base64");

/** Decodes a result; `undefined` if it is not one. */
export const decodeForwardResult = (header: string | undefined): ForwardResult | undefined => {
    const value = decodeFrame(Buffer.from(header ?? "", "base64"), maxForwardHeadBytes);
    return isForwardResult(value) ? value : undefined;
};
