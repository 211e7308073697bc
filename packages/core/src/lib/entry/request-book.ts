/** The requests that one entry host has not answered yet. */
import type { Route } from "../tables.js";
import type { RequestInfo } from "./entry-messages.js";

/** One request from its arrival to its answer. */
export interface OpenRequest {
    info: RequestInfo;
    route: Route;
    service: string;
    idempotent: boolean;
    attempts: number;
    /** Whether any attempt may have reached a backend server. */
    mayHaveRun: boolean;
    /** Backend servers that were tried. */
    tried: string[];
    /** Entry hosts that were tried. */
    forwardedTo: string[];
    /** Whether this host holds the claim of the request's key. */
    claimed: boolean;
    /** Whether the caller went away. */
    abandoned: boolean;
    arrivedAt: number;
    /** When a second attempt beside the first is worth its cost. */
    hedgeAt?: number;
}

/** Whether the request must run at most once however often it is sent. */
export const isKeyed = (request: OpenRequest): boolean => !request.idempotent && request.info.idempotencyKey !== undefined;

/** An attempt that waits for a slot or holds one. */
export interface OpenAttempt {
    attemptId: string;
    requestId: string;
    service: string;
    /** `undefined` while it waits for a slot. */
    serverId?: string;
}

/** Open requests and their attempts. */
export interface RequestBook {
    open(request: OpenRequest): void;
    find(requestId: string): OpenRequest | undefined;
    close(requestId: string): void;
    addAttempt(request: OpenRequest): OpenAttempt;
    findAttempt(attemptId: string): OpenAttempt | undefined;
    removeAttempt(attemptId: string): void;
    attemptsOf(requestId: string): OpenAttempt[];
    /** Requests for which a second attempt is due. */
    hedgesDue(now: number): OpenRequest[];
    size(): number;
}

/** Creates an empty book. */
export const createRequestBook = (): RequestBook => {
    const requests = new Map<string, OpenRequest>();
    const attempts = new Map<string, OpenAttempt>();
    const byRequest = new Map<string, OpenAttempt[]>();
    let nextAttempt = 1;

    const addAttempt = ({ info, service }: OpenRequest): OpenAttempt => {
        const { requestId } = info;
        const attempt: OpenAttempt = { attemptId: `${requestId}/${nextAttempt}`, requestId, service };
        nextAttempt += 1;
        attempts.set(attempt.attemptId, attempt);
        byRequest.set(requestId, [...byRequest.get(requestId) ?? [], attempt]);
        return attempt;
    };

    const removeAttempt = (attemptId: string): void => {
        const attempt = attempts.get(attemptId);
        if (attempt === undefined) {
            return;
        }
        attempts.delete(attemptId);
        const left = (byRequest.get(attempt.requestId) ?? []).filter(other => other !== attempt);
        if (left.length > 0) {
            byRequest.set(attempt.requestId, left);
        }
        else {
            byRequest.delete(attempt.requestId);
        }
    };

    return {
        open: request => {
            requests.set(request.info.requestId, request);
        },
        find: requestId => requests.get(requestId),
        close: requestId => {
            requests.delete(requestId);
        },
        addAttempt,
        findAttempt: attemptId => attempts.get(attemptId),
        removeAttempt,
        attemptsOf: requestId => byRequest.get(requestId) ?? [],
        hedgesDue: now => [...requests.values()].filter(request => request.hedgeAt !== undefined && request.hedgeAt <= now),
        size: () => requests.size,
    };
};
