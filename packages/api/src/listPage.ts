import { ServeError } from "@fulmarcleat/errors";
import { listResources } from "@fulmarcleat/resources";
import type { ConfigSnapshot, Resource, ResourceKind } from "@fulmarcleat/resources";

/** One page of a list. */
export interface ResourcePage {
    readonly kind: "List";
    readonly metadata: {
        /** Version of the configuration that the page was read from; start a watch from that of the first page. */
        readonly resourceVersion: number;
        /** Value of the query parameter `continue` for the next page; not set on the last page. */
        readonly continue?: string;
        /** Number of resources after this page. */
        readonly remaining: number;
    };
    readonly items: readonly Resource[];
}

/** Number of resources in a page if the request gives no limit. */
const DEFAULT_LIMIT = 500;
/** Largest number of resources in a page. */
const MAX_LIMIT = 5000;

/**
 * Returns one page of the resources of a kind, sorted by name.
 *
 * @param snapshot - Configuration to list from
 * @param kind - Kind of the resources
 * @param query - Query parameters of the request: `limit` and `continue`
 * @returns the page, and where the next one starts
 * @throws ServeError `bad_request` if `limit` is not an integer from 1 to 5000
 *
 * @example
 * const page = listPage(snapshot, "Offer", new URLSearchParams("limit=10"));
 */
export function listPage(snapshot: ConfigSnapshot, kind: ResourceKind, query: URLSearchParams): ResourcePage {
    const limit = Number(query.get("limit") ?? DEFAULT_LIMIT);
    if (!Number.isInteger(limit) || limit < 1 || limit > MAX_LIMIT) {
        throw new ServeError(`limit must be an integer from 1 to ${MAX_LIMIT}`, {
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
