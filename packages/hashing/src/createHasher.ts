import createXxhash from "xxhash-wasm";

/** Hashes a string to an unsigned 32-bit integer. */
export type Hasher = (text: string) => number;

/**
 * Creates the hash function that all processes must use: xxHash32 with seed 0, so that they rank nodes alike.
 *
 * @returns the hash function
 *
 * @example
 * const hash = await createHasher();
 */
export async function createHasher(): Promise<Hasher> {
    const { h32 } = await createXxhash();
    return text => h32(text);
}
