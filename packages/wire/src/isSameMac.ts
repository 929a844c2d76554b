import { timingSafeEqual } from "node:crypto";

/**
 * Compares two message authentication codes in constant time.
 *
 * @param received - Code received from the peer
 * @param expected - Code computed with this process's key
 * @returns whether the codes are equal
 *
 * @example
 * isSameMac(frame.mac, computeMac(key, parts));
 */
export function isSameMac(received: string, expected: string): boolean {
    const a = Buffer.from(received, "utf8");
    const b = Buffer.from(expected, "utf8");
    return a.length === b.length && timingSafeEqual(a, b);
}
