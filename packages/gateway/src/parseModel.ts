import { ServeError } from "@fulmarcleat/errors";
import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, AdapterVersion } from "@fulmarcleat/ids";

/** What a caller's `model` names. */
export interface ModelName {
    readonly adapter: AdapterName;
    /** Undefined where the caller leaves the version to the operators' default. */
    readonly version: AdapterVersion | undefined;
}

const PATTERN = /^([a-z0-9][a-z0-9._-]{0,127})(?:@([a-z0-9][a-z0-9._-]{0,127}))?$/;

/**
 * Reads a caller's `model`.
 *
 * @param model - `adapter@version` or `adapter`
 * @returns adapter and version
 * @throws ServeError `bad_request`
 *
 * @example
 * parseModel("levy@7").version; // "7"
 */
export function parseModel(model: string): ModelName {
    const match = PATTERN.exec(model);
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
