/**
 * Tells whether an adapter's version satisfies a request.
 *
 * @param held - Version on the engine; undefined if unknown
 * @param minVersion - Minimum version that the request accepts; undefined for any
 * @returns true if `held` is known and at least `minVersion`, or if any version is accepted
 *
 * @example
 * isNewEnough(undefined, 2); // false
 */
export function isNewEnough(held: number | undefined, minVersion: number | undefined): boolean {
    return minVersion === undefined || (held !== undefined && held >= minVersion);
}
