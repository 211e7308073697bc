/** Holds the peer rates against which one pool's samples are tested. */
import { maxLatenessLevel } from "./attempt-lateness.js";
import { DetectionTest } from "./member-evidence.js";
import { createPeerRateTracker } from "./peer-rate-tracker.js";
import type { PeerRateTracker } from "./peer-rate-tracker.js";

/** The tests that compare rates: each of their samples is either good or bad. */
export type RateTest = DetectionTest.Failure | DetectionTest.Tail;

/** The peer rates of one pool. */
export interface PeerRateRegistry {
    /** The rate of bad samples of `test` among requests of one kind. */
    rateOf(test: RateTest, requestKind: string): PeerRateTracker;
    /**
     * The rate at which attempts that exceed `level` levels of lateness exceed the next one too, for a `level` from 1 to
     * `maxLatenessLevel` - 1; it is high in a pool with a heavy tail.
     */
    levelRateOf(level: number): PeerRateTracker;
    /** Removes the samples of a member from all rates. */
    remove(serverId: string): void;
}

/** Fraction of bad samples in a healthy pool; no rate is taken to be lower. */
const baselineRates = { [DetectionTest.Failure]: 0.005, [DetectionTest.Tail]: 0.01 };
/** Weight of the baseline rate, as a number of samples. */
const ratePriorSamples = 20;
/** Time after which a sample of a rate weighs 1/e. */
const rateDecayMs = 5_000;
/** Fraction of the attempts at one level of lateness that exceed the next one in a healthy pool; no such rate is lower. */
const baselineNextLevelRate = 0.2;
/** Weight of that fraction, as a number of samples. */
const levelPriorSamples = 8;
/** Time after which a sample of such a rate weighs 1/e. */
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
