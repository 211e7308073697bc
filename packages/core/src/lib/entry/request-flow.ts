/** The way of a request through one entry host: serve here, pass on, try again, answer. */
import { AttemptClass, Outcome } from "../outcome.js";
import type { Refusal } from "../outcome.js";
import { NextStepKind } from "../retry.js";
import { SchedulerActionKind } from "../scheduler.js";
import type { SchedulerAction } from "../scheduler.js";
import { EntryActionKind, ForwardClass } from "./entry-messages.js";
import type { EntryAction, EntryEvent, EntryEventKind, RequestInfo, StoredAnswer } from "./entry-messages.js";
import { chooseHost, forwardTo, HostChoiceKind } from "./host-choice.js";
import type { PoolNode } from "./pool-node.js";
import { callerWentAway, noRoute, noServers, notScheduled, refusedByAll, truthful } from "./refusals.js";
import { createRequestBook, isKeyed } from "./request-book.js";
import type { OpenAttempt, OpenRequest } from "./request-book.js";
import type { ClaimEnd, RequestFlowPorts } from "./request-flow-ports.js";
import { isIdempotent } from "./route-table.js";

/** Options of {@link createRequestFlow}. */
export interface RequestFlowCfg {
    hostId: string;
    ports: RequestFlowPorts;
}

/** The open requests of one host. Times are in milliseconds. */
export interface RequestFlow {
    arrive(info: RequestInfo, now: number): EntryAction[];
    attemptEnded(event: Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>, now: number): EntryAction[];
    forwardEnded(requestId: string, forwardClass: ForwardClass, now: number): EntryAction[];
    callerGone(requestId: string, now: number): EntryAction[];
    claimGranted(requestId: string, now: number): EntryAction[];
    /** The request is answered without an attempt here: by a replay or a refusal. */
    claimSettled(requestId: string): boolean;
    /** Applies what a pool's scheduler decided. */
    applyScheduled(pool: PoolNode, actions: SchedulerAction[], now: number): EntryAction[];
    /** Starts the second attempts that are due. */
    tick(now: number): EntryAction[];
    open(): number;
}

/** Creates the flow of one host, without requests. */
export const createRequestFlow = (cfg: RequestFlowCfg): RequestFlow => {
    const { hostId, ports } = cfg;
    const book = createRequestBook();

    const refuse = (request: OpenRequest, refusal: Refusal, now: number): EntryAction[] => {
        const { requestId } = request.info;
        book.close(requestId);
        const end: ClaimEnd = refusal.outcome === Outcome.NotRun ? { kind: "not-run" } : { kind: "unknown" };
        const claim = request.claimed ? ports.endClaim(requestId, end, now) : [];
        return [{ kind: EntryActionKind.Refuse, requestId, refusal }, ...claim];
    };

    const startAttempt = (pool: PoolNode, attempt: OpenAttempt, serverId: string, now: number): EntryAction[] => {
        const request = book.find(attempt.requestId);
        const server = pool.members().find(member => member.id === serverId);
        if (request === undefined || server === undefined) {
            book.removeAttempt(attempt.attemptId);
            const ended = pool.ended(attempt.attemptId, serverId, AttemptClass.Cancelled, undefined, now);
            const again = request === undefined ? [] : submit(request, pool, now);
            return [...ports.applyPool(pool, ended, now), ...again];
        }
        attempt.serverId = serverId;
        request.attempts += 1;
        request.tried.push(serverId);
        const started = pool.started(attempt.attemptId, serverId, request.info.kind, now);
        request.hedgeAt = hedgeTime(request, pool, now);
        return [
            {
                kind: EntryActionKind.Attempt,
                requestId: attempt.requestId,
                attemptId: attempt.attemptId,
                serverId,
                host: server.host,
                port: server.port,
                deadlineAt: request.info.deadlineAt,
                idempotent: request.idempotent,
            },
            ...request.idempotent ? ports.probe(pool, request.info.requestId) : [],
            ...ports.applyPool(pool, started, now),
        ];
    };

    const refuseAttempt = (
        attempt: OpenAttempt,
        action: Extract<SchedulerAction, { kind: SchedulerActionKind.Refuse; }>,
        now: number,
    ): EntryAction[] => {
        const request = book.find(attempt.requestId);
        book.removeAttempt(attempt.attemptId);
        // A hedge that gets no slot ends nothing while the first attempt goes on.
        if (request === undefined || book.attemptsOf(attempt.requestId).length > 0) {
            return [];
        }
        return refuse(request, truthful(request, notScheduled(request.service, action.reason, action.retryAfterMs)), now);
    };

    const applyScheduled = (pool: PoolNode, actions: SchedulerAction[], now: number): EntryAction[] =>
        actions.flatMap(action => {
            const attempt = book.findAttempt(action.attemptId);
            if (attempt === undefined) {
                return [];
            }
            return action.kind === SchedulerActionKind.Grant
                ? startAttempt(pool, attempt, action.serverId, now)
                : refuseAttempt(attempt, action, now);
        });

    const submit = (request: OpenRequest, pool: PoolNode, now: number): EntryAction[] => {
        const { attemptId } = book.addAttempt(request);
        const { brand, kind, deadlineAt } = request.info;
        const { arrivedAt, idempotent, tried } = request;
        const wish = { attemptId, brand, requestKind: kind, deadlineAt, arrivedAt, idempotent, tried: [...tried] };
        return ports.applyPool(pool, pool.submit(wish, now), now);
    };

    const serveHere = (request: OpenRequest, pool: PoolNode, now: number): EntryAction[] => {
        return isKeyed(request) ? ports.wantClaim(request.info, now) : submit(request, pool, now);
    };

    const route = (request: OpenRequest, now: number): EntryAction[] => {
        const pool = ports.pools.find(request.service);
        const choice = chooseHost(request, {
            hostId,
            canServe: (pool?.memberCount() ?? 0) > 0,
            candidates: ports.candidates(request.service),
        });
        switch (choice.kind) {
            case HostChoiceKind.Here:
                return serveHere(request, pool!, now);
            case HostChoiceKind.Nobody:
                return refuse(request, truthful(request, noServers(request.service)), now);
            case HostChoiceKind.There:
                request.forwardedTo.push(choice.host.hostId);
                return [forwardTo(request, hostId, choice.host)];
        }
    };

    const arrive = (info: RequestInfo, now: number): EntryAction[] => {
        const match = ports.routes().match(info.brand, info.kind);
        if (!match.ok) {
            return [{ kind: EntryActionKind.Refuse, requestId: info.requestId, refusal: noRoute(match.reason, match.message) }];
        }
        const request: OpenRequest = {
            info: { ...info, deadlineAt: Math.min(info.deadlineAt, now + match.route.timeoutMs) },
            route: match.route,
            service: match.pool.service,
            idempotent: isIdempotent(match.route, info.method),
            attempts: 0,
            mayHaveRun: false,
            tried: [],
            forwardedTo: [],
            claimed: false,
            abandoned: false,
            arrivedAt: now,
        };
        book.open(request);
        return route(request, now);
    };

    /** Ends the attempts that lost against another one of the same request. */
    const cancelAttempts = (requestId: string, now: number): EntryAction[] =>
        book.attemptsOf(requestId).flatMap(attempt => {
            if (attempt.serverId !== undefined) {
                return [{ kind: EntryActionKind.CancelAttempt, attemptId: attempt.attemptId }];
            }
            const pool = ports.pools.find(attempt.service);
            book.removeAttempt(attempt.attemptId);
            return pool === undefined ? [] : ports.applyPool(pool, pool.cancelQueued(attempt.attemptId, now), now);
        });

    const hedgeTime = (request: OpenRequest, pool: PoolNode, now: number): number | undefined => {
        const afterMs = request.idempotent && request.attempts === 1 ? pool.hedgeAfterMs(request.info.kind) : undefined;
        return afterMs === undefined ? undefined : now + afterMs;
    };

    const hedge = (request: OpenRequest, now: number): EntryAction[] => {
        request.hedgeAt = undefined;
        const pool = ports.pools.find(request.service);
        const { idempotent, attempts, info } = request;
        const wish = { requestKind: info.kind, idempotent, attempts, now, deadlineAt: info.deadlineAt };
        const isWanted = pool !== undefined && !request.abandoned && book.attemptsOf(info.requestId).length === 1;
        return isWanted && pool.takeHedge(wish) ? submit(request, pool, now) : [];
    };

    const deliver = (request: OpenRequest, attemptId: string, answer: StoredAnswer | undefined, now: number): EntryAction[] => {
        const { requestId } = request.info;
        book.close(requestId);
        const claim = request.claimed ? ports.endClaim(requestId, { kind: "completed", answer }, now) : [];
        return [{ kind: EntryActionKind.Deliver, requestId, attemptId }, ...claim, ...cancelAttempts(requestId, now)];
    };

    /** Ends a request whose answer the adapter had already begun to pass on. */
    const close = (request: OpenRequest, attemptClass: AttemptClass, now: number): EntryAction[] => {
        const { requestId } = request.info;
        book.close(requestId);
        const end: ClaimEnd = attemptClass === AttemptClass.Success ? { kind: "completed" } : { kind: "unknown" };
        return request.claimed ? ports.endClaim(requestId, end, now) : [];
    };

    const giveUp = (request: OpenRequest, outcome: Outcome.NotRun | Outcome.Unknown, now: number): EntryAction[] => {
        if (outcome === Outcome.NotRun) {
            return refuse(request, refusedByAll, now);
        }
        request.mayHaveRun = true;
        return refuse(request, truthful(request, noServers(request.service)), now);
    };

    const attemptEnded: RequestFlow["attemptEnded"] = (event, now) => {
        const attempt = book.findAttempt(event.attemptId);
        const request = attempt === undefined ? undefined : book.find(attempt.requestId);
        if (attempt?.serverId === undefined) {
            return [];
        }
        book.removeAttempt(attempt.attemptId);
        const owner = ports.pools.find(attempt.service);
        const ended = owner?.ended(attempt.attemptId, attempt.serverId, event.attemptClass, event.retryAfterMs, now);
        const freed = owner === undefined || ended === undefined ? [] : ports.applyPool(owner, ended, now);
        if (request === undefined) {
            return freed;
        }
        if (event.committed === true) {
            return [...close(request, event.attemptClass, now), ...cancelAttempts(request.info.requestId, now), ...freed];
        }
        request.mayHaveRun ||= event.attemptClass !== AttemptClass.Shed && event.attemptClass !== AttemptClass.NotSent;
        return [...afterAttempt(request, owner, event, now), ...freed];
    };

    const afterAttempt = (
        request: OpenRequest,
        pool: PoolNode | undefined,
        event: Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>,
        now: number,
    ): EntryAction[] => {
        const { requestId } = request.info;
        const isAloneLeft = book.attemptsOf(requestId).length === 0;
        if (!isAloneLeft && event.attemptClass !== AttemptClass.Success) {
            return [];
        }
        if (pool === undefined || request.abandoned) {
            return event.attemptClass === AttemptClass.Success
                ? deliver(request, event.attemptId, event.answer, now)
                : giveUp(request, request.mayHaveRun ? Outcome.Unknown : Outcome.NotRun, now);
        }
        const { idempotent, attempts, mayHaveRun } = request;
        const next = pool.next({
            attemptClass: event.attemptClass,
            idempotent,
            attempts,
            mayHaveRun,
            now,
            deadlineAt: request.info.deadlineAt,
            requestKind: request.info.kind,
        });
        switch (next.kind) {
            case NextStepKind.Deliver:
                return deliver(request, event.attemptId, event.answer, now);
            case NextStepKind.Retry:
                return submit(request, pool, now);
            case NextStepKind.GiveUp:
                return giveUp(request, next.outcome, now);
        }
    };

    const forwardEnded = (requestId: string, forwardClass: ForwardClass, now: number): EntryAction[] => {
        const request = book.find(requestId);
        if (request === undefined) {
            return [];
        }
        if (forwardClass === ForwardClass.Completed) {
            book.close(requestId);
            return [];
        }
        request.mayHaveRun ||= forwardClass === ForwardClass.Cut;
        const mayTryAgain = request.idempotent || forwardClass === ForwardClass.NotSent || isKeyed(request);
        const canTryAgain = mayTryAgain && now < request.info.deadlineAt
            && (request.idempotent || !request.mayHaveRun || isKeyed(request));
        return canTryAgain ? route(request, now) : refuse(request, truthful(request, noServers(request.service)), now);
    };

    const callerGone = (requestId: string, now: number): EntryAction[] => {
        const request = book.find(requestId);
        if (request === undefined) {
            return [];
        }
        request.abandoned = true;
        const actions: EntryAction[] = [];
        for (const attempt of book.attemptsOf(requestId)) {
            const pool = ports.pools.find(request.service);
            if (attempt.serverId === undefined) {
                book.removeAttempt(attempt.attemptId);
                actions.push(...pool === undefined ? [] : ports.applyPool(pool, pool.cancelQueued(attempt.attemptId, now), now));
                actions.push(...refuse(request, truthful(request, callerWentAway), now));
            }
            else if (request.idempotent) {
                actions.push({ kind: EntryActionKind.CancelAttempt, attemptId: attempt.attemptId });
            }
        }
        return actions;
    };

    const claimGranted = (requestId: string, now: number): EntryAction[] => {
        const request = book.find(requestId);
        const pool = request === undefined ? undefined : ports.pools.find(request.service);
        if (request === undefined) {
            return ports.endClaim(requestId, { kind: "not-run" }, now);
        }
        request.claimed = true;
        return pool === undefined
            ? refuse(request, truthful(request, noServers(request.service)), now)
            : submit(request, pool, now);
    };

    const claimSettled = (requestId: string): boolean => {
        const isOpen = book.find(requestId) !== undefined;
        book.close(requestId);
        return isOpen;
    };

    return {
        arrive,
        attemptEnded,
        forwardEnded,
        callerGone,
        claimGranted,
        claimSettled,
        applyScheduled,
        tick: now => book.hedgesDue(now).flatMap(request => hedge(request, now)),
        open: () => book.size(),
    };
};
