/**
 * Tells whether a version will do.
 *
 * @param held - The version that is there; undefined where it is not known
 * @param wanted - The oldest version that will do; undefined for any
 * @returns whether it will
 *
 * @example
 * isNewEnough(undefined, 2); // false
 */
export function isNewEnough(held: number | undefined, wanted: number | undefined): boolean {
    return wanted === undefined || (held !== undefined && held >= wanted);
}
