/** The way of one member out of a pool's picks and back: suspicion, back-off, probes, probation. */
import type { DetectionPolicy } from "./policy.js";

/** Where a member stands. */
export enum Standing {
    Well = "well",
    Suspected = "suspected",
    /** Re-admitted, with few requests at first and a lower threshold. */
    Probation = "probation",
}

/** The standing of one member. Times are in milliseconds. */
export interface Admission {
    standing(now: number): Standing;
    /** The evidence that the suspicion is ranked by; it does not fall while the suspicion lasts. */
    evidence(): number;
    /** The share of its slots that picking should use, above 0 and up to 1. */
    weight(now: number): number;
    /** Takes the evidence in thresholds; returns whether the suspicion or its rank changed. */
    observe(evidence: number, now: number): boolean;
    /** Whether a probe is due; the caller then sends one. */
    probeDue(now: number): boolean;
    /** Takes a probe's result; returns whether the member was re-admitted. */
    probed(well: boolean, now: number): boolean;
    /** Starts afresh after a restart, but remembers the strikes. */
    restart(now: number): void;
}

const strikeMemoryMs = 600_000;
const maxStrikes = 8;
const probeIntervalMs = 250;
const probeTimeoutMs = 2_000;
const minWeight = 0.2;
const rankSteps = [1, 1.5, 2];

// In steps, and never down: two suspects near each other must not swap places at the floor again and again.
const rankOf = (evidence: number): number => rankSteps.filter(step => evidence >= step).at(-1) ?? 1;

/** Creates the standing of one member; `jitter` yields numbers from 0 to 1 that spread the probes of many hosts. */
export const createAdmission = (policy: DetectionPolicy, jitter: () => number): Admission => {
    let suspected = false;
    let rank = 0;
    let strikes = 0;
    let lastStrikeAt = 0;
    let probationFrom = 0;
    let probationUntil = 0;
    let nextProbeAt = 0;
    let probesWell = 0;

    const forget = (now: number): void => {
        if (strikes > 0 && !suspected && now - lastStrikeAt >= strikeMemoryMs) {
            strikes = 0;
        }
    };

    const strike = (now: number): void => {
        forget(now);
        strikes = Math.min(maxStrikes, strikes + 1);
        lastStrikeAt = now;
        probesWell = 0;
        const backoff = Math.min(policy.maxBackoffMs, policy.backoffMs * 2 ** (strikes - 1));
        nextProbeAt = now + backoff * (1 + jitter() / 4);
    };

    const startProbation = (now: number): void => {
        suspected = false;
        rank = 0;
        probationFrom = now;
        probationUntil = now + policy.probationMs * Math.max(1, strikes);
    };

    const standing = (now: number): Standing => {
        if (suspected) {
            return Standing.Suspected;
        }
        return now < probationUntil ? Standing.Probation : Standing.Well;
    };

    const weight = (now: number): number => {
        if (suspected) {
            return minWeight;
        }
        if (now >= probationUntil) {
            return 1;
        }
        return minWeight + (1 - minWeight) * (now - probationFrom) / (probationUntil - probationFrom);
    };

    const observe = (evidence: number, now: number): boolean => {
        const needed = standing(now) === Standing.Probation ? policy.probationShare : 1;
        if (!suspected && evidence < needed) {
            return false;
        }
        const before = rank;
        rank = Math.max(rank, rankOf(evidence));
        if (!suspected) {
            suspected = true;
            strike(now);
        }
        return rank !== before;
    };

    const probeDue = (now: number): boolean => {
        if (!suspected || now < nextProbeAt) {
            return false;
        }
        // A probe whose result never comes back must not end probing.
        nextProbeAt = now + probeTimeoutMs;
        return true;
    };

    const probed = (well: boolean, now: number): boolean => {
        if (!suspected) {
            return false;
        }
        if (!well) {
            strike(now);
            return false;
        }
        probesWell += 1;
        nextProbeAt = now + probeIntervalMs;
        if (probesWell < policy.probesNeeded) {
            return false;
        }
        startProbation(now);
        return true;
    };

    const restart = (now: number): void => {
        forget(now);
        suspected = false;
        rank = 0;
        probesWell = 0;
        probationUntil = now;
        if (strikes > 0) {
            startProbation(now);
        }
    };

    return { standing, evidence: () => rank, weight, observe, probeDue, probed, restart };
};
