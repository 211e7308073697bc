/** A seeded random source, so that every decision can be repeated. */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** A source of random numbers that a caller passes into a decision. */
export interface Random {
    /** A number from 0 (inclusive) to 1 (exclusive). */
    next(): number;
    /** An integer from 0 (inclusive) to `limit` (exclusive). */
    below(limit: number): number;
}

/** Creates a generator that yields the same numbers for the same seed. */
export const createRandom = (seed: number): Random => {
    const generator = xoroshiro128plus(seed);
    const next = (): number => uniformFloat64(generator);
    const below = (limit: number): number => Math.floor(next() * limit);
    return { next, below };
};
