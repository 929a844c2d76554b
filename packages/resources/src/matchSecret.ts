import { timingSafeEqual } from "node:crypto";
import { hashSecret } from "./hashSecret.js";

/**
 * Compares a secret with stored hashes in constant time.
 *
 * @param secret - Key or token that the client presented
 * @param hashes - Stored SHA-256 hashes in hexadecimal
 * @returns whether a hash matches the secret
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
