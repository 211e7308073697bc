/** Runs one request: selects servers, sends attempts, retries where that is safe, and determines the reply to the caller. */
import { AttemptOutcome, createRequestAttempts, pickDestination, RequestAction, ServerObservation } from "@cassiapick/core";
import type {
    GatewayRoute,
    HostRetryBudget,
    LimitAnswer,
    Random,
    RequestAttempts,
    RouteLatencyTracker,
    ServerChoice,
    ServerPool,
} from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { startExchange } from "./exchange.js";
import type { Connect, Exchange, ExchangeResult, ServerAnswer } from "./exchange.js";
import type { HeaderNames, RawHeaders } from "./headers.js";

/** A caller's request and its route. */
export interface CallerRequest {
    requestId: string | undefined;
    route: GatewayRoute;
    /** Number of the configuration that the route is from. */
    configNumber: number;
    method: string;
    target: string;
    /** End-to-end headers, without those that the gateway sets. */
    headers: RawHeaders;
    body: Buffer;
    /** When the head of the request was read, in milliseconds of the host's clock. */
    arrivedAt: number;
    /** When the caller's deadline or the route's timeout passes, in milliseconds of the host's clock. */
    deadlineAt: number;
}

export enum ReplyKind {
    /** The answer of a backend server. */
    Answer = "answer",
    /** The request has not run. */
    Refused = "refused",
    /** The request may have run. */
    Failed = "failed",
    TimedOut = "timed-out",
    /** The caller has closed its connection. */
    CallerDisconnected = "abandoned",
}

/** The reply to the caller. */
export type Reply =
    | { kind: ReplyKind.Answer; answer: ServerAnswer; serverId?: string; attemptCount: number; detail: string; }
    | { kind: ReplyKind.Refused; retryAfterMs: number; reason: string; }
    | { kind: ReplyKind.Failed; reason: string; }
    | { kind: ReplyKind.TimedOut; reason: string; }
    | { kind: ReplyKind.CallerDisconnected; };

/** Dependencies that all requests of a host share. */
export interface RunnerDependencies {
    pool: ServerPool;
    retryBudget: HostRetryBudget;
    latencies: RouteLatencyTracker;
    random: Random;
    headerNames: HeaderNames;
    localAddress?: string;
    /** Opens connections to servers; by default, over TCP. */
    connectServer?: Connect;
    clock: () => number;
    log: EventLog;
    /** Called when an attempt is evidence of an unhealthy server. */
    onServerFailed: () => void;
    /** Called with what each ended attempt shows about the limit of its server. */
    onLimitAnswer: (answer: LimitAnswer) => void;
    /** Age of this host's view of the fleet, in milliseconds. */
    viewAgeMs: () => number;
}

/** A request in flight. */
export interface RequestRun {
    readonly reply: Promise<Reply>;
    /** Cancels all attempts, as the caller has disconnected. */
    cancel(): void;
}

/** A connection takes one round trip, 40 ms between regions; a lost packet is retransmitted after 200 ms. */
const connectTimeoutMs = 450;
/** The request's deadline ends its attempts; an attempt's own timeout, this much later, is only a safeguard. */
const attemptTimeoutMarginMs = 100;
/**
 * `Retry-After` of refused requests, in milliseconds. It is short while the service has free slots, as a server that
 * declined may accept the next request, and about the duration of one request while the service is full. The random part
 * keeps callers from retrying at the same time.
 */
const retryAfterRanges = { free: { minMs: 40, jitterMs: 80 }, full: { minMs: 150, jitterMs: 250 } } as const;

const observationByOutcome: Record<AttemptOutcome, ServerObservation | undefined> = {
    [AttemptOutcome.Answered]: ServerObservation.Success,
    [AttemptOutcome.ServerError]: ServerObservation.Failure,
    [AttemptOutcome.Declined]: ServerObservation.Stuck,
    [AttemptOutcome.WrongServer]: undefined,
    [AttemptOutcome.NotSent]: ServerObservation.Failure,
    [AttemptOutcome.Broken]: ServerObservation.Failure,
    [AttemptOutcome.TimedOut]: ServerObservation.Failure,
    [AttemptOutcome.Cancelled]: undefined,
};

interface Attempt {
    choice: ServerChoice;
    exchange: Exchange;
    startedAt: number;
}

/** Starts a request. */
export const runRequest = (req: CallerRequest, dependencies: RunnerDependencies): RequestRun => {
    const { clock, pool, log } = dependencies;
    const { route } = req;
    const service = pickDestination(route.destinations, dependencies.random)?.service ?? "";
    dependencies.retryBudget.recordRequest(service, req.arrivedAt);
    const attempts: RequestAttempts = createRequestAttempts({
        repeatability: route.repeatability,
        maxServers: route.maxServers,
        deadlineAt: req.deadlineAt,
        tryTakeRetry: () => dependencies.retryBudget.tryTake(service, clock()),
    });
    const openAttempts = new Set<Attempt>();
    const triedServerNumbers = new Set<number>();
    const timers = new Set<NodeJS.Timeout>();
    let resolveReply: (reply: Reply) => void = () => undefined;
    let isConcluded = false;
    /** The last server error, delivered if no other attempt succeeds. */
    let serverErrorAnswer: ServerAnswer | undefined;
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
        for (const attempt of openAttempts) {
            attempt.exchange.cancel();
        }
        resolveReply(finalReply);
    };

    const refuse = (reason: string): void => {
        const { minMs, jitterMs } = pool.hasFreeSlots(service, clock()) ? retryAfterRanges.free : retryAfterRanges.full;
        conclude({ kind: ReplyKind.Refused, retryAfterMs: minMs + jitterMs * dependencies.random.next(), reason });
    };

    const fail = (reason: string): void =>
        conclude(
            serverErrorAnswer === undefined
                ? { kind: ReplyKind.Failed, reason }
                : { kind: ReplyKind.Answer, answer: serverErrorAnswer, attemptCount: attempts.attemptCount(), detail: reason },
        );

    const schedule = (delayMs: number, callback: () => void): void => {
        const timer = setTimeout(() => {
            timers.delete(timer);
            callback();
        }, delayMs);
        timers.add(timer);
    };

    const recordEnd = (attempt: Attempt, result: ExchangeResult): void => {
        const now = clock();
        const { server, failureProbability, load, observationAgeMs } = attempt.choice;
        const elapsedMs = now - attempt.startedAt;
        pool.requestEnded(server.number, observationByOutcome[result.outcome], now);
        if (observationByOutcome[result.outcome] === ServerObservation.Failure) {
            dependencies.onServerFailed();
        }
        dependencies.onLimitAnswer({
            serverId: server.serverId,
            number: server.number,
            limitPerS: result.limitPerS,
            isSuccess: result.outcome === AttemptOutcome.Answered,
            startedAt: attempt.startedAt,
        });
        if (result.outcome === AttemptOutcome.Answered) {
            dependencies.latencies.record(route.name, elapsedMs);
            return;
        }
        if (result.outcome === AttemptOutcome.WrongServer) {
            pool.markReplaced(server.number);
        }
        if (result.outcome === AttemptOutcome.Cancelled) {
            return;
        }
        serverErrorAnswer = result.answer ?? serverErrorAnswer;
        log.log("sendEnded", {
            requestId: req.requestId,
            route: route.name,
            serverId: server.serverId,
            address: server.address,
            outcome: result.outcome,
            detail: result.detail,
            elapsedMs: Math.round(elapsedMs),
            failing: Number(failureProbability.toFixed(3)),
            load,
            signAgeMs: observationAgeMs === undefined ? undefined : Math.round(observationAgeMs),
            viewAgeMs: Math.round(dependencies.viewAgeMs()),
        });
    };

    type ActionHandler = (result: ExchangeResult, attempt: Attempt) => void;
    const actionHandlers: Record<RequestAction, ActionHandler> = {
        [RequestAction.Deliver]: ({ answer, detail }, { choice }) => {
            if (answer !== undefined) {
                conclude({
                    kind: ReplyKind.Answer,
                    answer,
                    serverId: choice.server.serverId,
                    attemptCount: attempts.attemptCount(),
                    detail,
                });
            }
        },
        [RequestAction.Retry]: () => tryNextServer(),
        [RequestAction.Refuse]: ({ outcome }) => refuse(`last send: ${outcome}`),
        [RequestAction.Fail]: ({ outcome, detail }) => fail(`${outcome}: ${detail}`),
        [RequestAction.Wait]: () => undefined,
    };

    const scheduleStuckCheck = (attempt: Attempt): void => {
        const stuckAfterMs = dependencies.latencies.stuckAfterMs(route.name, route.latencyObjectiveMs);
        schedule(stuckAfterMs, () => {
            if (!openAttempts.has(attempt)) {
                return;
            }
            pool.recordStuck(attempt.choice.server.number, clock());
            const hedgeChoice = pool.choose(service, route.repeatability, triedServerNumbers, clock());
            if (hedgeChoice !== undefined && attempts.tryHedge(clock())) {
                startAttempt(hedgeChoice);
            }
        });
    };

    const startAttempt = (choice: ServerChoice): void => {
        const startedAt = clock();
        const { server } = choice;
        const remainingMs = Math.max(1, Math.floor(req.deadlineAt - startedAt));
        triedServerNumbers.add(server.number);
        attempts.attemptStarted();
        pool.requestStarted(server.number, startedAt);
        const exchange = startExchange({
            address: server.address,
            method: req.method,
            target: req.target,
            headers: [
                ...req.headers,
                dependencies.headerNames.deadlineMs,
                String(remainingMs),
                dependencies.headerNames.expectedServer,
                server.serverId,
                "Connection",
                "close",
            ],
            body: req.body,
            requestId: req.requestId,
        }, {
            headerNames: dependencies.headerNames,
            localAddress: dependencies.localAddress,
            connect: dependencies.connectServer,
            connectTimeoutMs,
            timeoutMs: remainingMs + attemptTimeoutMarginMs,
        });
        const attempt: Attempt = { choice, exchange, startedAt };
        openAttempts.add(attempt);
        scheduleStuckCheck(attempt);
        void exchange.result.then(result => {
            openAttempts.delete(attempt);
            recordEnd(attempt, result);
            const action = attempts.attemptEnded(result.outcome, clock());
            if (!isConcluded) {
                actionHandlers[action](result, attempt);
            }
        });
    };

    const tryNextServer = (): void => {
        const choice = pool.choose(service, route.repeatability, triedServerNumbers, clock());
        if (choice !== undefined) {
            startAttempt(choice);
            return;
        }
        if (attempts.mayHaveRun()) {
            fail("no other server");
            return;
        }
        refuse(`no server of '${service}' takes requests`);
    };

    schedule(Math.max(0, req.deadlineAt - clock()), () => {
        if (attempts.mayHaveRun()) {
            conclude({ kind: ReplyKind.TimedOut, reason: "no answer in time" });
            return;
        }
        refuse("no server in time");
    });
    tryNextServer();

    return { reply, cancel: () => conclude({ kind: ReplyKind.CallerDisconnected }) };
};
