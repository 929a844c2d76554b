/**
 * Removes headers by their names.
 *
 * @param rawHeaders - Alternating header names and values
 * @param names - Names of the headers to remove, in lower case
 * @returns the other names and values in the same order
 *
 * @example
 * removeHeaders(["A", "1", "B", "2"], ["a"]); // ["B", "2"]
 */
export function removeHeaders(rawHeaders: readonly string[], names: readonly string[]): readonly string[] {
    return rawHeaders.filter((text, at) => !names.includes((rawHeaders[at - at % 2] ?? "").toLowerCase()));
}
