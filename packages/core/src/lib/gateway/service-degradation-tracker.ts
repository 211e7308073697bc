/** Detects services that fail so many requests that their idle servers should be probed. */
import { ServerObservation } from "./failure-estimate.js";

/** Recent outcomes by service. */
export interface ServiceDegradationTracker {
    /** Records an outcome in the own availability zone. */
    record(service: string, observation: ServerObservation, now: number): void;
    /** Counts hangs in the own availability zone as failures; negative ones were answered after all. */
    recordHangs(service: string, hangs: number, now: number): void;
    /** Records failures in other availability zones, which do not report their successes. */
    recordRemoteFailures(service: string, failures: number, now: number): void;
    /** Whether a service fails too many of its requests, in the own availability zone or in all zones together. */
    isDegraded(service: string, now: number): boolean;
}

/** Time constant of the exponential decay of the counts. */
const decayMs = 3000;
/** Smallest number and rate of failures at which a service is degraded. */
interface DegradationBound {
    failures: number;
    rate: number;
}

/** In all zones together; below the 10% at which operators expect requests on most servers. */
const fleetBound: DegradationBound = { failures: 2.5, rate: 0.085 };
/** In the own zone, which receives few requests, so that chance alone often exceeds the fleet's rate. */
const zoneBound: DegradationBound = { failures: 4, rate: 0.15 };

const exceeds = (bound: DegradationBound, failures: number, outcomes: number): boolean =>
    failures >= bound.failures && failures > bound.rate * outcomes;

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
        recordHangs: (service, hangs, now) => {
            const tally = decayedTally(service, now);
            tally.outcomes = Math.max(0, tally.outcomes + hangs);
            tally.failures = Math.max(0, tally.failures + hangs);
        },
        recordRemoteFailures: (service, failures, now) => {
            const tally = decayedTally(service, now);
            tally.remoteFailures = Math.max(0, tally.remoteFailures + failures);
        },
        isDegraded: (service, now) => {
            const { failures, outcomes, remoteFailures } = decayedTally(service, now);
            return exceeds(zoneBound, failures, outcomes)
                || exceeds(fleetBound, failures + remoteFailures, outcomes * zoneCount);
        },
    };
};
