/** The way of a request through one entry host: serve here, pass on, try again, answer. */
import type { HostInfo } from "../membership/host-record.js";
import { AttemptClass, Outcome } from "../outcome.js";
import type { Refusal } from "../outcome.js";
import { NextStepKind } from "../retry.js";
import { SchedulerActionKind } from "../scheduler.js";
import type { SchedulerAction } from "../scheduler.js";
import { EntryActionKind, ForwardClass } from "./entry-messages.js";
import type { EntryAction, EntryEvent, EntryEventKind, RequestInfo, StoredAnswer } from "./entry-messages.js";
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
    open(): number;
}

/** Times that a request may be passed from host to host. */
const maxHops = 3;

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
            return [...applyScheduled(pool, ended.scheduled, now), ...again];
        }
        attempt.serverId = serverId;
        request.attempts += 1;
        request.tried.push(serverId);
        const started = pool.started(attempt.attemptId, serverId, request.info.kind, now);
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
            ...applyScheduled(pool, started.scheduled, now),
        ];
    };

    const refuseAttempt = (
        attempt: OpenAttempt,
        action: Extract<SchedulerAction, { kind: SchedulerActionKind.Refuse; }>,
        now: number,
    ): EntryAction[] => {
        const request = book.find(attempt.requestId);
        book.removeAttempt(attempt.attemptId);
        if (request === undefined) {
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
        const attempt = book.addAttempt(request.info.requestId);
        const { brand, kind, deadlineAt } = request.info;
        const wish = { attemptId: attempt.attemptId, brand, requestKind: kind, deadlineAt, exclude: request.tried };
        return applyScheduled(pool, pool.submit(wish, now).scheduled, now);
    };

    const serveHere = (request: OpenRequest, pool: PoolNode, now: number): EntryAction[] => {
        return isKeyed(request) ? ports.wantClaim(request.info, now) : submit(request, pool, now);
    };

    const forward = (request: OpenRequest, to: HostInfo): EntryAction => {
        request.forwardedTo.push(to.hostId);
        return {
            kind: EntryActionKind.Forward,
            requestId: request.info.requestId,
            hostId: to.hostId,
            host: to.callerHost,
            port: to.callerPort,
            deadlineAt: request.info.deadlineAt,
            visited: [...request.info.visited, hostId],
        };
    };

    const route = (request: OpenRequest, now: number): EntryAction[] => {
        const pool = ports.pools.find(request.service);
        const canServe = pool !== undefined && pool.memberCount() > 0;
        const isPassedOn = request.info.visited.length > 0;
        if (canServe && isPassedOn) {
            return serveHere(request, pool, now);
        }
        const visited = new Set([...request.info.visited, ...request.forwardedTo]);
        const next = ports.candidates(request.service).find(host =>
            !visited.has(host.hostId) && (host.hostId !== hostId || canServe)
        );
        if (canServe && (next === undefined || next.hostId === hostId)) {
            return serveHere(request, pool, now);
        }
        if (next === undefined || visited.size >= maxHops) {
            return refuse(request, truthful(request, noServers(request.service)), now);
        }
        return [forward(request, next)];
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
        };
        book.open(request);
        return route(request, now);
    };

    const deliver = (request: OpenRequest, attemptId: string, answer: StoredAnswer | undefined, now: number): EntryAction[] => {
        const { requestId } = request.info;
        book.close(requestId);
        const claim = request.claimed ? ports.endClaim(requestId, { kind: "completed", answer }, now) : [];
        return [{ kind: EntryActionKind.Deliver, requestId, attemptId }, ...claim];
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
        const pool = request === undefined ? undefined : ports.pools.find(request.service);
        if (attempt?.serverId === undefined) {
            return [];
        }
        book.removeAttempt(attempt.attemptId);
        const owner = pool ?? ports.pools.holding(attempt.serverId);
        const ended = owner?.ended(attempt.attemptId, attempt.serverId, event.attemptClass, event.retryAfterMs, now);
        const freed = owner === undefined ? [] : applyScheduled(owner, ended?.scheduled ?? [], now);
        if (request === undefined) {
            return freed;
        }
        if (event.committed === true) {
            return [...close(request, event.attemptClass, now), ...freed];
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
                actions.push(
                    ...(pool === undefined ? [] : applyScheduled(pool, pool.cancelQueued(attempt.attemptId, now).scheduled, now)),
                );
                actions.push(...refuse(request, callerWentAway, now));
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
        open: () => book.size(),
    };
};
