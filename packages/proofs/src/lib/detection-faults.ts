/** How fake backend servers fail, and what troubles a pool without any of them being ill. */
import { AttemptClass } from "@cassiapick/core";
import type { Random } from "@cassiapick/core";

/** What a fake backend server does with one request. */
export interface Served {
    /** Time until the answer, in milliseconds; `Infinity` when none comes. */
    durationMs: number;
    outcome: AttemptClass;
}

/** A request as a fault sees it. */
export interface FaultContext {
    /** The answer of a well backend server. */
    well: Served;
    /** The host that asks. */
    host: number;
    requestKind: string;
    sinceMs: number;
    random: Random;
}

/** A fault of one backend server. */
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

/** The faults that answer no request well; the strictest target is for these. */
export const hardFaults: ReadonlySet<Fault> = new Set([
    Fault.StopsAnswering,
    Fault.AnswersLost,
    Fault.RefusesConnections,
    Fault.AllErrors,
    Fault.AllCut,
    Fault.AllCorrupt,
    Fault.SomeHosts,
]);

const someShare = 0.3;
const flapHalfMs = 1_000;
const connectTimeoutMs = 1_000;
const quickMs = 2;

type Handler = (context: FaultContext) => Served;

const failWith = (outcome: AttemptClass): Handler => ({ well }) => ({ ...well, outcome });

const slower = (factor: number): Handler => ({ well }) => ({ ...well, durationMs: well.durationMs * factor });

const onSome = (handler: Handler): Handler => context => context.random.next() < someShare ? handler(context) : context.well;

const hang: Handler = () => ({ durationMs: Infinity, outcome: AttemptClass.Timeout });

/** What each fault makes of a request. */
export const faultHandlers: Readonly<Record<Fault, Handler>> = {
    [Fault.StopsAnswering]: hang,
    // Kept connections hang; new ones are never completed.
    [Fault.AnswersLost]: context =>
        context.random.next() < someShare ? { durationMs: connectTimeoutMs, outcome: AttemptClass.NotSent } : hang(context),
    [Fault.RefusesConnections]: () => ({ durationMs: quickMs, outcome: AttemptClass.NotSent }),
    [Fault.AllErrors]: failWith(AttemptClass.ServerError),
    [Fault.AllCut]: failWith(AttemptClass.Cut),
    [Fault.AllCorrupt]: failWith(AttemptClass.Corrupt),
    [Fault.SlowTenfold]: slower(10),
    [Fault.SlowThreefold]: slower(3),
    [Fault.SomeSlowTenfold]: onSome(slower(10)),
    [Fault.SomeErrors]: onSome(failWith(AttemptClass.ServerError)),
    [Fault.SomeCut]: onSome(failWith(AttemptClass.Cut)),
    [Fault.SomeCorrupt]: onSome(failWith(AttemptClass.Corrupt)),
    [Fault.Flapping]: context =>
        Math.floor(context.sinceMs / flapHalfMs) % 2 === 0
            ? { ...context.well, outcome: AttemptClass.ServerError }
            : context.well,
    [Fault.SomeHosts]: context => context.host === 0 ? hang(context) : context.well,
};

/** Trouble without an ill backend server: nobody may be ejected. */
export enum Trouble {
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
    Hiccups = "pauses of 80 ms on each machine",
    HeavyTail = "1% of requests take 8x",
}

/** A request as a trouble sees it. */
export interface TroubleContext {
    well: Served;
    member: number;
    cold: boolean;
    requestKind: string;
    now: number;
    random: Random;
}

const slowPoolMs = 3_000;
const poolCycleMs = 10_000;
const stallMs = 300;
const stallCycleMs = 5_000;
const pauseMs = 80;
const pauseCycleMs = 4_000;
const coldFactor = 3;

type TroubleHandler = (context: TroubleContext) => Served;

const leave: TroubleHandler = ({ well }) => well;

// A request that meets a pause waits for its end.
const waitOut = (well: Served, now: number, cycleMs: number, lengthMs: number): Served => {
    const pauseAt = Math.ceil(now / cycleMs) * cycleMs;
    const inPause = now % cycleMs < lengthMs;
    const left = lengthMs - now % cycleMs;
    if (inPause) {
        return { ...well, durationMs: well.durationMs + left };
    }
    return now + well.durationMs > pauseAt ? { ...well, durationMs: well.durationMs + lengthMs } : well;
};

/** What each trouble makes of a request. */
export const troubleHandlers: Readonly<Record<Trouble, TroubleHandler>> = {
    [Trouble.None]: leave,
    [Trouble.LittleTraffic]: leave,
    [Trouble.Overload]: leave,
    [Trouble.PoolSlow]: ({ well, now }) => now % poolCycleMs < slowPoolMs ? { ...well, durationMs: well.durationMs * 5 } : well,
    [Trouble.PoolStalls]: ({ well, now }) => waitOut(well, now, stallCycleMs, stallMs),
    [Trouble.PoolErrors]: ({ well, now, random }) =>
        now % poolCycleMs < slowPoolMs && random.next() < someShare ? { ...well, outcome: AttemptClass.ServerError } : well,
    [Trouble.SlowKind]: ({ well, requestKind }) => requestKind === "kind-2" ? { ...well, durationMs: well.durationMs * 8 } : well,
    [Trouble.FailingKind]: ({ well, requestKind }) =>
        requestKind === "kind-2" ? { ...well, outcome: AttemptClass.ServerError } : well,
    [Trouble.ColdStart]: ({ well, cold }) => cold ? { ...well, durationMs: well.durationMs * coldFactor } : well,
    [Trouble.UnequalMachine]: ({ well, member }) => member === 0 ? { ...well, durationMs: well.durationMs * 1.4 } : well,
    [Trouble.Hiccups]: ({ well, member, now }) => waitOut(well, now + member * pauseCycleMs / 7, pauseCycleMs, pauseMs),
    [Trouble.HeavyTail]: ({ well, random }) => random.next() < 0.01 ? { ...well, durationMs: well.durationMs * 8 } : well,
};
