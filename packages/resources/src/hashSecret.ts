import { createHash } from "node:crypto";

/**
 * Hashes a caller's key or an operator's token in the form that resources store.
 *
 * @param secret - Key or token in plain text
 * @returns its SHA-256 hash in hexadecimal
 *
 * @example
 * const keyHashes = [hashSecret(key)];
 */
export function hashSecret(secret: string): string {
    return createHash("sha256").update(secret, "utf8").digest("hex");
}
