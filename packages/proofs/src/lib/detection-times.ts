/** Reads detection times and false ejections out of a run of the fake pool. */
import { Fault } from "./detection-faults.js";
import type { FakePoolResult } from "./detection-pool.js";

/** What a run with a fault showed. */
export interface FaultReading {
    /** Time from the fault until its owner host suspected the member, in milliseconds; `Infinity` when it never did. */
    suspectedMs: number;
    /** Time from the fault to the last new request sent there by any host that the fault is seen from, in milliseconds. */
    lastSendMs: number;
    /** Suspicions of well members, and of the member on hosts that reach it. */
    falseEjections: number;
}

// The shortest back-off is longer: sends within this time are not those of a re-admission.
const beforeReadmissionMs = 1_900;

/** Reads a run in which `fault` struck the first member, whose owner is the first host. */
export const readFault = (fault: Fault, result: FakePoolResult): FaultReading => {
    const seenFrom = (host: number): boolean => fault !== Fault.SomeHosts || host === 0;
    const isTrue = (member: number, host: number): boolean => member === 0 && seenFrom(host);
    const after = result.ejections.filter(ejection => ejection.at >= 0);
    const suspectedMs = after.find(ejection => ejection.member === 0 && ejection.host === 0)?.at ?? Infinity;
    const until = suspectedMs + beforeReadmissionMs;
    const lastSendMs = result.sends.filter(send => seenFrom(send.host) && send.at <= until).at(-1)?.at ?? 0;
    return {
        suspectedMs,
        lastSendMs: suspectedMs === Infinity ? Infinity : lastSendMs,
        falseEjections: after.filter(ejection => !isTrue(ejection.member, ejection.host)).length,
    };
};
