import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Deterministic pseudo-random number generator. */
export interface Random {
    /** Returns the next number, uniformly distributed in [0, 1). */
    next(): number;
}

/**
 * Creates a pseudo-random number generator. The same seed gives the same numbers.
 *
 * @param seed - A 32-bit integer
 * @returns the generator (xoroshiro128+)
 *
 * @example
 * const jitterMs = createRandom(7).next() * 100;
 */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return { next: () => uniformFloat64(generator) };
}
