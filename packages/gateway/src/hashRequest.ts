import { hashSecret } from "@fulmarcleat/resources";

const HASH_LENGTH = 32;

/**
 * Hashes what a request for generated text asks, whether streamed or whole.
 *
 * @param path - Path of the interface
 * @param body - The parsed JSON body
 * @returns a hash that tells a repeat from another request
 *
 * @example
 * const requestHash = hashRequest("/v1/completions", body);
 */
export function hashRequest(path: string, body: unknown): string {
    const asked = typeof body === "object" && body !== null
        ? Object.entries(body).filter(([name]) => name !== "stream" && name !== "stream_options")
        : body;
    const sorted = Array.isArray(asked) ? [...asked].sort(([a], [b]) => String(a) < String(b) ? -1 : 1) : asked;
    return hashSecret(`${path}\n${JSON.stringify(sorted)}`).slice(0, HASH_LENGTH);
}
