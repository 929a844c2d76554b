import type { ResourceRef } from "./schemas.js";

/**
 * Formats a unique key of a resource.
 *
 * @param ref - Kind and name of the resource
 * @returns kind and name, separated by a slash
 *
 * @example
 * formatResourceKey({ kind: "Offer", name: "levy" }); // "Offer/levy"
 */
export function formatResourceKey(ref: ResourceRef): string {
    return `${ref.kind}/${ref.name}`;
}
