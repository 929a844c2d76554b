import { createHmac } from "node:crypto";

/**
 * Computes the proof that a process knows the peers' key.
 *
 * @param key - Key from the settings
 * @param parts - What the proof covers
 * @returns the proof in hexadecimal
 *
 * @example
 * const mac = computeMac(cfg.peerKey, ["client", nonce, host]);
 */
export function computeMac(key: string, parts: readonly string[]): string {
    return createHmac("sha256", key).update(JSON.stringify(parts)).digest("hex");
}
