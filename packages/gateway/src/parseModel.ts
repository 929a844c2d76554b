import { ServeError } from "@fulmarcleat/errors";
import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, AdapterVersion } from "@fulmarcleat/ids";

/** Adapter and version named by a request's `model` field. */
export interface ModelName {
    readonly adapter: AdapterName;
    /** Undefined if the request leaves the version to the offer's default. */
    readonly version: AdapterVersion | undefined;
}

/** Adapter name, optionally followed by `@` and a version. */
const MODEL_PATTERN = /^([a-z0-9][a-z0-9._-]{0,127})(?:@([a-z0-9][a-z0-9._-]{0,127}))?$/;

/**
 * Parses the `model` field of a request.
 *
 * @param model - Text of the form `adapter@version` or `adapter`
 * @returns the adapter and, if named, the version
 * @throws ServeError `bad_request` if the text has another form
 *
 * @example
 * parseModel("levy@7").version; // "7"
 */
export function parseModel(model: string): ModelName {
    const match = MODEL_PATTERN.exec(model);
    if (match === null) {
        throw new ServeError("model must be adapter@version or adapter", {
            code: "bad_request",
            step: "read model",
            peer: "caller",
            outcome: "not_run",
        });
    }
    const version = match[2];
    return {
        adapter: brandId<AdapterName>(match[1] ?? ""),
        version: version === undefined ? undefined : brandId<AdapterVersion>(version),
    };
}
