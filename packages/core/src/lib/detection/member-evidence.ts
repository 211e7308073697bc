/** Accumulates the evidence against one member from its requests. */
import type { DetectionPolicy } from "./policy.js";
import { createCusum } from "./sequential-test.js";
import type { Cusum } from "./sequential-test.js";

/** The fault that a sequential test detects. */
export enum DetectionTest {
    /** Errors, cut and corrupt answers. */
    Failure = "failure",
    /** Attempts far slower than is typical, in flight or ended. */
    Tail = "tail",
    /** Answers that are all somewhat slower than is typical. */
    Shift = "shift",
}

/** The tests, in a fixed order. */
export const detectionTests: readonly DetectionTest[] = [DetectionTest.Failure, DetectionTest.Tail, DetectionTest.Shift];

/** The evidence against one member per test. Times are in milliseconds. */
export interface MemberEvidence {
    /** Adds the evidence of one sample, in nats. */
    add(test: DetectionTest, evidence: number, attemptStartedAt: number, now: number): void;
    /** The evidence in thresholds. */
    value(test: DetectionTest): number;
    /** The highest recent evidence, in thresholds; a peak decays over time. */
    recentPeak(test: DetectionTest, now: number): number;
    /** When the last attempt that is evidence against the member in this test was started; `undefined` without one. */
    lastBadAttemptStartedAt(test: DetectionTest): number | undefined;
    /** When the first attempt since the sum last left zero was started; `undefined` without one. */
    firstBadAttemptStartedAt(test: DetectionTest): number | undefined;
    reset(): void;
}

// The cap bounds the time that the evidence of a recovered member takes to fall below the threshold.
const evidenceCapThresholds = 2.5;

// Members recover from a degradation of the whole pool one after another; the peak keeps the last one from being suspected.
const peakDecayMs = 2_000;

const thresholdOf = (policy: DetectionPolicy, test: DetectionTest): number =>
    test === DetectionTest.Failure ? policy.failureThreshold : policy.slowThreshold;

/** Creates the evidence of one member, which is zero. */
export const createMemberEvidence = (policy: DetectionPolicy): MemberEvidence => {
    const sums: Record<DetectionTest, Cusum> = {
        [DetectionTest.Failure]: createCusum(evidenceCapThresholds * policy.failureThreshold),
        [DetectionTest.Tail]: createCusum(evidenceCapThresholds * policy.slowThreshold),
        [DetectionTest.Shift]: createCusum(evidenceCapThresholds * policy.slowThreshold),
    };
    let lastBadStartedAt: Partial<Record<DetectionTest, number>> = {};
    let firstBadStartedAt: Partial<Record<DetectionTest, number>> = {};

    const peaks: Record<DetectionTest, { value: number; at: number; }> = {
        [DetectionTest.Failure]: { value: 0, at: 0 },
        [DetectionTest.Tail]: { value: 0, at: 0 },
        [DetectionTest.Shift]: { value: 0, at: 0 },
    };

    const value = (test: DetectionTest): number => sums[test].value() / thresholdOf(policy, test);

    const recentPeak = (test: DetectionTest, now: number): number => {
        const lastPeak = peaks[test];
        return Math.max(value(test), lastPeak.value * Math.exp((lastPeak.at - now) / peakDecayMs));
    };

    const add = (test: DetectionTest, evidence: number, attemptStartedAt: number, now: number): void => {
        if (evidence > 0 && sums[test].value() === 0) {
            firstBadStartedAt[test] = attemptStartedAt;
        }
        sums[test].add(evidence);
        if (value(test) > 0 || peaks[test].value > 0) {
            peaks[test] = { value: recentPeak(test, now), at: now };
        }
        if (evidence > 0) {
            lastBadStartedAt[test] = Math.max(lastBadStartedAt[test] ?? attemptStartedAt, attemptStartedAt);
        }
    };

    const reset = (): void => {
        detectionTests.forEach(test => sums[test].reset());
        lastBadStartedAt = {};
        firstBadStartedAt = {};
    };

    return {
        add,
        value,
        recentPeak,
        lastBadAttemptStartedAt: test => lastBadStartedAt[test],
        firstBadAttemptStartedAt: test => firstBadStartedAt[test],
        reset,
    };
};
