/** Holds the peer rates against which one pool's samples are tested. */
import { maxLatenessLevel } from "./attempt-lateness.js";
import { DetectionTest } from "./member-evidence.js";
import { createPeerRateTracker } from "./peer-rate-tracker.js";
import type { PeerRateTracker } from "./peer-rate-tracker.js";

/** The tests whose samples are binary. */
export type RateTest = DetectionTest.Failure | DetectionTest.Tail;

/** The peer rates of one pool. */
export interface PeerRateRegistry {
    rateOf(test: RateTest, requestKind: string): PeerRateTracker;
    /** The rate at which attempts that exceed the levels before exceed this one; it is high in a pool with a heavy tail. */
    levelRateOf(level: number): PeerRateTracker;
    remove(serverId: string): void;
}

/** The rates of a healthy pool; no rate is taken to be lower. */
const baselineRates = { [DetectionTest.Failure]: 0.005, [DetectionTest.Tail]: 0.01 };
const ratePriorSamples = 20;
const rateDecayMs = 5_000;
const baselineNextLevelRate = 0.2;
const levelPriorSamples = 8;
const levelDecayMs = 60_000;

/** Creates the peer rates of one pool; `isTrusted` returns whether a member's samples may count for others. */
export const createPeerRateRegistry = (isTrusted: (serverId: string) => boolean): PeerRateRegistry => {
    const rates: Record<RateTest, Map<string, PeerRateTracker>> = {
        [DetectionTest.Failure]: new Map(),
        [DetectionTest.Tail]: new Map(),
    };
    const levelRates = Array.from(
        { length: maxLatenessLevel },
        () =>
            createPeerRateTracker({
                baselineRate: baselineNextLevelRate,
                priorSamples: levelPriorSamples,
                decayMs: levelDecayMs,
                isTrusted,
            }),
    );

    const rateOf = (test: RateTest, requestKind: string): PeerRateTracker => {
        const cfg = { baselineRate: baselineRates[test], priorSamples: ratePriorSamples, decayMs: rateDecayMs, isTrusted };
        const rate = rates[test].get(requestKind) ?? createPeerRateTracker(cfg);
        rates[test].set(requestKind, rate);
        return rate;
    };

    const remove = (serverId: string): void => {
        rates[DetectionTest.Failure].forEach(rate => rate.remove(serverId));
        rates[DetectionTest.Tail].forEach(rate => rate.remove(serverId));
        levelRates.forEach(rate => rate.remove(serverId));
    };

    return { rateOf, levelRateOf: level => levelRates[level]!, remove };
};
