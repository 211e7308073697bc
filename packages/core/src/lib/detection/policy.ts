/** The figures of detection, per mode of a pool. */
import { DetectionMode } from "../tables.js";

/** How one mode weighs detection time against false ejections. Evidence is in nats (natural log of a likelihood ratio). */
export interface DetectionPolicy {
    /** Evidence of failures at which a member is suspected. */
    failureThreshold: number;
    /** Evidence of slowness at which a member is suspected. */
    slowThreshold: number;
    /** Share of these thresholds that is enough during probation. */
    probationShare: number;
    /** An attempt is in the tail when its time exceeds the peers' typical time by this many scales. */
    tailScales: number;
    /** Standard deviations by which failures of late must exceed what the other members' rate makes likely. */
    failureScales: number;
    /** A pause that a well member may take, for example to collect garbage, in milliseconds. */
    pauseMs: number;
    /** Answers of other members that must have gone well meanwhile, so that the whole pool's trouble blames nobody. */
    peerAnswers: number;
    /** Time without a first probe after an ejection, in milliseconds; doubles with each strike. */
    backoffMs: number;
    /** Longest such time, in milliseconds. */
    maxBackoffMs: number;
    /** Probes in a row that must go well before re-admission. */
    probesNeeded: number;
    /** Time of slow start after re-admission, in milliseconds; grows with each strike. */
    probationMs: number;
}

/** The policy of each mode. */
export const policies: Readonly<Record<DetectionMode, DetectionPolicy>> = {
    [DetectionMode.Prompt]: {
        failureThreshold: 9,
        slowThreshold: 9.5,
        probationShare: 0.7,
        tailScales: 2.5,
        failureScales: 2.5,
        pauseMs: 100,
        peerAnswers: 3,
        backoffMs: 2_000,
        maxBackoffMs: 300_000,
        probesNeeded: 2,
        probationMs: 5_000,
    },
    [DetectionMode.Careful]: {
        failureThreshold: 22,
        slowThreshold: 22,
        probationShare: 0.8,
        tailScales: 3,
        failureScales: 4,
        pauseMs: 200,
        peerAnswers: 6,
        backoffMs: 5_000,
        maxBackoffMs: 300_000,
        probesNeeded: 3,
        probationMs: 10_000,
    },
};
