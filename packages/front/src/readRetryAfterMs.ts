import { parseDecimal } from "@fulmarcleat/http";
import { readHeader } from "./readHeader.js";

/** Milliseconds in a second. */
const MS_PER_S = 1000;

/**
 * Reads after which time a refused request may be sent again.
 *
 * @param headers - Alternating header names and values of the answer
 * @returns the time in milliseconds; undefined if the answer states none in seconds
 *
 * @example
 * readRetryAfterMs(["Retry-After", "0.030"]); // 30
 */
export function readRetryAfterMs(headers: readonly string[]): number | undefined {
    const seconds = parseDecimal(readHeader(headers, "retry-after") ?? "");
    return seconds && Math.round(seconds * MS_PER_S);
}
