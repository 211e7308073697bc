/** Parameters of detection per detection mode. */
import { DetectionMode } from "../tables.js";

/** The trade-off of one mode between detection time and false ejections. Evidence is in nats (natural log of a likelihood ratio). */
export interface DetectionPolicy {
    /** Evidence of failures at which a member is suspected. */
    failureThreshold: number;
    /** Evidence of slowness at which a member is suspected. */
    slowThreshold: number;
    /** Share of these thresholds at which a member on probation is suspected. */
    probationThresholdShare: number;
    /** An attempt is in the tail when the logarithm of its time exceeds the peers' median by this many standard deviations. */
    tailStdDevs: number;
    /** Standard deviations by which recent failures must exceed the number expected from the peers' failure rate. */
    failureStdDevs: number;
    /** A pause that a healthy member may take, for example for garbage collection, in milliseconds. */
    toleratedPauseMs: number;
    /** Successful answers needed from peers in the same time, so that no member is suspected for a degradation of the whole pool. */
    minPeerAnswers: number;
    /** Delay from the first ejection to its first probe, in milliseconds; doubles with each further ejection or failed probe. */
    initialBackoffMs: number;
    /** Longest such delay, in milliseconds. */
    maxBackoffMs: number;
    /** Consecutive successful probes needed for re-admission. */
    requiredProbes: number;
    /** Duration of probation after re-admission, in milliseconds; multiplied by the backoff level. */
    probationMs: number;
}

/** The detection policy of each mode. */
export const detectionPolicies: Readonly<Record<DetectionMode, DetectionPolicy>> = {
    [DetectionMode.Prompt]: {
        failureThreshold: 9,
        slowThreshold: 9.5,
        probationThresholdShare: 0.7,
        tailStdDevs: 2.5,
        failureStdDevs: 2.5,
        toleratedPauseMs: 100,
        minPeerAnswers: 3,
        initialBackoffMs: 2_000,
        maxBackoffMs: 300_000,
        requiredProbes: 2,
        probationMs: 5_000,
    },
    [DetectionMode.Careful]: {
        failureThreshold: 22,
        slowThreshold: 22,
        probationThresholdShare: 0.8,
        tailStdDevs: 3,
        failureStdDevs: 4,
        toleratedPauseMs: 200,
        minPeerAnswers: 6,
        initialBackoffMs: 5_000,
        maxBackoffMs: 300_000,
        requiredProbes: 3,
        probationMs: 10_000,
    },
};
