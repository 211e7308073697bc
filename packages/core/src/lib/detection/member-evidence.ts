/** What the requests of one member prove against it. */
import type { DetectionPolicy } from "./policy.js";
import { createCusum } from "./sequential-test.js";
import type { Cusum } from "./sequential-test.js";

/** What a sequential test looks for. */
export enum Test {
    /** Errors, cut and corrupt answers. */
    Failure = "failure",
    /** Attempts far slower than usual, in flight or ended. */
    Tail = "tail",
    /** Answers that are all somewhat slower than usual. */
    Shift = "shift",
}

/** The tests, in a fixed order. */
export const tests: readonly Test[] = [Test.Failure, Test.Tail, Test.Shift];

/** The evidence against one member, kept per test. */
export interface MemberEvidence {
    add(test: Test, evidence: number, badStartedAt: number, now: number): void;
    /** The evidence in thresholds. */
    value(test: Test): number;
    /** The greatest evidence of late, in thresholds. */
    peak(test: Test, now: number): number;
    /** When the last attempt that counted against the member in this test was started; `undefined` without one. */
    lastBadStartedAt(test: Test): number | undefined;
    /** When the first attempt of the present run of evidence was started. */
    firstBadStartedAt(test: Test): number | undefined;
    reset(): void;
}

// A member far over the threshold must still come back soon after it is well again.
const capThresholds = 2.5;

// Members recover from trouble of the whole pool one after another; the last one must not be blamed for that.
const peakDecayMs = 2_000;

const thresholdOf = (policy: DetectionPolicy, test: Test): number =>
    test === Test.Failure ? policy.failureThreshold : policy.slowThreshold;

/** Creates the evidence of one member. */
export const createMemberEvidence = (policy: DetectionPolicy): MemberEvidence => {
    const sums: Record<Test, Cusum> = {
        [Test.Failure]: createCusum(capThresholds * policy.failureThreshold),
        [Test.Tail]: createCusum(capThresholds * policy.slowThreshold),
        [Test.Shift]: createCusum(capThresholds * policy.slowThreshold),
    };
    let lastBad: Partial<Record<Test, number>> = {};
    let firstBad: Partial<Record<Test, number>> = {};

    const peaks: Record<Test, { value: number; at: number; }> = {
        [Test.Failure]: { value: 0, at: 0 },
        [Test.Tail]: { value: 0, at: 0 },
        [Test.Shift]: { value: 0, at: 0 },
    };

    const value = (test: Test): number => sums[test].value() / thresholdOf(policy, test);

    const peak = (test: Test, now: number): number => {
        const last = peaks[test];
        return Math.max(value(test), last.value * Math.exp((last.at - now) / peakDecayMs));
    };

    const add = (test: Test, evidence: number, badStartedAt: number, now: number): void => {
        if (evidence > 0 && sums[test].value() === 0) {
            firstBad[test] = badStartedAt;
        }
        sums[test].add(evidence);
        if (value(test) > 0 || peaks[test].value > 0) {
            peaks[test] = { value: peak(test, now), at: now };
        }
        if (evidence > 0) {
            lastBad[test] = Math.max(lastBad[test] ?? badStartedAt, badStartedAt);
        }
    };

    const reset = (): void => {
        tests.forEach(test => sums[test].reset());
        lastBad = {};
        firstBad = {};
    };

    return {
        add,
        value,
        peak,
        lastBadStartedAt: test => lastBad[test],
        firstBadStartedAt: test => firstBad[test],
        reset,
    };
};
