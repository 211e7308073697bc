/** The rates that one pool's evidence is weighed with. */
import { latenessLevels } from "./attempts.js";
import { createBadRates } from "./bad-rate.js";
import type { BadRates } from "./bad-rate.js";
import { Test } from "./member-evidence.js";

/** The tests that weigh a yes-or-no sample. */
export type RateTest = Test.Failure | Test.Tail;

/** The rates of one pool. */
export interface RateBook {
    of(test: RateTest, requestKind: string): BadRates;
    /** How often an attempt that passed the levels before passes this one: in a pool with a heavy tail, often. */
    ofLevel(level: number): BadRates;
    remove(serverId: string): void;
}

/** The rates of a well pool; no rate is taken to be lower. */
const usualRates = { [Test.Failure]: 0.005, [Test.Tail]: 0.01 };
const rateSamples = 20;
const rateDecayMs = 5_000;
const usualNextLevelRate = 0.2;
const levelSamples = 8;
const levelDecayMs = 60_000;

/** Creates the rates of one pool; `isTrusted` says whether a member's requests may count for others. */
export const createRateBook = (isTrusted: (serverId: string) => boolean): RateBook => {
    const rates: Record<RateTest, Map<string, BadRates>> = { [Test.Failure]: new Map(), [Test.Tail]: new Map() };
    const levels = Array.from(
        { length: latenessLevels },
        () => createBadRates({ usualRate: usualNextLevelRate, priorSamples: levelSamples, decayMs: levelDecayMs, isTrusted }),
    );

    const of = (test: RateTest, requestKind: string): BadRates => {
        const cfg = { usualRate: usualRates[test], priorSamples: rateSamples, decayMs: rateDecayMs, isTrusted };
        const found = rates[test].get(requestKind) ?? createBadRates(cfg);
        rates[test].set(requestKind, found);
        return found;
    };

    const remove = (serverId: string): void => {
        rates[Test.Failure].forEach(rate => rate.remove(serverId));
        rates[Test.Tail].forEach(rate => rate.remove(serverId));
        levels.forEach(rate => rate.remove(serverId));
    };

    return { of, ofLevel: level => levels[level]!, remove };
};
