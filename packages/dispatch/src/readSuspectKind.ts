import type { Suspect } from "@fulmarcleat/ids";

/** Kind of what may be found to crash engines. */
export type SuspectKind = "part" | "request";

/** Prefix that tells digests of requests from ids of prompt parts, which are hexadecimal. */
export const DIGEST_PREFIX = "request:";

/**
 * Reads whether a suspect is a part of prompts or a request as a whole.
 *
 * @param suspect - Id of a prompt part or digest of a request
 * @returns its kind
 *
 * @example
 * readSuspectKind(brandId<RequestDigest>("request:5f0c")); // "request"
 */
export function readSuspectKind(suspect: Suspect): SuspectKind {
    return suspect.startsWith(DIGEST_PREFIX) ? "request" : "part";
}
