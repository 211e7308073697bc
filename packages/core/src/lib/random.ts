/** Provides a seeded random source, so that every decision is reproducible. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers, passed to the code that makes a decision. */
export interface Random {
    /** A number from 0 (inclusive) to 1 (exclusive). */
    next(): number;
    /** An integer from 0 (inclusive) to `limit` (exclusive). */
    below(limit: number): number;
}

/** Creates a generator that returns the same sequence for the same seed. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    const next = (): number => uniformFloat64(generator);
    const below = (limit: number): number => Math.floor(next() * limit);
    return { next, below };
};
