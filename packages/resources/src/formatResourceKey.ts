import type { ResourceRef } from "./schemas.js";

/**
 * Gives the key under which a snapshot holds a resource.
 *
 * @param ref - Kind and name
 * @returns the key
 *
 * @example
 * formatResourceKey({ kind: "Offer", name: "levy" }); // "Offer/levy"
 */
export function formatResourceKey(ref: ResourceRef): string {
    return `${ref.kind}/${ref.name}`;
}
