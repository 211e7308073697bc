/** Tracks the requests that an entry host has not answered yet, and their attempts. */
import type { Route } from "../tables.js";
import type { RequestInfo } from "./entry-messages.js";

/** A request that has been received and not yet answered. Times are in milliseconds. */
export interface OpenRequest {
    info: RequestInfo;
    route: Route;
    service: string;
    idempotent: boolean;
    /** Number of attempts started. */
    attemptCount: number;
    /** Whether a backend server may have run the request; an attempt that was shed or not sent does not count. */
    mayHaveRun: boolean;
    triedServerIds: string[];
    forwardedToHostIds: string[];
    /** Whether this host holds the claim of the request's key. */
    holdsClaim: boolean;
    callerDisconnected: boolean;
    arrivedAt: number;
    /** When a hedge (a second attempt in parallel with the first) is to be started; `undefined` when none is. */
    hedgeAt?: number;
}

/** Returns whether the request needs a claim: it is not idempotent and has an idempotency key, so it must run at most once. */
export const isKeyed = (request: OpenRequest): boolean => !request.idempotent && request.info.idempotencyKey !== undefined;

/** An attempt that is queued for a slot or holds one. */
export interface OpenAttempt {
    attemptId: string;
    requestId: string;
    service: string;
    /** `undefined` while the attempt is queued. */
    serverId?: string;
    /** When it was sent, in milliseconds; `undefined` while it is queued. */
    startedAt?: number;
}

/** The open requests and their attempts. */
export interface RequestRegistry {
    add(request: OpenRequest): void;
    find(requestId: string): OpenRequest | undefined;
    remove(requestId: string): void;
    addAttempt(request: OpenRequest): OpenAttempt;
    findAttempt(attemptId: string): OpenAttempt | undefined;
    removeAttempt(attemptId: string): void;
    attemptsOf(requestId: string): OpenAttempt[];
    /** Returns the requests whose hedge is due. */
    requestsDueForHedge(now: number): OpenRequest[];
    /** Number of open requests. */
    size(): number;
}

/** Creates an empty registry. */
export const createRequestRegistry = (): RequestRegistry => {
    const requests = new Map<string, OpenRequest>();
    const attempts = new Map<string, OpenAttempt>();
    const attemptsByRequest = new Map<string, OpenAttempt[]>();
    let nextAttemptNumber = 1;

    const addAttempt = ({ info, service }: OpenRequest): OpenAttempt => {
        const { requestId } = info;
        const attempt: OpenAttempt = { attemptId: `${requestId}/${nextAttemptNumber}`, requestId, service };
        nextAttemptNumber += 1;
        attempts.set(attempt.attemptId, attempt);
        attemptsByRequest.set(requestId, [...attemptsByRequest.get(requestId) ?? [], attempt]);
        return attempt;
    };

    const removeAttempt = (attemptId: string): void => {
        const attempt = attempts.get(attemptId);
        if (attempt === undefined) {
            return;
        }
        attempts.delete(attemptId);
        const remaining = (attemptsByRequest.get(attempt.requestId) ?? []).filter(other => other !== attempt);
        if (remaining.length > 0) {
            attemptsByRequest.set(attempt.requestId, remaining);
        }
        else {
            attemptsByRequest.delete(attempt.requestId);
        }
    };

    return {
        add: request => {
            requests.set(request.info.requestId, request);
        },
        find: requestId => requests.get(requestId),
        remove: requestId => {
            requests.delete(requestId);
        },
        addAttempt,
        findAttempt: attemptId => attempts.get(attemptId),
        removeAttempt,
        attemptsOf: requestId => attemptsByRequest.get(requestId) ?? [],
        requestsDueForHedge: now =>
            [...requests.values()].filter(request => request.hedgeAt !== undefined && request.hedgeAt <= now),
        size: () => requests.size,
    };
};
