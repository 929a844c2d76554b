import { hashSecret } from "@fulmarcleat/resources";

/** Length of the hash, in hexadecimal digits. */
const HASH_LENGTH = 32;

/**
 * Hashes the content of a request for generated text; streamed and non-streamed requests hash alike.
 *
 * @param path - Path of the API endpoint
 * @param body - Parsed JSON body; the order of its top-level fields doesn't matter
 * @returns a hash that is equal for repeats of the same request
 *
 * @example
 * const requestHash = hashRequest("/v1/completions", body);
 */
export function hashRequest(path: string, body: unknown): string {
    const content = typeof body === "object" && body !== null
        ? Object.entries(body).filter(([name]) => name !== "stream" && name !== "stream_options")
        : body;
    const sorted = Array.isArray(content) ? [...content].sort(([a], [b]) => String(a) < String(b) ? -1 : 1) : content;
    return hashSecret(`${path}\n${JSON.stringify(sorted)}`).slice(0, HASH_LENGTH);
}
