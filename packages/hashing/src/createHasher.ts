import createXxhash from "xxhash-wasm";

/** A seedless 32-bit hash of a text. */
export type Hasher = (text: string) => number;

/**
 * Creates the hash function that all processes share.
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
