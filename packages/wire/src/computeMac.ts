import { createHmac } from "node:crypto";

/**
 * Computes the HMAC-SHA-256 with which a process proves that it knows the key shared by all peers.
 *
 * @param key - Shared key from the settings
 * @param parts - Values that the code authenticates: the role, the nonces and the host
 * @returns the message authentication code in hexadecimal
 *
 * @example
 * const mac = computeMac(cfg.peerKey, ["client", nonce, host]);
 */
export function computeMac(key: string, parts: readonly string[]): string {
    return createHmac("sha256", key).update(JSON.stringify(parts)).digest("hex");
}
