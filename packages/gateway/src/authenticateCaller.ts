import { ServeError } from "@fulmarcleat/errors";
import { brandId } from "@fulmarcleat/ids";
import type { CallerName } from "@fulmarcleat/ids";
import { hashSecret, matchSecret } from "@fulmarcleat/resources";
import type { OfferIndex } from "./buildOfferIndex.js";

const PREFIX = "bearer ";

/**
 * Tells which caller a request comes from.
 *
 * @param index - The configuration
 * @param authorization - The request's `Authorization` header
 * @returns the caller
 * @throws ServeError `unauthenticated`
 *
 * @example
 * const caller = authenticateCaller(index, req.headers.authorization);
 */
export function authenticateCaller(index: OfferIndex, authorization: string | undefined): CallerName {
    const key = authorization?.toLowerCase().startsWith(PREFIX) === true
        ? authorization.slice(PREFIX.length).trim()
        : undefined;
    const caller = key === undefined ? undefined : index.findCaller(hashSecret(key));
    if (key === undefined || caller === undefined || !matchSecret(key, caller.spec.keyHashes)) {
        throw new ServeError("a known bearer key is required", {
            code: "unauthenticated",
            step: "authenticate",
            peer: "caller",
            outcome: "not_run",
        });
    }
    return brandId<CallerName>(caller.metadata.name);
}
