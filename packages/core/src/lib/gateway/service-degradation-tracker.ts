/** Detects services that fail so many requests that their idle servers should be probed. */
import { ServerObservation } from "./failure-estimate.js";

/** Recent outcomes by service. */
export interface ServiceDegradationTracker {
    /** Records an outcome in the own availability zone. */
    record(service: string, observation: ServerObservation, now: number): void;
    /** Records failures in other availability zones, which do not report their successes. */
    recordRemoteFailures(service: string, failures: number, now: number): void;
    /** Whether a service fails too many of its requests, in the own availability zone or in all zones together. */
    isDegraded(service: string, now: number): boolean;
}

/** Time constant of the exponential decay of the counts. */
const decayMs = 3000;
/** Failure rate above which idle servers are probed; below the 10% at which operators expect requests on most servers. */
const degradedFailureRate = 0.085;
/** Fewer failures than this may be chance, as an availability zone receives only a few requests a second. */
const minFailures = 2.5;

/** Decayed counts of one service. */
interface OutcomeTally {
    failures: number;
    outcomes: number;
    remoteFailures: number;
    updatedAt: number;
}

/** Creates an empty tracker for `zoneCount` availability zones, whose loads are assumed to be equal. */
export const createServiceDegradationTracker = (zoneCount: number): ServiceDegradationTracker => {
    const tallies = new Map<string, OutcomeTally>();

    const decayedTally = (service: string, now: number): OutcomeTally => {
        const tally = tallies.get(service) ?? { failures: 0, outcomes: 0, remoteFailures: 0, updatedAt: now };
        const decay = Math.exp(-Math.max(0, now - tally.updatedAt) / decayMs);
        tally.failures *= decay;
        tally.outcomes *= decay;
        tally.remoteFailures *= decay;
        tally.updatedAt = now;
        tallies.set(service, tally);
        return tally;
    };

    return {
        record: (service, observation, now) => {
            const tally = decayedTally(service, now);
            tally.outcomes += 1;
            tally.failures += observation === ServerObservation.Success ? 0 : 1;
        },
        recordRemoteFailures: (service, failures, now) => {
            decayedTally(service, now).remoteFailures += failures;
        },
        isDegraded: (service, now) => {
            const { failures, outcomes, remoteFailures } = decayedTally(service, now);
            const exceeds = (count: number, total: number): boolean =>
                count >= minFailures && count > degradedFailureRate * total;
            return exceeds(failures, outcomes) || exceeds(failures + remoteFailures, outcomes * zoneCount);
        },
    };
};
