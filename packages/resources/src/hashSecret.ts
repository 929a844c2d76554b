import { createHash } from "node:crypto";

/**
 * Hashes a caller's key or an operator's token as resources hold it.
 *
 * @param secret - The key or token
 * @returns its SHA-256 hash in hexadecimal
 *
 * @example
 * const keyHashes = [hashSecret(key)];
 */
export function hashSecret(secret: string): string {
    return createHash("sha256").update(secret, "utf8").digest("hex");
}
