/** Controls each request on an entry host: running it here or forwarding it, retries, hedging and the final answer. */
import { AttemptClass, Outcome } from "../outcome.js";
import type { Refusal } from "../outcome.js";
import { NextStepKind } from "../retry.js";
import { SchedulerActionKind } from "../scheduler.js";
import type { SchedulerAction } from "../scheduler.js";
import { endedAttempt } from "./ended-attempt.js";
import { EntryActionKind, ForwardClass } from "./entry-messages.js";
import type { EntryAction, EntryEvent, EntryEventKind, RequestInfo, StoredAnswer } from "./entry-messages.js";
import { createHedges, hedgeTimeOf } from "./hedges.js";
import { forwardAction, HostSelectionKind, selectHost } from "./host-selection.js";
import type { PoolController } from "./pool-controller.js";
import { allServersRefused, callerClosedConnection, correctOutcome, noRoute, noServers, notScheduled } from "./refusals.js";
import type { ClaimOutcome, RequestFlowDependencies } from "./request-flow-dependencies.js";
import { createRequestRegistry, isKeyed } from "./request-registry.js";
import type { OpenAttempt, OpenRequest } from "./request-registry.js";
import { isIdempotent } from "./route-table.js";
import { createSubmissions } from "./submissions.js";

/** Options of {@link createRequestFlow}. */
export interface RequestFlowCfg {
    hostId: string;
    deps: RequestFlowDependencies;
}

/** The open requests of one entry host. `now` is in milliseconds. */
export interface RequestFlow {
    requestArrived(info: RequestInfo, now: number): EntryAction[];
    attemptEnded(event: Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>, now: number): EntryAction[];
    forwardEnded(requestId: string, forwardClass: ForwardClass, now: number): EntryAction[];
    callerDisconnected(requestId: string, now: number): EntryAction[];
    claimGranted(requestId: string, now: number): EntryAction[];
    /**
     * Closes a request whose claim was not granted: its caller gets the stored answer of an earlier request with the key, or a
     * refusal. Returns whether the request was still open.
     */
    closeSettled(requestId: string): boolean;
    /** Applies the grants and refusals of a pool's scheduler. */
    applySchedulerActions(pool: PoolController, actions: SchedulerAction[], now: number): EntryAction[];
    /** Starts the hedges that are due. */
    tick(now: number): EntryAction[];
    openRequestCount(): number;
}

/** Creates the request flow of one host, without requests. */
export const createRequestFlow = (cfg: RequestFlowCfg): RequestFlow => {
    const { hostId, deps } = cfg;
    const registry = createRequestRegistry();

    const endClaim = (request: OpenRequest, outcome: ClaimOutcome, now: number): EntryAction[] =>
        request.holdsClaim ? deps.endClaim(request.info.requestId, outcome, now) : [];

    const refuse = (request: OpenRequest, refusal: Refusal, now: number): EntryAction[] => {
        const { requestId } = request.info;
        registry.remove(requestId);
        const outcome: ClaimOutcome = refusal.outcome === Outcome.NotRun ? { kind: "not-run" } : { kind: "unknown" };
        return [{ kind: EntryActionKind.Refuse, requestId, refusal }, ...endClaim(request, outcome, now)];
    };

    const startAttempt = (pool: PoolController, attempt: OpenAttempt, serverId: string, now: number): EntryAction[] => {
        const request = registry.find(attempt.requestId);
        const server = pool.members().find(member => member.id === serverId);
        if (request === undefined || server === undefined) {
            registry.removeAttempt(attempt.attemptId);
            const ended = pool.recordEnd(attempt.attemptId, serverId, AttemptClass.Cancelled, undefined, now);
            const resubmitted = request === undefined ? [] : submissions.submit(request, pool, now);
            return [...deps.applyPool(pool, ended, now), ...resubmitted];
        }
        attempt.serverId = serverId;
        attempt.startedAt = now;
        request.attemptCount += 1;
        request.triedServerIds.push(serverId);
        const started = pool.recordStart(attempt.attemptId, serverId, request.info.kind, now);
        request.hedgeAt = hedgeTimeOf(request, pool, now);
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
            ...request.idempotent && deps.turns.isFree(request.info, now)
                ? deps.probeWithRequest(pool, request.info.requestId)
                : [],
            ...deps.applyPool(pool, started, now),
        ];
    };

    const refuseAttempt = (
        attempt: OpenAttempt,
        action: Extract<SchedulerAction, { kind: SchedulerActionKind.Refuse; }>,
        now: number,
    ): EntryAction[] => {
        const request = registry.find(attempt.requestId);
        registry.removeAttempt(attempt.attemptId);
        // A hedge that gets no slot does not end the request while the first attempt is still running.
        if (request === undefined || registry.attemptsOf(attempt.requestId).length > 0) {
            return [];
        }
        // An earlier attempt may have run the request; the refusal then reports an unknown outcome.
        return refuse(request, correctOutcome(request, notScheduled(request.service, action.reason, action.retryAfterMs)), now);
    };

    /** Releases a slot that was granted to an attempt that no longer exists; otherwise the slot would leak. */
    const releaseUnusedSlot = (pool: PoolController, action: SchedulerAction, now: number): EntryAction[] =>
        action.kind === SchedulerActionKind.Grant
            ? deps.applyPool(pool, pool.recordEnd(action.attemptId, action.serverId, AttemptClass.Cancelled, undefined, now), now)
            : [];

    const applySchedulerActions = (pool: PoolController, actions: SchedulerAction[], now: number): EntryAction[] =>
        actions.flatMap(action => {
            const attempt = registry.findAttempt(action.attemptId);
            if (attempt === undefined) {
                return releaseUnusedSlot(pool, action, now);
            }
            return action.kind === SchedulerActionKind.Grant
                ? startAttempt(pool, attempt, action.serverId, now)
                : refuseAttempt(attempt, action, now);
        });

    const submissions = createSubmissions({ registry, deps, refuse });
    const hedges = createHedges({ registry, deps, submissions });

    const serveLocally = (request: OpenRequest, pool: PoolController, now: number): EntryAction[] =>
        isKeyed(request) ? deps.requestClaim(request.info, now) : submissions.submit(request, pool, now);

    const routeRequest = (request: OpenRequest, now: number): EntryAction[] => {
        const pool = deps.pools.find(request.service);
        const selection = selectHost(request, {
            selfHostId: hostId,
            canServe: (pool?.memberCount() ?? 0) > 0,
            candidates: deps.candidateHosts(request.service),
        });
        switch (selection.kind) {
            case HostSelectionKind.Local:
                return serveLocally(request, pool!, now);
            case HostSelectionKind.None:
                return refuse(request, correctOutcome(request, noServers(request.service)), now);
            case HostSelectionKind.Remote:
                request.forwardedToHostIds.push(selection.host.hostId);
                return [forwardAction(request, hostId, selection.host)];
        }
    };

    const requestArrived = (info: RequestInfo, now: number): EntryAction[] => {
        const match = deps.routes().match(info.brand, info.kind);
        if (!match.ok) {
            return [{ kind: EntryActionKind.Refuse, requestId: info.requestId, refusal: noRoute(match.reason, match.message) }];
        }
        const request: OpenRequest = {
            info: { ...info, deadlineAt: Math.min(info.deadlineAt, now + match.route.timeoutMs) },
            route: match.route,
            service: match.pool.service,
            idempotent: isIdempotent(match.route, info.method),
            attemptCount: 0,
            mayHaveRun: false,
            triedServerIds: [],
            forwardedToHostIds: [],
            holdsClaim: false,
            callerDisconnected: false,
            arrivedAt: now,
        };
        registry.add(request);
        return routeRequest(request, now);
    };

    /** Cancels the other attempts of a request once one has ended it: by an answer that is delivered, or by a cut stream. */
    const cancelAttempts = (requestId: string, now: number): EntryAction[] =>
        registry.attemptsOf(requestId).flatMap(attempt => {
            if (attempt.serverId !== undefined) {
                return [{ kind: EntryActionKind.CancelAttempt, attemptId: attempt.attemptId }];
            }
            const pool = deps.pools.find(attempt.service);
            registry.removeAttempt(attempt.attemptId);
            return pool === undefined ? [] : deps.applyPool(pool, pool.cancelQueued(attempt.attemptId, now), now);
        });

    const deliver = (request: OpenRequest, attemptId: string, answer: StoredAnswer | undefined, now: number): EntryAction[] => {
        const { requestId } = request.info;
        registry.remove(requestId);
        const claim = endClaim(request, { kind: "completed", answer }, now);
        return [{ kind: EntryActionKind.Deliver, requestId, attemptId }, ...claim, ...cancelAttempts(requestId, now)];
    };

    /** Closes a request whose answer the I/O adapter had already started to stream to the caller. */
    const closeStreamed = (request: OpenRequest, attemptClass: AttemptClass, now: number): EntryAction[] => {
        registry.remove(request.info.requestId);
        return endClaim(request, { kind: attemptClass === AttemptClass.Success ? "completed" : "unknown" }, now);
    };

    const giveUp = (request: OpenRequest, outcome: Outcome.NotRun | Outcome.Unknown, now: number): EntryAction[] => {
        if (outcome === Outcome.NotRun) {
            return refuse(request, allServersRefused, now);
        }
        request.mayHaveRun = true;
        return refuse(request, correctOutcome(request, noServers(request.service)), now);
    };

    const attemptEnded: RequestFlow["attemptEnded"] = (event, now) => {
        const attempt = registry.findAttempt(event.attemptId);
        const request = attempt === undefined ? undefined : registry.find(attempt.requestId);
        if (attempt?.serverId === undefined) {
            return [];
        }
        // Updated before the slot is released: the release may refuse a queued hedge of the same request, and the outcome
        // reported then must take this attempt into account.
        if (request !== undefined) {
            request.mayHaveRun ||= event.attemptClass !== AttemptClass.Shed && event.attemptClass !== AttemptClass.NotSent;
        }
        const pool = deps.pools.find(attempt.service);
        const endsServers = request !== undefined
            && deps.turns.attemptEnded(endedAttempt(request, attempt, pool, event, now), now);
        const ended = pool?.recordEnd(attempt.attemptId, attempt.serverId, event.attemptClass, event.retryAfterMs, now);
        const freed = pool === undefined || ended === undefined ? [] : deps.applyPool(pool, ended, now);
        registry.removeAttempt(attempt.attemptId);
        if (request === undefined || registry.find(request.info.requestId) !== request) {
            return freed;
        }
        if (event.committed === true) {
            return [...closeStreamed(request, event.attemptClass, now), ...cancelAttempts(request.info.requestId, now), ...freed];
        }
        return [...afterAttempt(request, pool, event, endsServers, now), ...freed];
    };

    const afterAttempt = (
        request: OpenRequest,
        pool: PoolController | undefined,
        event: Extract<EntryEvent, { kind: EntryEventKind.AttemptEnded; }>,
        endsServers: boolean,
        now: number,
    ): EntryAction[] => {
        const isLastAttempt = registry.attemptsOf(request.info.requestId).length === 0;
        if (!isLastAttempt && event.attemptClass !== AttemptClass.Success) {
            return [];
        }
        if (pool === undefined || request.callerDisconnected) {
            return event.attemptClass === AttemptClass.Success
                ? deliver(request, event.attemptId, event.answer, now)
                : giveUp(request, request.mayHaveRun ? Outcome.Unknown : Outcome.NotRun, now);
        }
        if (endsServers) {
            return giveUp(request, Outcome.Unknown, now);
        }
        const { idempotent, attemptCount: attempts, mayHaveRun } = request;
        const next = pool.nextStep({
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
                return submissions.submit(request, pool, now);
            case NextStepKind.GiveUp:
                return giveUp(request, next.outcome, now);
        }
    };

    const forwardEnded = (requestId: string, forwardClass: ForwardClass, now: number): EntryAction[] => {
        const request = registry.find(requestId);
        if (request === undefined) {
            return [];
        }
        if (forwardClass === ForwardClass.Completed) {
            registry.remove(requestId);
            return [];
        }
        request.mayHaveRun ||= forwardClass === ForwardClass.Cut;
        const mayRetry = request.idempotent || forwardClass === ForwardClass.NotSent || isKeyed(request);
        // A keyed request may be forwarded again even if it may have run: the next host must claim its key first, and the claim
        // is not granted while another host holds it or after the request has run.
        const canRetry = mayRetry && now < request.info.deadlineAt
            && (request.idempotent || !request.mayHaveRun || isKeyed(request));
        return canRetry ? routeRequest(request, now) : refuse(request, correctOutcome(request, noServers(request.service)), now);
    };

    const callerDisconnected = (requestId: string, now: number): EntryAction[] => {
        const request = registry.find(requestId);
        if (request === undefined) {
            return [];
        }
        request.callerDisconnected = true;
        const actions: EntryAction[] = deps.turns.isWaiting(requestId) && registry.attemptsOf(requestId).length === 0
            ? refuse(request, correctOutcome(request, callerClosedConnection), now)
            : [];
        for (const attempt of registry.attemptsOf(requestId)) {
            const pool = deps.pools.find(request.service);
            if (attempt.serverId === undefined) {
                registry.removeAttempt(attempt.attemptId);
                actions.push(...pool === undefined ? [] : deps.applyPool(pool, pool.cancelQueued(attempt.attemptId, now), now));
                actions.push(...refuse(request, correctOutcome(request, callerClosedConnection), now));
            }
            else if (request.idempotent) {
                actions.push({ kind: EntryActionKind.CancelAttempt, attemptId: attempt.attemptId });
            }
        }
        return actions;
    };

    const claimGranted = (requestId: string, now: number): EntryAction[] => {
        const request = registry.find(requestId);
        const pool = request === undefined ? undefined : deps.pools.find(request.service);
        if (request === undefined) {
            return deps.endClaim(requestId, { kind: "not-run" }, now);
        }
        request.holdsClaim = true;
        return pool === undefined
            ? refuse(request, correctOutcome(request, noServers(request.service)), now)
            : submissions.submit(request, pool, now);
    };

    const closeSettled = (requestId: string): boolean => {
        const isOpen = registry.find(requestId) !== undefined;
        registry.remove(requestId);
        return isOpen;
    };

    return {
        requestArrived,
        attemptEnded,
        forwardEnded,
        callerDisconnected,
        claimGranted,
        closeSettled,
        applySchedulerActions,
        tick: now => {
            deps.turns.sweep(requestId => registry.find(requestId) !== undefined, now);
            return [...submissions.startSettled(now), ...hedges.start(now)];
        },
        openRequestCount: () => registry.size(),
    };
};
