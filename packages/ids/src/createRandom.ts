import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Source of random numbers; the same seed gives the same numbers. */
export interface Random {
    /** A number in [0, 1). */
    next(): number;
}

/**
 * Creates a source of random numbers.
 *
 * @param seed - A 32-bit integer
 * @returns the source
 *
 * @example
 * const jitterMs = createRandom(7).next() * 100;
 */
export function createRandom(seed: number): Random {
    const generator = xoroshiro128plus(seed);
    return { next: () => uniformFloat64(generator) };
}
