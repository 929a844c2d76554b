import { ServeError } from "@fulmarcleat/errors";
import { listResources } from "@fulmarcleat/resources";
import type { ConfigSnapshot, Resource, ResourceKind } from "@fulmarcleat/resources";

/** One page of a list. */
export interface ResourcePage {
    readonly kind: "List";
    readonly metadata: {
        /** The configuration that the page was read from; a watch may start from the first page's. */
        readonly resourceVersion: number;
        /** Name to give as `continue` for the next page. */
        readonly continue?: string;
        readonly remaining: number;
    };
    readonly items: readonly Resource[];
}

const DEFAULT_LIMIT = 500;
const MAX_LIMIT = 5000;

/**
 * Lists resources of one kind by name, a page at a time.
 *
 * @param snapshot - The configuration
 * @param kind - Kind of the resources
 * @param query - `limit` and `continue` as the operator gave them
 * @returns the page
 * @throws ServeError `bad_request`
 *
 * @example
 * const page = listPage(snapshot, "Offer", new URLSearchParams("limit=10"));
 */
export function listPage(snapshot: ConfigSnapshot, kind: ResourceKind, query: URLSearchParams): ResourcePage {
    const limit = Number(query.get("limit") ?? DEFAULT_LIMIT);
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_LIMIT) {
        throw new ServeError(`limit: a whole number from 1 to ${MAX_LIMIT}`, {
            code: "bad_request",
            step: "list",
            peer: "operator",
            outcome: "not_run",
        });
    }
    const after = query.get("continue") ?? "";
    const rest = listResources<ResourceKind>(snapshot, kind).filter(resource => resource.metadata.name > after);
    const items = rest.slice(0, limit);
    const remaining = rest.length - items.length;
    const last = items.at(-1)?.metadata.name;
    return {
        kind: "List",
        metadata: {
            resourceVersion: snapshot.seq,
            ...(remaining > 0 && last !== undefined ? { continue: last } : {}),
            remaining,
        },
        items,
    };
}
