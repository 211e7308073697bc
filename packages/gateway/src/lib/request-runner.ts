/** Runs one request: selects servers, sends attempts, retries where that is safe, and determines the reply to the caller. */
import {
    Admission,
    AttemptOutcome,
    createRequestAttempts,
    pickDestination,
    planAttempt,
    Repeatability,
    RequestAction,
} from "@cassiapick/core";
import type { AttemptPlan, HostRetryBudget, PeerSelector, Random, RequestAttempts, Turn } from "@cassiapick/core";
import type { AdmissionQueue, QueuedRequest } from "./admission-queue.js";
import { admittedEndOf } from "./admitted-end.js";
import { createAttemptTurns } from "./attempt-turn.js";
import { attemptRequestOf } from "./attempt.js";
import type { Attempt, AttemptResult } from "./attempt.js";
import { ReplyKind } from "./caller-request.js";
import type { CallerRequest, RefusedReply, Reply, RequestRun } from "./caller-request.js";
import { startForwardAttempt } from "./forward-attempt.js";
import type { GatewayMetrics } from "./gateway-metrics.js";
import { createKeptAnswer } from "./kept-answer.js";
import { createRequestRetries } from "./request-retries.js";
import type { RetryReason } from "./request-retries.js";
import { startServerAttempt } from "./server-attempt.js";
import type { ServerAttemptDependencies } from "./server-attempt.js";

/** Dependencies that all requests of a host share. */
export interface RunnerDependencies extends ServerAttemptDependencies {
    retryBudget: HostRetryBudget;
    /** Holds requests while room at the servers is short. */
    admission: AdmissionQueue;
    /** The entry hosts that send requests to servers while this host has no path to them. */
    peers: PeerSelector;
    random: Random;
    metrics: Pick<GatewayMetrics, "increment">;
}

/**
 * `Retry-After` of refused requests, in milliseconds. It is short while the service has free slots, as a server that
 * declined may accept the next request, and about the duration of one request while the service is full. The random part
 * keeps callers from retrying at the same time.
 */
const retryAfterRanges = { free: { minMs: 40, jitterMs: 80 }, full: { minMs: 150, jitterMs: 250 } } as const;

/** Longer delays would end at once, in milliseconds; a request that is still open then has waited for weeks. */
const maxTimerMs = 2 ** 31 - 1;

/** Starts a request. */
export const runRequest = (req: CallerRequest, dependencies: RunnerDependencies): RequestRun => {
    const { admission, clock, pool, quarantine } = dependencies;
    const { route, requestKey } = req;
    const service = pickDestination(route.destinations, dependencies.random)?.service ?? "";
    dependencies.retryBudget.recordRequest(service, req.arrivedAt);
    const retries = createRequestRetries({ ...dependencies, service });
    const attempts: RequestAttempts = createRequestAttempts({
        repeatability: route.repeatability,
        maxServers: route.maxServers,
        deadlineAt: req.deadlineAt,
        tryTakeRetry: retries.tryTakeRetry,
        tryTakeHedge: retries.tryTakeHedge,
    });
    const attemptRequest = attemptRequestOf(req, service);
    const openAttempts = new Set<Attempt>();
    const triedServerNumbers = new Set<number>();
    const triedPeers = new Set<string>();
    const timers = new Set<NodeJS.Timeout>();
    let resolveReply: (reply: Reply) => void = () => undefined;
    let isConcluded = false;
    /** Why the next attempt is made; `undefined` for the first one. */
    let retryReason: RetryReason | undefined;
    /** The reply if the request turns out not to have run, once it may not be sent any more. */
    let unsentRefusal: RefusedReply | undefined;
    const keptAnswer = createKeptAnswer();
    const reply = new Promise<Reply>(resolve => {
        resolveReply = resolve;
    });

    const conclude = (finalReply: Reply): void => {
        if (isConcluded) {
            return;
        }
        isConcluded = true;
        for (const timer of timers) {
            clearTimeout(timer);
        }
        admission.leave(queued);
        turns.cancel();
        retries.close();
        for (const attempt of openAttempts) {
            attempt.cancel();
        }
        keptAnswer.settle(finalReply.kind === ReplyKind.Answer ? finalReply.answer : undefined);
        resolveReply(finalReply);
    };

    const mayHaveRun = (): boolean => attempts.mayHaveRun() || [...openAttempts].some(attempt => attempt.mayHaveBeenSent());

    const refuse = (reason: string): void => {
        const { minMs, jitterMs } = pool.hasFreeSlots(service, clock()) ? retryAfterRanges.free : retryAfterRanges.full;
        const retryAfterMs = admission.retryAfterMs(queued) ?? minMs + jitterMs * dependencies.random.next();
        conclude({ kind: ReplyKind.Refused, retryAfterMs, reason });
    };

    const fail = (reason: string): void => {
        const answer = keptAnswer.usable();
        conclude(
            answer === undefined
                ? { kind: ReplyKind.Failed, reason }
                : { kind: ReplyKind.Answer, answer, attemptCount: attempts.attemptCount(), detail: reason },
        );
    };

    /** Ends the request after an error of this program, so that other requests go on. */
    const endFaulty = (err: unknown): void => {
        const { message, stack } = err as Error;
        dependencies.log.log("internalFault", { requestId: req.requestId, message, stack });
        if (mayHaveRun()) {
            fail(`internal fault: ${message}`);
            return;
        }
        refuse(`internal fault: ${message}`);
    };

    const schedule = (delayMs: number, callback: () => void): void => {
        const timer = setTimeout(() => {
            timers.delete(timer);
            try {
                callback();
            }
            catch (err) {
                endFaulty(err);
            }
        }, Math.min(delayMs, maxTimerMs));
        timers.add(timer);
    };

    const turns = createAttemptTurns({ quarantine, requestKey, deadlineAt: req.deadlineAt, clock, schedule });

    const deny = (): void => {
        if (mayHaveRun()) {
            fail("the request ends the servers that run it");
            return;
        }
        const { retryAfterMs, serverCount } = quarantine.admit(requestKey, clock());
        const reason = `${serverCount} servers have ended under requests with the same content`;
        conclude({ kind: ReplyKind.Refused, retryAfterMs, reason });
    };

    const deniedNote = (): string => retries.isDenied() ? "; the retry budget is spent" : "";

    type ActionHandler = (result: AttemptResult) => void;
    const actionHandlers: Record<RequestAction, ActionHandler> = {
        [RequestAction.Deliver]: ({ answer, detail, server }) => {
            if (answer !== undefined) {
                const serverId = server?.serverId;
                conclude({ kind: ReplyKind.Answer, answer, serverId, attemptCount: attempts.attemptCount(), detail });
            }
        },
        [RequestAction.Retry]: ({ outcome }) => {
            retryReason = outcome;
            tryNextServer();
        },
        [RequestAction.Refuse]: ({ outcome }) => refuse(`last send: ${outcome}${deniedNote()}`),
        [RequestAction.Fail]: ({ outcome, detail }) => fail(`${outcome}: ${detail}${deniedNote()}`),
        [RequestAction.Wait]: () => undefined,
    };

    const scheduleHedge = (attempt: Attempt): void => {
        schedule(dependencies.latencies.hedgeAfterMs(route.name, route.latencyObjectiveMs), () => {
            if (
                !openAttempts.has(attempt) || req.accessLoss?.() !== undefined
                || quarantine.admit(requestKey, clock()).admission !== Admission.Free
            ) {
                return;
            }
            const plan = planNextAttempt();
            if (plan.kind !== "none" && admission.hasRoomForHedges(service) && attempts.tryHedge(clock())) {
                turns.take(turn => startAttempt(plan, turn, "hedge"), () => undefined);
            }
        });
    };

    const planNextAttempt = (): AttemptPlan => {
        const history = { servers: triedServerNumbers, peers: triedPeers, attemptCount: attempts.attemptCount() };
        return planAttempt(service, route.repeatability, history, dependencies, clock());
    };

    type StartablePlan = Exclude<AttemptPlan, { kind: "none"; }>;
    const starters: { [K in StartablePlan["kind"]]: (plan: Extract<StartablePlan, { kind: K; }>) => Attempt; } = {
        direct: ({ choice }) => {
            triedServerNumbers.add(choice.server.number);
            return startServerAttempt(attemptRequest, choice, dependencies);
        },
        forward: ({ peer }) => {
            triedPeers.add(peer.address);
            return startForwardAttempt(attemptRequest, peer, triedServerNumbers, dependencies);
        },
    };

    const startOf = (plan: StartablePlan, turn: Turn): Attempt => {
        try {
            // The starter is looked up by the kind of the plan, which the compiler can't follow.
            return (starters[plan.kind] as (plan: StartablePlan) => Attempt)(plan);
        }
        catch (err) {
            turns.end(turn);
            attempts.attemptWithdrawn();
            throw err;
        }
    };

    const startAttempt = (plan: StartablePlan, turn: Turn, reason: RetryReason | undefined): void => {
        attempts.attemptStarted();
        retries.attemptStarted(reason);
        const startedAt = clock();
        const attempt = startOf(plan, turn);
        openAttempts.add(attempt);
        if (route.repeatability === Repeatability.Repeatable) {
            scheduleHedge(attempt);
        }
        void attempt.hasServerEnded.then(() => turns.end(turn));
        void attempt.result.then(({ outcome }) =>
            admission.attemptEnded(service, admittedEndOf(route, plan, outcome, clock() - startedAt))
        );
        void attempt.result.then(async result => {
            if (result.server !== undefined) {
                triedServerNumbers.add(result.server.number);
            }
            if (result.isTurnedAway === true) {
                openAttempts.delete(attempt);
                attempts.attemptWithdrawn();
                if (!isConcluded && openAttempts.size === 0) {
                    tryNextServer();
                }
                return;
            }
            if (result.answer !== undefined) {
                keptAnswer.keep(result.answer);
            }
            // A request that runs once is not retried, so its caller need not wait for the check of the server.
            const mayBeRetried = result.outcome === AttemptOutcome.Broken && route.repeatability === Repeatability.Repeatable;
            const endsServers = mayBeRetried && await attempt.hasServerEnded
                && quarantine.mayBeCause(requestKey, service, clock());
            openAttempts.delete(attempt);
            const action = attempts.attemptEnded(result.outcome, clock(), endsServers);
            if (!isConcluded) {
                actionHandlers[action](result);
            }
        }).catch(endFaulty);
    };

    /** Starts the next attempt after the wait for room, as soon as it has its turn. */
    const admitted = (): void => {
        if (!isConcluded) {
            turns.take(startNextAttempt, deny);
        }
    };

    const queued: QueuedRequest = {
        requestId: req.requestId,
        requestKey,
        service,
        route: route.name,
        priority: req.priority,
        workspace: req.workspace,
        objectiveMs: route.latencyObjectiveMs,
        arrivedAt: req.arrivedAt,
        deadlineAt: req.deadlineAt,
        proceed: admitted,
        refuse: (reason, retryAfterMs) => {
            if (mayHaveRun()) {
                fail(reason);
                return;
            }
            conclude({ kind: ReplyKind.Refused, retryAfterMs, reason });
        },
    };

    /** While the path to the servers is lost, other hosts send the request, so the room that this host sees does not count. */
    const tryNextServer = (): void => {
        if (dependencies.path.isServiceLost(service)) {
            admitted();
            return;
        }
        admission.enter(queued);
    };

    /** Starts the next attempt after all waits; what may have changed meanwhile, such as the caller's key, is checked here. */
    const startNextAttempt = (turn: Turn): void => {
        const accessLoss = req.accessLoss?.();
        if (accessLoss !== undefined) {
            turns.end(turn);
            // The reply says that the request has not run.
            conclude(mayHaveRun() ? { kind: ReplyKind.Failed, reason: accessLoss.reason } : accessLoss);
            return;
        }
        if (unsentRefusal !== undefined && !mayHaveRun()) {
            turns.end(turn);
            conclude(unsentRefusal);
            return;
        }
        const plan = planNextAttempt();
        if (plan.kind !== "none") {
            startAttempt(plan, turn, retryReason);
            return;
        }
        turns.end(turn);
        if (mayHaveRun()) {
            fail("no other server");
            return;
        }
        refuse(
            dependencies.path.isServiceLost(service)
                ? `no path to the servers of '${service}', and no other entry host sends requests to them`
                : `no server of '${service}' takes requests`,
        );
    };

    schedule(Math.max(0, req.deadlineAt - clock()), () => {
        if (mayHaveRun()) {
            conclude({ kind: ReplyKind.TimedOut, reason: "no answer in time" });
            return;
        }
        refuse("no server in time");
    });
    tryNextServer();

    return {
        reply,
        cancel: () => conclude({ kind: ReplyKind.CallerDisconnected }),
        refuseUnsent: refusal => {
            unsentRefusal = refusal;
            if (!mayHaveRun()) {
                conclude(refusal);
            }
        },
    };
};
