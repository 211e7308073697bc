/** Carries out one request: chooses servers, sends, repeats where that is safe, and names the answer. */
import { AttemptOutcome, createRequestAttempts, pickDestination, RequestAction, ServerObservation } from "@cassiapick/core";
import type {
    GatewayRoute,
    HostRetryBudget,
    Random,
    RequestAttempts,
    RouteLatencyTracker,
    ServerChoice,
    ServerPool,
} from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import { startExchange } from "./exchange.js";
import type { Exchange, ExchangeResult, ServerAnswer } from "./exchange.js";
import type { ExchangeHeaders, RawHeaders } from "./headers.js";

/** A request as a caller sent it, with its route. */
export interface CallerRequest {
    requestId: string | undefined;
    route: GatewayRoute;
    /** Number of the configuration that routed it. */
    configNumber: number;
    method: string;
    target: string;
    /** End-to-end headers, without those that the gateway sets. */
    headers: RawHeaders;
    body: Buffer;
    /** When the caller's head was read, in milliseconds of the host's clock. */
    arrivedAt: number;
    /** When the caller or the route gives up, in milliseconds of the host's clock. */
    giveUpAt: number;
}

export enum ReplyKind {
    /** A server's answer. */
    Answer = "answer",
    /** The request has not run. */
    Refused = "refused",
    /** The request may have run. */
    Failed = "failed",
    TimedOut = "timed-out",
    /** The caller has left. */
    Abandoned = "abandoned",
}

/** What the caller is told. */
export type Reply =
    | { kind: ReplyKind.Answer; answer: ServerAnswer; serverId?: string; sends: number; detail: string; }
    | { kind: ReplyKind.Refused; retryAfterMs: number; reason: string; }
    | { kind: ReplyKind.Failed; reason: string; }
    | { kind: ReplyKind.TimedOut; reason: string; }
    | { kind: ReplyKind.Abandoned; };

/** What requests of one host share. */
export interface RunnerPorts {
    pool: ServerPool;
    allowance: HostRetryBudget;
    latencies: RouteLatencyTracker;
    random: Random;
    names: ExchangeHeaders;
    localAddress?: string;
    clock: () => number;
    log: EventLog;
    /** A server has failed a request. */
    serverFailed: () => void;
    /** Age of what this host knows of the fleet, in milliseconds. */
    viewAgeMs: () => number;
}

/** A request under way. */
export interface RequestRun {
    readonly reply: Promise<Reply>;
    /** The caller has left: what is under way is cancelled. */
    abandon(): void;
}

/** Connections open within one round trip; between regions that is 40 ms, and a lost packet is sent again after 200 ms. */
const connectTimeoutMs = 450;
/** The request's own time limit ends it; a send's limit lies behind it, in milliseconds, and is only a safeguard. */
const serverGraceMs = 100;
/**
 * When a caller should come back: soon while the service has free slots, since what was declined once may be taken
 * next; after about one request's time when it is full. Spread, so that callers do not meet.
 */
const retryAfterMs = { free: { least: 40, spread: 80 }, full: { least: 150, spread: 250 } } as const;

const signs: Record<AttemptOutcome, ServerObservation | undefined> = {
    [AttemptOutcome.Answered]: ServerObservation.Success,
    [AttemptOutcome.ServerError]: ServerObservation.Failure,
    [AttemptOutcome.Declined]: ServerObservation.Stuck,
    [AttemptOutcome.WrongServer]: undefined,
    [AttemptOutcome.NotSent]: ServerObservation.Failure,
    [AttemptOutcome.Broken]: ServerObservation.Failure,
    [AttemptOutcome.TimedOut]: ServerObservation.Failure,
    [AttemptOutcome.Cancelled]: undefined,
};

interface Send {
    choice: ServerChoice;
    exchange: Exchange;
    startedAt: number;
}

/** Starts a request. */
export const runRequest = (req: CallerRequest, ports: RunnerPorts): RequestRun => {
    const { clock, pool, log } = ports;
    const { route } = req;
    const service = pickDestination(route.destinations, ports.random)?.service ?? "";
    ports.allowance.recordRequest(service, req.arrivedAt);
    const plan: RequestAttempts = createRequestAttempts({
        repeatability: route.repeatability,
        maxServers: route.maxServers,
        deadlineAt: req.giveUpAt,
        tryTakeRetry: () => ports.allowance.tryTake(service, clock()),
    });
    const open = new Set<Send>();
    const used = new Set<number>();
    const timers = new Set<NodeJS.Timeout>();
    let settle: (reply: Reply) => void = () => undefined;
    let isSettled = false;
    /** The answer of a server that failed, in case no other one does better. */
    let failedAnswer: ServerAnswer | undefined;
    const reply = new Promise<Reply>(resolve => {
        settle = resolve;
    });

    const conclude = (concluded: Reply): void => {
        if (isSettled) {
            return;
        }
        isSettled = true;
        for (const timer of timers) {
            clearTimeout(timer);
        }
        for (const send of open) {
            send.exchange.cancel();
        }
        settle(concluded);
    };

    const refuse = (reason: string): void => {
        const { least, spread } = pool.hasFreeSlots(service) ? retryAfterMs.free : retryAfterMs.full;
        conclude({ kind: ReplyKind.Refused, retryAfterMs: least + spread * ports.random.next(), reason });
    };

    const fail = (reason: string): void =>
        conclude(
            failedAnswer === undefined
                ? { kind: ReplyKind.Failed, reason }
                : { kind: ReplyKind.Answer, answer: failedAnswer, sends: plan.attemptCount(), detail: reason },
        );

    const after = (delayMs: number, action: () => void): void => {
        const timer = setTimeout(() => {
            timers.delete(timer);
            action();
        }, delayMs);
        timers.add(timer);
    };

    const noteEnd = (send: Send, result: ExchangeResult): void => {
        const now = clock();
        const { server, failureProbability, load, observationAgeMs } = send.choice;
        const elapsedMs = now - send.startedAt;
        pool.requestEnded(server.number, signs[result.outcome], now);
        if (signs[result.outcome] === ServerObservation.Failure) {
            ports.serverFailed();
        }
        if (result.outcome === AttemptOutcome.Answered) {
            ports.latencies.record(route.name, elapsedMs);
            return;
        }
        if (result.outcome === AttemptOutcome.WrongServer) {
            pool.markReplaced(server.number);
        }
        if (result.outcome === AttemptOutcome.Cancelled) {
            return;
        }
        failedAnswer = result.answer ?? failedAnswer;
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
            viewAgeMs: Math.round(ports.viewAgeMs()),
        });
    };

    type Handler = (result: ExchangeResult, send: Send) => void;
    const steps: Record<RequestAction, Handler> = {
        [RequestAction.Deliver]: ({ answer, detail }, { choice }) => {
            if (answer !== undefined) {
                conclude({
                    kind: ReplyKind.Answer,
                    answer,
                    serverId: choice.server.serverId,
                    sends: plan.attemptCount(),
                    detail,
                });
            }
        },
        [RequestAction.Retry]: () => sendToNext(),
        [RequestAction.Refuse]: ({ outcome }) => refuse(`last send: ${outcome}`),
        [RequestAction.Fail]: ({ outcome, detail }) => fail(`${outcome}: ${detail}`),
        [RequestAction.Wait]: () => undefined,
    };

    const watchStuck = (send: Send): void => {
        const stuckAfterMs = ports.latencies.stuckAfterMs(route.name, route.latencyObjectiveMs);
        after(stuckAfterMs, () => {
            if (!open.has(send)) {
                return;
            }
            pool.recordStuck(send.choice.server.number, clock());
            const other = pool.choose(service, route.repeatability, used, clock());
            if (other !== undefined && plan.tryHedge(clock())) {
                begin(other);
            }
        });
    };

    const begin = (choice: ServerChoice): void => {
        const startedAt = clock();
        const { server } = choice;
        const leftMs = Math.max(1, Math.floor(req.giveUpAt - startedAt));
        used.add(server.number);
        plan.attemptStarted();
        pool.requestStarted(server.number, startedAt);
        const exchange = startExchange({
            address: server.address,
            method: req.method,
            target: req.target,
            headers: [
                ...req.headers,
                ports.names.deadlineMs,
                String(leftMs),
                ports.names.expectedServer,
                server.serverId,
                "Connection",
                "close",
            ],
            body: req.body,
            requestId: req.requestId,
        }, { names: ports.names, localAddress: ports.localAddress, connectTimeoutMs, timeoutMs: leftMs + serverGraceMs });
        const send: Send = { choice, exchange, startedAt };
        open.add(send);
        watchStuck(send);
        void exchange.result.then(result => {
            open.delete(send);
            noteEnd(send, result);
            const step = plan.attemptEnded(result.outcome, clock());
            if (!isSettled) {
                steps[step](result, send);
            }
        });
    };

    const sendToNext = (): void => {
        const choice = pool.choose(service, route.repeatability, used, clock());
        if (choice !== undefined) {
            begin(choice);
            return;
        }
        if (plan.mayHaveRun()) {
            fail("no other server");
            return;
        }
        refuse(`no server of '${service}' takes requests`);
    };

    after(Math.max(0, req.giveUpAt - clock()), () => {
        if (plan.mayHaveRun()) {
            conclude({ kind: ReplyKind.TimedOut, reason: "no answer in time" });
            return;
        }
        refuse("no server in time");
    });
    sendToNext();

    return { reply, abandon: () => conclude({ kind: ReplyKind.Abandoned }) };
};
