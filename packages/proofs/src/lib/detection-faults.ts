/** Simulates the faults of single backend servers, and conditions of a pool in which no server is unhealthy. */
import { AttemptClass } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";

/** How a simulated backend server answers one request. */
export interface ServeResult {
    /** Time until the answer, in milliseconds; `Infinity` when there is none. */
    durationMs: number;
    outcome: AttemptClass;
}

/** The input of a fault: one request. */
export interface FaultContext {
    /** The answer that a healthy backend server would give. */
    healthyResult: ServeResult;
    /** The index of the host that sends the request. */
    hostIndex: number;
    requestKind: string;
    /** Time since the fault began. */
    sinceFaultMs: number;
    random: Random;
}

/** The faults of one backend server. */
export enum Fault {
    StopsAnswering = "stops answering",
    AnswersLost = "reachable in one direction only",
    RefusesConnections = "refuses connections",
    AllErrors = "5xx on all",
    AllCut = "cut bodies on all",
    AllCorrupt = "another request's id on all",
    SlowTenfold = "10x slow",
    SlowThreefold = "3x slow",
    SomeSlowTenfold = "10x slow on 30%",
    SomeErrors = "5xx on 30%",
    SomeCut = "cut bodies on 30%",
    SomeCorrupt = "wrong length on 30%",
    Flapping = "flapping, 1 s ill and 1 s well",
    SomeHosts = "reachable from some hosts only",
}

/** The faults under which every request from an affected host fails; they have the strictest target for the detection time. */
export const hardFaults: ReadonlySet<Fault> = new Set([
    Fault.StopsAnswering,
    Fault.AnswersLost,
    Fault.RefusesConnections,
    Fault.AllErrors,
    Fault.AllCut,
    Fault.AllCorrupt,
    Fault.SomeHosts,
]);

const partialFaultShare = 0.3;
const flapHalfPeriodMs = 1_000;
const connectTimeoutMs = 1_000;
const connectionRefusalMs = 2;

type FaultHandler = (context: FaultContext) => ServeResult;

const failWith = (outcome: AttemptClass): FaultHandler => ({ healthyResult }) => ({ ...healthyResult, outcome });

const slowedBy = (factor: number): FaultHandler => ({ healthyResult }) => ({
    ...healthyResult,
    durationMs: healthyResult.durationMs * factor,
});

const onSomeRequests = (handler: FaultHandler): FaultHandler => context =>
    context.random.next() < partialFaultShare ? handler(context) : context.healthyResult;

const hang: FaultHandler = () => ({ durationMs: Infinity, outcome: AttemptClass.Timeout });

/** Computes the answer to a request under each fault. */
export const faultHandlers: Readonly<Record<Fault, FaultHandler>> = {
    [Fault.StopsAnswering]: hang,
    // Requests on open connections hang; new connections time out.
    [Fault.AnswersLost]: context =>
        context.random.next() < partialFaultShare
            ? { durationMs: connectTimeoutMs, outcome: AttemptClass.NotSent }
            : hang(context),
    [Fault.RefusesConnections]: () => ({ durationMs: connectionRefusalMs, outcome: AttemptClass.NotSent }),
    [Fault.AllErrors]: failWith(AttemptClass.ServerError),
    [Fault.AllCut]: failWith(AttemptClass.Cut),
    [Fault.AllCorrupt]: failWith(AttemptClass.Corrupt),
    [Fault.SlowTenfold]: slowedBy(10),
    [Fault.SlowThreefold]: slowedBy(3),
    [Fault.SomeSlowTenfold]: onSomeRequests(slowedBy(10)),
    [Fault.SomeErrors]: onSomeRequests(failWith(AttemptClass.ServerError)),
    [Fault.SomeCut]: onSomeRequests(failWith(AttemptClass.Cut)),
    [Fault.SomeCorrupt]: onSomeRequests(failWith(AttemptClass.Corrupt)),
    [Fault.Flapping]: context =>
        Math.floor(context.sinceFaultMs / flapHalfPeriodMs) % 2 === 0
            ? { ...context.healthyResult, outcome: AttemptClass.ServerError }
            : context.healthyResult,
    [Fault.SomeHosts]: context => context.hostIndex === 0 ? hang(context) : context.healthyResult,
};

/** Conditions of a pool without an unhealthy backend server: no member may be ejected. */
export enum PoolCondition {
    None = "ordinary load",
    LittleTraffic = "little traffic",
    Overload = "overload",
    PoolSlow = "whole pool 5x slow, 3 s of every 10 s",
    PoolStalls = "whole pool stalls 300 ms every 5 s",
    PoolErrors = "whole pool 30% errors, 3 s of every 10 s",
    SlowKind = "one request kind slow by nature",
    FailingKind = "one request kind fails everywhere",
    ColdStart = "cold starts",
    UnequalMachine = "a machine 1.4x slower by nature",
    MachinePauses = "pauses of 80 ms on each machine",
    HeavyTail = "1% of requests take 8x",
}

/** The input of a pool condition: one request. */
export interface PoolConditionContext {
    healthyResult: ServeResult;
    memberIndex: number;
    cold: boolean;
    requestKind: string;
    now: number;
    random: Random;
}

const poolDegradedMs = 3_000;
const poolDegradationPeriodMs = 10_000;
const stallMs = 300;
const stallPeriodMs = 5_000;
const pauseMs = 80;
const pausePeriodMs = 4_000;
const coldSlowdownFactor = 3;

type PoolConditionHandler = (context: PoolConditionContext) => ServeResult;

const unaffected: PoolConditionHandler = ({ healthyResult }) => healthyResult;

// A request that arrives in a pause, or is being served when one begins, takes longer by the rest of the pause.
const delayedByPause = (healthyResult: ServeResult, now: number, periodMs: number, lengthMs: number): ServeResult => {
    const nextPauseAt = Math.ceil(now / periodMs) * periodMs;
    const isPaused = now % periodMs < lengthMs;
    const remainingPauseMs = lengthMs - now % periodMs;
    if (isPaused) {
        return { ...healthyResult, durationMs: healthyResult.durationMs + remainingPauseMs };
    }
    return now + healthyResult.durationMs > nextPauseAt
        ? { ...healthyResult, durationMs: healthyResult.durationMs + lengthMs }
        : healthyResult;
};

/** Computes the answer to a request under each condition. */
export const poolConditionHandlers: Readonly<Record<PoolCondition, PoolConditionHandler>> = {
    [PoolCondition.None]: unaffected,
    [PoolCondition.LittleTraffic]: unaffected,
    [PoolCondition.Overload]: unaffected,
    [PoolCondition.PoolSlow]: ({ healthyResult, now }) =>
        now % poolDegradationPeriodMs < poolDegradedMs
            ? { ...healthyResult, durationMs: healthyResult.durationMs * 5 }
            : healthyResult,
    [PoolCondition.PoolStalls]: ({ healthyResult, now }) => delayedByPause(healthyResult, now, stallPeriodMs, stallMs),
    [PoolCondition.PoolErrors]: ({ healthyResult, now, random }) =>
        now % poolDegradationPeriodMs < poolDegradedMs && random.next() < partialFaultShare
            ? { ...healthyResult, outcome: AttemptClass.ServerError }
            : healthyResult,
    [PoolCondition.SlowKind]: ({ healthyResult, requestKind }) =>
        requestKind === "kind-2" ? { ...healthyResult, durationMs: healthyResult.durationMs * 8 } : healthyResult,
    [PoolCondition.FailingKind]: ({ healthyResult, requestKind }) =>
        requestKind === "kind-2" ? { ...healthyResult, outcome: AttemptClass.ServerError } : healthyResult,
    [PoolCondition.ColdStart]: ({ healthyResult, cold }) =>
        cold ? { ...healthyResult, durationMs: healthyResult.durationMs * coldSlowdownFactor } : healthyResult,
    [PoolCondition.UnequalMachine]: ({ healthyResult, memberIndex }) =>
        memberIndex === 0 ? { ...healthyResult, durationMs: healthyResult.durationMs * 1.4 } : healthyResult,
    [PoolCondition.MachinePauses]: ({ healthyResult, memberIndex, now }) =>
        delayedByPause(healthyResult, now + memberIndex * pausePeriodMs / 7, pausePeriodMs, pauseMs),
    [PoolCondition.HeavyTail]: ({ healthyResult, random }) =>
        random.next() < 0.01 ? { ...healthyResult, durationMs: healthyResult.durationMs * 8 } : healthyResult,
};
