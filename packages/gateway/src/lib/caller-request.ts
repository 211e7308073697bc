/** Requests of callers, and the replies to them. */
import type { ConfigNumber, GatewayRoute } from "@cassiapick/core";
import type { RawHeaders } from "./headers.js";
import type { ServerAnswer } from "./http-call.js";

/** A caller's request and its route. */
export interface CallerRequest {
    requestId: string | undefined;
    /** Identifies the request by its content, under whatever id it is sent. */
    requestKey: string;
    /** Address of the caller, without a port. */
    callerAddress: string;
    route: GatewayRoute;
    /** Number of the configuration that the route is from. */
    configNumber: ConfigNumber;
    /** Name of the workspace that the request counts for; `undefined` if callers need no keys. */
    workspace?: string;
    /** Priority of the request, from its workspace or its route; 0 is the most urgent. */
    priority: number;
    method: string;
    target: string;
    /** End-to-end headers, without those that the gateway sets. */
    headers: RawHeaders;
    body: Buffer;
    /** When the head of the request was read, in milliseconds of the host's clock. */
    arrivedAt: number;
    /** When the caller's deadline or the route's timeout passes, in milliseconds of the host's clock. */
    deadlineAt: number;
    /** Returns the reply to a request that may not be sent any more, as its key was withdrawn while it waited. */
    accessLoss?: () => AccessLossReply | undefined;
}

export enum ReplyKind {
    /** The answer of a backend server. */
    Answer = "answer",
    /** The request has not run. */
    Refused = "refused",
    /** The request may have run. */
    Failed = "failed",
    /** The request's workspace has used up its quota; the request has not run. */
    OverQuota = "over-quota",
    /** The request's key was withdrawn while it waited; the request has not run. */
    Unauthorized = "unauthorized",
    TimedOut = "timed-out",
    /** The caller has closed its connection. */
    CallerDisconnected = "abandoned",
}

/** The reply to a request that has not run. */
export interface RefusedReply {
    kind: ReplyKind.Refused;
    retryAfterMs: number;
    reason: string;
}

/** The reply to a request that may not be sent. */
export type AccessLossReply =
    | RefusedReply
    | { kind: ReplyKind.Unauthorized; reason: string; };

/** The reply to the caller. */
export type Reply =
    | { kind: ReplyKind.Answer; answer: ServerAnswer; serverId?: string; attemptCount: number; detail: string; }
    | AccessLossReply
    | { kind: ReplyKind.OverQuota; retryAfterMs: number; reason: string; }
    | { kind: ReplyKind.Failed; reason: string; }
    | { kind: ReplyKind.TimedOut; reason: string; }
    | { kind: ReplyKind.CallerDisconnected; };

/** A request in flight. */
export interface RequestRun {
    readonly reply: Promise<Reply>;
    /** Cancels all attempts, as the caller has disconnected. */
    cancel(): void;
    /** From now on the request is sent to no server unless it may have run already; it ends with `refusal` instead. */
    refuseUnsent(refusal: RefusedReply): void;
}
