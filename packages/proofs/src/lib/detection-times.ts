/** Derives detection times and false ejections from a run of the simulated pool. */
import { Fault } from "./detection-faults.js";
import type { FakePoolResult } from "./detection-pool.js";

/** Detection times and false ejections of a run with a fault. */
export interface FaultRunSummary {
    /** Time from the fault until the owner host suspected the faulty member, in milliseconds; `Infinity` when it never did. */
    suspectedMs: number;
    /** Time from the fault to the last attempt that an affected host sent to the faulty member, in milliseconds. */
    lastSendMs: number;
    /** Suspicions of healthy members, and of the faulty member on hosts that the fault does not affect. */
    falseEjections: number;
}

// Shorter than the shortest time until a re-admission, so that attempts within this time do not follow from one.
const beforeReadmissionMs = 1_900;

/** Summarizes a run in which the first member, owned by the first host, had the given fault. */
export const summarizeFaultRun = (fault: Fault, result: FakePoolResult): FaultRunSummary => {
    const isAffectedHost = (host: number): boolean => fault !== Fault.SomeHosts || host === 0;
    const isTrueDetection = (member: number, host: number): boolean => member === 0 && isAffectedHost(host);
    const afterFault = result.ejections.filter(ejection => ejection.atMs >= 0);
    const suspectedMs = afterFault.find(ejection => ejection.memberIndex === 0 && ejection.hostIndex === 0)?.atMs ?? Infinity;
    const lastCountedAt = suspectedMs + beforeReadmissionMs;
    const lastSendMs = result.sends.filter(send => isAffectedHost(send.hostIndex) && send.atMs <= lastCountedAt).at(-1)?.atMs
        ?? 0;
    return {
        suspectedMs,
        lastSendMs: suspectedMs === Infinity ? Infinity : lastSendMs,
        falseEjections: afterFault.filter(ejection => !isTrueDetection(ejection.memberIndex, ejection.hostIndex)).length,
    };
};
