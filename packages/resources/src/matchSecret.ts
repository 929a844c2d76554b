import { timingSafeEqual } from "node:crypto";
import { hashSecret } from "./hashSecret.js";

/**
 * Compares a secret with stored hashes in constant time.
 *
 * @param secret - The key or token as presented
 * @param hashes - Stored hashes in hexadecimal
 * @returns whether one of them is the secret's
 *
 * @example
 * matchSecret(token, operator.spec.tokenHashes);
 */
export function matchSecret(secret: string, hashes: readonly string[]): boolean {
    const presented = Buffer.from(hashSecret(secret), "hex");
    let matched = false;
    for (const hash of hashes) {
        const equal = timingSafeEqual(presented, Buffer.from(hash, "hex"));
        matched = matched || equal;
    }
    return matched;
}
