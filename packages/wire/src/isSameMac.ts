import { timingSafeEqual } from "node:crypto";

/**
 * Compares two message authentication codes in constant time.
 *
 * @param presented - Code received from the peer
 * @param expected - Code computed with the own key
 * @returns whether the codes are equal
 *
 * @example
 * isSameMac(frame.mac, computeMac(key, parts));
 */
export function isSameMac(presented: string, expected: string): boolean {
    const a = Buffer.from(presented, "utf8");
    const b = Buffer.from(expected, "utf8");
    return a.length === b.length && timingSafeEqual(a, b);
}
