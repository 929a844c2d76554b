/**
 * Reads the first value of a header.
 *
 * @param rawHeaders - Alternating header names and values
 * @param name - Name of the header in lower case
 * @returns the value; undefined without such a header
 *
 * @example
 * readHeader(["Retry-After", "1"], "retry-after"); // "1"
 */
export function readHeader(rawHeaders: readonly string[], name: string): string | undefined {
    const at = rawHeaders.findIndex((text, index) => index % 2 === 0 && text.toLowerCase() === name);
    return at < 0 ? undefined : rawHeaders[at + 1];
}
