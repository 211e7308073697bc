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
    add(test: Test, evidence: number, badStartedAt: number): void;
    value(test: Test): number;
    /** When the last attempt that counted against the member in this test was started; `undefined` without one. */
    lastBadStartedAt(test: Test): number | undefined;
    /** When the first attempt of the present run of evidence was started. */
    firstBadStartedAt(test: Test): number | undefined;
    reset(): void;
}

// A member far over the threshold must still come back soon after it is well again.
const capThresholds = 2.5;

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

    const add = (test: Test, evidence: number, badStartedAt: number): void => {
        if (evidence > 0 && sums[test].value() === 0) {
            firstBad[test] = badStartedAt;
        }
        sums[test].add(evidence);
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
        value: test => sums[test].value() / thresholdOf(policy, test),
        lastBadStartedAt: test => lastBad[test],
        firstBadStartedAt: test => firstBad[test],
        reset,
    };
};
