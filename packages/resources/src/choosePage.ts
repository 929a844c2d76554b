/** Number of pages that a deployment's resources are distributed over. */
export const PAGE_COUNT = 256;

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Chooses the page of a resource by the FNV-1a hash of its name.
 *
 * @param name - Name of the resource
 * @returns a number from 0 to `PAGE_COUNT - 1`
 *
 * @example
 * const page = choosePage("levy");
 */
export function choosePage(name: string): number {
    let hash = FNV_OFFSET;
    for (let at = 0; at < name.length; at += 1) {
        hash = Math.imul(hash ^ name.charCodeAt(at), FNV_PRIME);
    }
    return ((hash >>> 0) ^ (hash >>> 16)) & (PAGE_COUNT - 1);
}
