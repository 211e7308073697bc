/** One attempt of a request at a backend server, with the evidence that it gives about the server and the path to it. */
import { AttemptOutcome, ServerObservation } from "@cassiapick/core";
import type {
    ByteBudget,
    LimitAnswer,
    PathMonitor,
    PieceBudget,
    RequestQuarantine,
    RouteLatencyTracker,
    ServerChoice,
    ServerPool,
    Survival,
} from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { afterArrivedEvents } from "./after-arrived-events.js";
import { attemptTimeoutMarginMs, maxBufferedBytesOf, remainingMsAt } from "./attempt.js";
import type { Attempt, AttemptRequest } from "./attempt.js";
import { startExchange } from "./exchange.js";
import type { ExchangeResult } from "./exchange.js";
import type { HeaderNames } from "./headers.js";
import type { Connect } from "./http-call.js";
import type { ServerEndCheck } from "./server-end-check.js";

/** Dependencies that all attempts of a host share. */
export interface ServerAttemptDependencies {
    pool: ServerPool;
    path: PathMonitor;
    latencies: RouteLatencyTracker;
    quarantine: RequestQuarantine;
    serverEndCheck: ServerEndCheck;
    headerNames: HeaderNames;
    localAddress?: string;
    /** Opens connections to servers. */
    connectServer: Connect;
    clock: () => number;
    log: EventLog;
    /** The bytes of answers that this host may hold. */
    answerBudget?: ByteBudget;
    /** The short pieces of bodies that this host takes. */
    pieceBudget?: PieceBudget;
    /** Called when an attempt is evidence of an unhealthy server. */
    onServerFailed: () => void;
    /** Called with what each ended attempt shows about the limit of its server. */
    onLimitAnswer: (answer: LimitAnswer) => void;
    /** Age of this host's view of the fleet, in milliseconds. */
    viewAgeMs: () => number;
}

/** A connection takes one round trip, 40 ms between regions; a lost packet is retransmitted after 200 ms. */
const connectTimeoutMs = 450;
/** The path is checked when a connection takes longer than this, in milliseconds. */
const slowConnectMs = 150;

/** A failed connection is evidence only if the path to other servers is intact, so the path monitor decides about it. */
const observationByOutcome: Record<AttemptOutcome, ServerObservation | undefined> = {
    [AttemptOutcome.Answered]: ServerObservation.Success,
    [AttemptOutcome.ServerError]: ServerObservation.Failure,
    [AttemptOutcome.Declined]: ServerObservation.Declined,
    [AttemptOutcome.WrongServer]: undefined,
    [AttemptOutcome.NotSent]: undefined,
    [AttemptOutcome.Broken]: ServerObservation.Failure,
    // The wait itself was the evidence.
    [AttemptOutcome.TimedOut]: undefined,
    [AttemptOutcome.Cancelled]: undefined,
};

/** Outcomes after which the server goes on, so that the request has not ended it. */
const survivedOutcomes: ReadonlySet<AttemptOutcome> = new Set([AttemptOutcome.Answered, AttemptOutcome.ServerError]);

/** Starts an attempt at the chosen server. */
export const startServerAttempt = (
    req: AttemptRequest,
    choice: ServerChoice,
    dependencies: ServerAttemptDependencies,
): Attempt => {
    const { clock, pool, path, headerNames } = dependencies;
    const { server } = choice;
    const startedAt = clock();
    const remainingMs = remainingMsAt(req, startedAt);
    const survival: Survival = elapsedMs => dependencies.latencies.survival(req.routeName, req.latencyObjectiveMs, elapsedMs);
    pool.requestStarted(server.number, startedAt, survival);
    const checkPath = (): void => path.check(server.service, startedAt);
    const slowConnectTimer = setTimeout(() => afterArrivedEvents(checkPath), slowConnectMs);
    const exchange = startExchange({
        address: server.address,
        method: req.method,
        target: req.target,
        headers: [
            ...req.headers,
            headerNames.deadlineMs,
            String(remainingMs),
            headerNames.expectedServer,
            server.serverId,
            "Connection",
            "close",
        ],
        body: req.body,
        requestId: req.requestId,
    }, {
        headerNames,
        localAddress: dependencies.localAddress,
        connect: dependencies.connectServer,
        connectTimeoutMs,
        timeoutMs: remainingMs + attemptTimeoutMarginMs,
        maxBufferedBytes: maxBufferedBytesOf(req),
        budget: dependencies.answerBudget,
        pieceBudget: dependencies.pieceBudget,
        onConnected: () => {
            clearTimeout(slowConnectTimer);
            path.connected(server);
        },
    });

    const logEnd = (result: ExchangeResult, now: number): void => {
        const { failureProbability, load, observationAgeMs } = choice;
        dependencies.log.log("sendEnded", {
            requestId: req.requestId,
            requestKey: req.requestKey,
            route: req.routeName,
            serverId: server.serverId,
            address: server.address,
            outcome: result.outcome,
            detail: result.detail,
            elapsedMs: Math.round(now - startedAt),
            failing: Number(failureProbability.toFixed(3)),
            load,
            signAgeMs: observationAgeMs === undefined ? undefined : Math.round(observationAgeMs),
            viewAgeMs: Math.round(dependencies.viewAgeMs()),
            isPathLost: path.isServiceLost(server.service),
        });
    };

    const recordEnd = (result: ExchangeResult): void => {
        const now = clock();
        const { outcome } = result;
        clearTimeout(slowConnectTimer);
        pool.requestEnded(server.number, observationByOutcome[outcome], now, startedAt);
        if (outcome === AttemptOutcome.NotSent) {
            path.notConnected(server);
        }
        if (observationByOutcome[outcome] === ServerObservation.Failure) {
            dependencies.onServerFailed();
        }
        dependencies.onLimitAnswer({
            serverId: server.serverId,
            number: server.number,
            limitPerS: result.limitPerS,
            isSuccess: outcome === AttemptOutcome.Answered,
            startedAt,
        });
        if (result.isLeaving === true) {
            pool.recordLeaving(server.number);
            dependencies.log.log("serverLeaving", { requestId: req.requestId, serverId: server.serverId });
        }
        if (result.restMs !== undefined) {
            pool.recordRest(server.number, now + result.restMs);
            dependencies.log.log("serverRests", { requestId: req.requestId, serverId: server.serverId, restMs: result.restMs });
        }
        if (outcome === AttemptOutcome.WrongServer) {
            pool.markReplaced(server.number);
        }
        if (outcome === AttemptOutcome.Answered) {
            dependencies.latencies.record(req.routeName, now - startedAt);
        }
        else if (outcome !== AttemptOutcome.Cancelled) {
            logEnd(result, now);
        }
    };

    /** Records what the end of the attempt shows about the request; resolves with whether the server has ended under it. */
    const recordServerEnd = async ({ outcome }: ExchangeResult): Promise<boolean> => {
        const { requestKey, requestId } = req;
        const endedAt = clock();
        if (requestKey !== undefined && survivedOutcomes.has(outcome)) {
            dependencies.quarantine.survived(requestKey, endedAt);
        }
        // A server that has announced its end may break off requests.
        const isExpected = pool.leavingServers(server.service).includes(server.number);
        if (requestKey === undefined || outcome !== AttemptOutcome.Broken || isExpected) {
            return false;
        }
        const hasEnded = await dependencies.serverEndCheck.hasEnded(server);
        if (hasEnded) {
            const runMs = endedAt - startedAt;
            const { number, service, address, serverId } = server;
            dependencies.quarantine.serverEnded(requestKey, { number, service, address }, runMs, endedAt, clock());
            pool.recordConnectFailure(number, true, clock());
            dependencies.log.log("serverEndedUnderRequest", {
                requestId,
                requestKey,
                route: req.routeName,
                serverId,
                address,
                runMs: Math.round(runMs),
                mayBeCause: dependencies.quarantine.mayBeCause(requestKey, service, clock()),
            });
        }
        return hasEnded;
    };

    return {
        hasServerEnded: exchange.result.then(recordServerEnd),
        result: exchange.result.then(result => {
            recordEnd(result);
            const { outcome, answer, detail, isLeaving } = result;
            return { outcome, answer, detail, isLeaving, server: { number: server.number, serverId: server.serverId } };
        }),
        mayHaveBeenSent: exchange.mayHaveBeenSent,
        cancel: exchange.cancel,
    };
};
