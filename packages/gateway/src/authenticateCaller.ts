import { ServeError } from "@fulmarcleat/errors";
import { brandId } from "@fulmarcleat/ids";
import type { CallerName } from "@fulmarcleat/ids";
import { hashSecret, matchSecret } from "@fulmarcleat/resources";
import type { OfferIndex } from "./buildOfferIndex.js";

const BEARER_PREFIX = "bearer ";

/**
 * Identifies the caller of a request by its bearer key.
 *
 * @param index - Index with the callers' key hashes
 * @param authorization - Value of the request's `Authorization` header, if any
 * @returns the name of the caller
 * @throws ServeError `unauthenticated` if the header is missing or its key is unknown
 *
 * @example
 * const caller = authenticateCaller(index, req.headers.authorization);
 */
export function authenticateCaller(index: OfferIndex, authorization: string | undefined): CallerName {
    const key = authorization?.toLowerCase().startsWith(BEARER_PREFIX) === true
        ? authorization.slice(BEARER_PREFIX.length).trim()
        : undefined;
    const caller = key === undefined ? undefined : index.findCaller(hashSecret(key));
    if (key === undefined || caller === undefined || !matchSecret(key, caller.spec.keyHashes)) {
        throw new ServeError("the Authorization header must hold a valid bearer key", {
            code: "unauthenticated",
            step: "authenticate",
            peer: "caller",
            outcome: "not_run",
        });
    }
    return brandId<CallerName>(caller.metadata.name);
}
