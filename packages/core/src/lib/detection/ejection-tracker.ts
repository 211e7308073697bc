/**
 * Tracks the suspicion of one member and its re-admission: backoff, probes, probation.
 *
 * A suspected member is ejected unless the floor keeps it; `computeEffectiveView` decides that for the whole pool.
 */
import type { DetectionPolicy } from "./policy.js";

/** The ejection state of a member. */
export enum EjectionState {
    Healthy = "well",
    Suspected = "suspected",
    /** Re-admitted: its weight starts low and rises, and less evidence makes it suspected again. */
    Probation = "probation",
}

/** The ejection state of one member. Times are in milliseconds. */
export interface EjectionTracker {
    state(now: number): EjectionState;
    /** The evidence rounded down to a step, in thresholds; 0 without a suspicion. It does not fall while the suspicion lasts. */
    rank(): number;
    /** The share of its slots that the scheduler should use, above 0 and up to 1. */
    weight(now: number): number;
    /** Records the current evidence, in thresholds; returns whether the suspicion or its rank changed. */
    observe(evidence: number, now: number): boolean;
    /** Returns whether a probe is due, which is then to be sent: the next one is due only after the probe timeout. */
    takeDueProbe(now: number): boolean;
    /** Records the result of a probe; returns whether the member was re-admitted. */
    recordProbe(succeeded: boolean, now: number): boolean;
    /** Ends the suspicion because the member restarted. An unexpired backoff level is kept and puts the member on probation. */
    resetAfterRestart(now: number): void;
}

/** Time since the last new suspicion or failed probe after which the backoff level is reset, unless the member is suspected. */
const backoffLevelResetMs = 600_000;
const maxBackoffLevel = 8;
const probeIntervalMs = 250;
const probeTimeoutMs = 2_000;
/** Fraction of its slots for a suspected member, and at the start of probation. */
const minWeight = 0.2;
/** Largest jitter as a fraction of the backoff. */
const maxJitterFraction = 0.25;
/** Ranks, in thresholds. Evidence below the first one, which suffices on probation, has the first rank. */
const rankSteps = [1, 1.5, 2];

// The rank moves in steps and never falls, so that two suspected members with similar evidence are not ejected
// by turns when the floor keeps one of them.
const rankOf = (evidence: number): number => rankSteps.filter(step => evidence >= step).at(-1) ?? 1;

/** Creates the tracker of a healthy member; `jitter` returns numbers from 0 to 1 that spread the probes of many hosts. */
export const createEjectionTracker = (policy: DetectionPolicy, jitter: () => number): EjectionTracker => {
    let suspected = false;
    let rank = 0;
    let backoffLevel = 0;
    let lastBackoffAt = 0;
    let probationStartedAt = 0;
    let probationEndsAt = 0;
    let nextProbeAt = 0;
    let successfulProbes = 0;

    const resetExpiredBackoff = (now: number): void => {
        if (backoffLevel > 0 && !suspected && now - lastBackoffAt >= backoffLevelResetMs) {
            backoffLevel = 0;
        }
    };

    const extendBackoff = (now: number): void => {
        resetExpiredBackoff(now);
        backoffLevel = Math.min(maxBackoffLevel, backoffLevel + 1);
        lastBackoffAt = now;
        successfulProbes = 0;
        const backoffMs = Math.min(policy.maxBackoffMs, policy.initialBackoffMs * 2 ** (backoffLevel - 1));
        nextProbeAt = now + backoffMs * (1 + jitter() * maxJitterFraction);
    };

    const startProbation = (now: number): void => {
        suspected = false;
        rank = 0;
        probationStartedAt = now;
        probationEndsAt = now + policy.probationMs * Math.max(1, backoffLevel);
    };

    const state = (now: number): EjectionState => {
        if (suspected) {
            return EjectionState.Suspected;
        }
        return now < probationEndsAt ? EjectionState.Probation : EjectionState.Healthy;
    };

    const weight = (now: number): number => {
        if (suspected) {
            return minWeight;
        }
        if (now >= probationEndsAt) {
            return 1;
        }
        return minWeight + (1 - minWeight) * (now - probationStartedAt) / (probationEndsAt - probationStartedAt);
    };

    const observe = (evidence: number, now: number): boolean => {
        const threshold = state(now) === EjectionState.Probation ? policy.probationThresholdShare : 1;
        if (!suspected && evidence < threshold) {
            return false;
        }
        const previousRank = rank;
        rank = Math.max(rank, rankOf(evidence));
        if (!suspected) {
            suspected = true;
            extendBackoff(now);
        }
        return rank !== previousRank;
    };

    const takeDueProbe = (now: number): boolean => {
        if (!suspected || now < nextProbeAt) {
            return false;
        }
        // If no result is recorded by then, the probe counts as lost and the next one is due.
        nextProbeAt = now + probeTimeoutMs;
        return true;
    };

    const recordProbe = (succeeded: boolean, now: number): boolean => {
        if (!suspected) {
            return false;
        }
        if (!succeeded) {
            extendBackoff(now);
            return false;
        }
        successfulProbes += 1;
        nextProbeAt = now + probeIntervalMs;
        if (successfulProbes < policy.requiredProbes) {
            return false;
        }
        startProbation(now);
        return true;
    };

    const resetAfterRestart = (now: number): void => {
        resetExpiredBackoff(now);
        suspected = false;
        rank = 0;
        successfulProbes = 0;
        probationEndsAt = now;
        if (backoffLevel > 0) {
            startProbation(now);
        }
    };

    return { state, rank: () => rank, weight, observe, takeDueProbe, recordProbe, resetAfterRestart };
};
