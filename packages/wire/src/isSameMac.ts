import { timingSafeEqual } from "node:crypto";

/**
 * Compares two proofs in constant time.
 *
 * @param presented - The proof that came in
 * @param expected - The proof as computed
 * @returns whether they are the same
 *
 * @example
 * isSameMac(frame.mac, computeMac(key, parts));
 */
export function isSameMac(presented: string, expected: string): boolean {
    const a = Buffer.from(presented, "utf8");
    const b = Buffer.from(expected, "utf8");
    return a.length === b.length && timingSafeEqual(a, b);
}
