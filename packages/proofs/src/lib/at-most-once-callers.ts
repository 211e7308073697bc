/** Simulates callers that send each idempotency key several times, and the backend servers that run the requests. */
import { ClaimActionKind, ClaimEventKind } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";
import type { AtMostOnceChecker, KeyedRequest } from "./at-most-once-checker.js";
import type { LocalAction, SimulatedFleet } from "./at-most-once-fleet.js";
import { callersActiveMs } from "./at-most-once-plan.js";
import type { FaultPlan } from "./at-most-once-plan.js";
import type { Timeline } from "./timeline.js";

/** Options of {@link createCallers}. */
export interface CallersOptions {
    plan: FaultPlan;
    timeline: Timeline;
    random: Random;
    checker: AtMostOnceChecker;
    fleet: () => SimulatedFleet;
}

/** The callers of one case. */
export interface Callers {
    /** Schedules the first request of every key. */
    start(): void;
    /** Carries out an action of a host for one request. */
    handleAction(action: LocalAction, hostId: string): void;
}

/** How a caller repeats its key. */
enum CallerStyle {
    /** Sends the next request after it has closed the connection of the previous one. */
    Sequential = "one-after-the-other",
    /** May send two requests at once. */
    Concurrent = "two-at-once",
    /** May send another request under the same key. */
    ChangedRequest = "other-request",
}

interface Caller {
    key: string;
    style: CallerStyle;
    /** When the earliest request that may have run was sent. */
    firstSentAt: number;
    sentCount: number;
    /** Whether it received a whole answer. */
    isAnswered: boolean;
    /** Whether it started after the faults had ended. */
    mustBeAccepted: boolean;
}

interface PendingRequest {
    request: KeyedRequest;
    caller: Caller;
    /** Whether the caller still waits for the answer; it closes the connection before it sends the key again. */
    isConnected: boolean;
}

const maxRequestsPerKey = 7;
const callerDelayMs = 3;
/** After the faults have ended, hosts need this long to catch up. */
const catchUpMs = 1500;
/** No caller starts this close to the end of the time in which callers are active. */
const startMarginMs = 1500;
const brand = "noel";

const styles = [
    CallerStyle.Sequential,
    CallerStyle.Sequential,
    CallerStyle.Sequential,
    CallerStyle.Concurrent,
    CallerStyle.ChangedRequest,
];

/** Creates the callers of a case. */
export const createCallers = (options: CallersOptions): Callers => {
    const { plan, timeline, random, checker } = options;
    const pendingRequests = new Map<string, PendingRequest>();
    const deadlineMs = Math.min(2000, plan.horizonMs / 4);

    const isRecovered = (): boolean =>
        plan.recoveredAt !== undefined && timeline.now() >= plan.recoveredAt + Math.min(plan.recoveredAt, catchUpMs);

    const mustAcceptRequest = (caller: Caller, isFirst: boolean): boolean =>
        caller.mustBeAccepted && caller.style === CallerStyle.Sequential && (isFirst || caller.isAnswered);

    const fingerprintOf = (caller: Caller): string =>
        caller.style === CallerStyle.ChangedRequest && caller.sentCount > 0 && random.next() < 0.5
            ? "another request"
            : "the request";

    const deliverRequest = (request: KeyedRequest, hostId: string): void => {
        options.fleet().deliverEvent(hostId, localNow => ({
            kind: ClaimEventKind.ClaimRequested,
            requestId: request.requestId,
            brand,
            key: request.key,
            fingerprint: request.fingerprint,
            deadlineAt: localNow - (timeline.now() - request.sentAt) + deadlineMs,
            firstSending: request.isFirst,
        }));
    };

    const sendRequest = (caller: Caller): PendingRequest => {
        const isFirst = caller.sentCount === 0 && caller.style !== CallerStyle.Concurrent;
        const fingerprint = fingerprintOf(caller);
        caller.sentCount += 1;
        const requestId = `${caller.key}#${caller.sentCount}`;
        const mustBeAccepted = mustAcceptRequest(caller, isFirst);
        const request: KeyedRequest = {
            requestId,
            key: caller.key,
            fingerprint,
            sentAt: timeline.now(),
            isFirst,
            mustBeAccepted,
        };
        const pending: PendingRequest = { request, caller, isConnected: true };
        pendingRequests.set(requestId, pending);
        const hostId = plan.hosts[random.below(plan.hosts.length)]!.hostId;
        timeline.after(callerDelayMs, () => deliverRequest(request, hostId));
        return pending;
    };

    const canRetry = (caller: Caller): boolean =>
        caller.sentCount < maxRequestsPerKey && timeline.now() < caller.firstSentAt + plan.horizonMs - deadlineMs;

    const sendRound = (caller: Caller): void => {
        if (!canRetry(caller)) {
            return;
        }
        const round = [sendRequest(caller)];
        if (caller.style === CallerStyle.Concurrent && random.next() < 0.5) {
            round.push(sendRequest(caller));
        }
        const roundTimeoutMs = 100 + random.below(deadlineMs);
        timeline.after(roundTimeoutMs, () => {
            for (const pending of round) {
                pending.isConnected = false;
            }
            // A caller that has its answer sends again only to check that the answer is replayed.
            if (!caller.isAnswered || random.next() < 0.5) {
                timeline.after(100 + random.below(plan.horizonMs / 6), () => sendRound(caller));
            }
        });
    };

    const start = (): void => {
        for (let index = 0; index < plan.keyCount; index += 1) {
            timeline.after(100 + random.below(callersActiveMs - startMarginMs), () => {
                const style = styles[random.below(styles.length)]!;
                const mustBeAccepted = isRecovered();
                const firstSentAt = timeline.now();
                sendRound({ key: `key-${index}`, style, firstSentAt, sentCount: 0, isAnswered: false, mustBeAccepted });
            });
        }
    };

    const recordAnswer = (pending: PendingRequest): void => {
        pending.caller.isAnswered ||= pending.isConnected;
    };

    /** Simulates the backend server that gets a granted request, and what the entry host learns of the outcome. */
    const runAtBackend = (pending: PendingRequest, hostId: string): void => {
        const { request } = pending;
        const { requestId } = request;
        const fleet = options.fleet();
        const processNumber = fleet.processNumberOf(hostId);
        const reportToHost = (sendReport: () => void): void =>
            timeline.after(1 + random.below(20), () => {
                if (fleet.processNumberOf(hostId) === processNumber && fleet.isRunning(hostId)) {
                    sendReport();
                }
            });
        const outcomeDraw = random.next();
        if (outcomeDraw < 0.1) {
            reportToHost(() => {
                fleet.deliverEvent(hostId, () => {
                    // The caller gets its answer when the host learns the outcome, before the claim is released.
                    checker.recordNotRun(request, pending.isConnected);
                    // The answer of a later run is kept for a full horizon from then on.
                    pending.caller.firstSentAt = timeline.now();
                    return { kind: ClaimEventKind.NotRun, requestId };
                });
            });
            return;
        }
        if (outcomeDraw < 0.15) {
            reportToHost(() => fleet.deliverEvent(hostId, () => ({ kind: ClaimEventKind.OutcomeUnknown, requestId })));
            return;
        }
        const serviceMs = random.next() < 0.15 ? random.below(plan.serviceMs) : 2 + random.below(30);
        timeline.after(serviceMs, () => {
            const answer = checker.execute(request);
            if (outcomeDraw < 0.25) {
                return;
            }
            reportToHost(() => {
                fleet.deliverEvent(hostId, () => ({ kind: ClaimEventKind.Finished, requestId, answer }));
                recordAnswer(pending);
            });
        });
    };

    const handleAction = (action: LocalAction, hostId: string): void => {
        const pending = pendingRequests.get(action.requestId);
        if (pending === undefined) {
            return;
        }
        switch (action.kind) {
            case ClaimActionKind.Granted:
                checker.grantedCount += 1;
                runAtBackend(pending, hostId);
                return;
            case ClaimActionKind.Replay:
                checker.recordReplay(pending.request, action.answer);
                recordAnswer(pending);
                return;
            case ClaimActionKind.Refused:
                checker.recordRefusal(pending.request, action.refusal, pending.isConnected);
        }
    };

    return { start, handleAction };
};
