/** What an entry host knows about one backend server of its pool. */
import type { FleetServer } from "../fleet/facts.js";
import type { Random } from "../random.js";
import { failureProbabilityAt, initialFailureEstimate, withEvidence } from "./failure-estimate.js";
import type { FailureEstimate, FailureEstimateCfg } from "./failure-estimate.js";
import { createMemberWaits } from "./member-waits.js";
import type { MemberWaits } from "./member-waits.js";
import { createRecoveryProbes } from "./recovery-probes.js";
import type { RecoveryProbes } from "./recovery-probes.js";

/** What an entry host knows about one server. Times are in milliseconds of the host's clock. */
export interface PoolMember {
    record: FleetServer;
    /** From ended requests and hangs. */
    failureEstimate: FailureEstimate;
    /** Requests that wait for an answer and are not hangs yet. */
    waits: MemberWaits;
    lastObservationAt: number | undefined;
    /** When a request was last known to be in flight on the server, and when one was last known to fail. */
    lastUsedAt: number;
    lastFailureAt: number;
    probes: RecoveryProbes;
    ownInFlight: number;
    /** Requests of other hosts in flight, by host key. */
    inFlightByHost: Map<string, number>;
    otherHostsInFlight: number;
    /** What has not been reported yet. */
    successes: number;
    failures: number;
    /** Hangs that began less those that were answered after all. */
    hangs: number;
    /** Level of the waits that was reported last. */
    reportedLevel: number;
    isReportDue: boolean;
    isReplaced: boolean;
    /** Whether the server has stated in an answer that it is leaving. */
    isLeaving: boolean;
    /** Until when the server has asked this host for no requests. */
    restsUntil: number;
}

/** Creates a member without observations. */
export const createPoolMember = (record: FleetServer, cfg: FailureEstimateCfg, random: Random): PoolMember => ({
    record,
    failureEstimate: initialFailureEstimate(0, cfg),
    waits: createMemberWaits(),
    lastObservationAt: undefined,
    lastUsedAt: -Infinity,
    lastFailureAt: -Infinity,
    probes: createRecoveryProbes(random),
    ownInFlight: 0,
    inFlightByHost: new Map(),
    otherHostsInFlight: 0,
    successes: 0,
    failures: 0,
    hangs: 0,
    reportedLevel: 0,
    isReportDue: false,
    isReplaced: false,
    isLeaving: false,
    restsUntil: -Infinity,
});

/** Returns the probability that the server is unhealthy, from ended and from waiting requests. */
export const failureProbabilityOf = (member: PoolMember, now: number, cfg: FailureEstimateCfg): number =>
    withEvidence(failureProbabilityAt(member.failureEstimate, now, cfg), member.waits.evidence(now));

/** Replaces the number of requests in flight that another host has reported. */
export const setHostLoad = (member: PoolMember, hostKey: string, inFlight: number): void => {
    member.otherHostsInFlight += inFlight - (member.inFlightByHost.get(hostKey) ?? 0);
    if (inFlight === 0) {
        member.inFlightByHost.delete(hostKey);
    }
    else {
        member.inFlightByHost.set(hostKey, inFlight);
    }
};
