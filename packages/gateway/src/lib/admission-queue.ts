/** Holds requests while room at the servers of their service is short, and wakes them when it changes. */
import { createServiceAdmission, createWorkEstimate } from "@cassiapick/core";
import type { AdmissionDecision, AdmissionRequest, AdmittedEnd, Random, ServerPool, ServiceAdmission } from "@cassiapick/core";
import type { EventLog } from "@cassiapick/operations";
import type { GatewayMetrics } from "./gateway-metrics.js";

/** A request that enters the queue. */
export interface QueuedRequest extends AdmissionRequest {
    requestId: string | undefined;
    service: string;
    /** Called when the request may be sent to a server. */
    proceed: (waitedMs: number) => void;
    /** Called when it is refused; it has not been sent since it entered the queue. */
    refuse: (reason: string, retryAfterMs: number) => void;
}

/** Options of {@link createAdmissionQueue}. */
export interface AdmissionQueueOptions {
    pool: Pick<ServerPool, "room">;
    random: Random;
    clock: () => number;
    /** Number of entry hosts of the fleet. */
    hostCount: () => number;
    log: EventLog;
    metrics: Pick<GatewayMetrics, "increment" | "observe">;
}

/** The waiting requests of one entry host. */
export interface AdmissionQueue {
    /** Calls back at once if the request may be sent or is refused; otherwise later, unless it leaves. */
    enter(req: QueuedRequest): void;
    leave(req: QueuedRequest): void;
    /** Records how an attempt ended, if that says something about room, and wakes requests that wait for its server. */
    attemptEnded(service: string, end: AdmittedEnd | undefined): void;
    /** Wakes all waiting requests, as the load of servers has changed. */
    roomChanged(): void;
    /** Whether a hedge takes no room from first attempts. */
    hasRoomForHedges(service: string): boolean;
    /** When a request that is refused for another reason may return; `undefined` while room is not short. */
    retryAfterMs(req: QueuedRequest): number | undefined;
    gauges(): Record<string, number>;
}

/** When a request may return that met an internal fault, in milliseconds. */
const faultRetryMs = 200;
/** Interval at which waiting requests are checked without another event; it is varied, so that hosts don't act at once. */
const pollMs = { min: 15, jitter: 30 } as const;

/** Creates the queue of one entry host. */
export const createAdmissionQueue = (options: AdmissionQueueOptions): AdmissionQueue => {
    const { pool, random, clock, log, metrics } = options;
    const work = createWorkEstimate();
    const admissions = new Map<string, ServiceAdmission<QueuedRequest>>();
    const shortServices = new Set<string>();
    /** Services whose decisions are being carried out; a decision may lead to further ones. */
    const inProgress = new Set<string>();
    let pollTimer: NodeJS.Timeout | undefined;

    const admissionOf = (service: string): ServiceAdmission<QueuedRequest> => {
        const admission = admissions.get(service)
            ?? createServiceAdmission<QueuedRequest>({ random, work, hostCount: options.hostCount });
        admissions.set(service, admission);
        return admission;
    };

    const totalWaiting = (): number => [...admissions.values()].reduce((sum, admission) => sum + admission.size(), 0);

    const logShortage = (service: string, admission: ServiceAdmission<QueuedRequest>): void => {
        if (admission.isShort() === shortServices.has(service)) {
            return;
        }
        const { slots, excess } = pool.room(service, clock());
        if (admission.isShort()) {
            shortServices.add(service);
        }
        else {
            shortServices.delete(service);
        }
        log.log(admission.isShort() ? "roomShort" : "roomRegained", { service, slots, excess, waiting: admission.size() });
    };

    const carryOut = (service: string, decision: AdmissionDecision<QueuedRequest>): void => {
        const { req, waitedMs } = decision;
        const priority = String(req.priority);
        if (waitedMs > 0) {
            metrics.observe("cassiapick_admission_wait_ms", waitedMs);
        }
        if (decision.kind === "send") {
            req.proceed(waitedMs);
            return;
        }
        const { refusal, retryAfterMs } = decision;
        const { slots, excess } = pool.room(service, clock());
        metrics.increment("cassiapick_admission_refused_total", { priority, reason: refusal });
        log.log("requestTurnedAway", {
            requestId: req.requestId,
            route: req.route,
            service,
            priority: req.priority,
            workspace: req.workspace,
            refusal,
            waitedMs: Math.round(waitedMs),
            remainingMs: Math.round(req.deadlineAt - clock()),
            expectedWorkMs: Math.round(work.workMs(req.route, req.objectiveMs)),
            waiting: admissionOf(service).size(),
            slots,
            excess,
            retryAfterMs: Math.round(retryAfterMs),
        });
        req.refuse(`too little room at the servers of '${service}': ${refusal}`, retryAfterMs);
    };

    /** A fault of one request ends that request alone. */
    const carryOutSafely = (service: string, decision: AdmissionDecision<QueuedRequest>): void => {
        try {
            carryOut(service, decision);
        }
        catch (err) {
            const { message, stack } = err as Error;
            log.log("internalFault", { requestId: decision.req.requestId, message, stack });
            decision.req.refuse(`internal fault: ${message}`, faultRetryMs);
        }
    };

    const wake = (service: string): void => {
        const admission = admissionOf(service);
        if (inProgress.has(service)) {
            return;
        }
        inProgress.add(service);
        try {
            for (;;) {
                const decision = admission.next(pool.room(service, clock()), clock());
                if (decision === undefined) {
                    break;
                }
                carryOutSafely(service, decision);
            }
        }
        finally {
            inProgress.delete(service);
        }
        logShortage(service, admission);
        if (admission.size() > 0 && pollTimer === undefined) {
            pollTimer = setTimeout(() => {
                pollTimer = undefined;
                wakeAll();
            }, pollMs.min + pollMs.jitter * random.next());
            pollTimer.unref();
        }
    };

    const wakeAll = (): void => {
        for (const [service, admission] of admissions) {
            if (admission.size() > 0) {
                wake(service);
            }
        }
    };

    return {
        enter: req => {
            admissionOf(req.service).arrive(req, clock());
            wake(req.service);
        },
        leave: req => admissions.get(req.service)?.remove(req),
        attemptEnded: (service, end) => {
            const admission = admissionOf(service);
            if (end !== undefined) {
                admission.attemptEnded(end, clock());
            }
            if (admission.size() > 0) {
                wake(service);
            }
        },
        roomChanged: wakeAll,
        hasRoomForHedges: service => admissions.get(service)?.isShort() !== true || pool.room(service, clock()).excess < 0,
        retryAfterMs: req => admissions.get(req.service)?.retryAfterMs(req),
        gauges: () => ({ cassiapick_admission_waiting: totalWaiting(), cassiapick_services_short: shortServices.size }),
    };
};
