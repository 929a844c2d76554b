import { ServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { CallerName } from "@fulmarcleat/ids";
import type { OfferedVersion, OfferIndex } from "./buildOfferIndex.js";
import type { ModelName } from "./parseModel.js";

/**
 * Finds the exact adapter version that a caller asked for among what it is offered.
 *
 * @param index - The configuration
 * @param caller - Who asks
 * @param model - Adapter and, unless the default is wanted, version
 * @returns the version to run
 * @throws ServeError `unknown_adapter` or `not_offered`
 *
 * @example
 * const offered = resolveModel(index, caller, parseModel("levy@7"));
 */
export function resolveModel(index: OfferIndex, caller: CallerName, model: ModelName): OfferedVersion {
    const adapter = index.findAdapter(model.adapter);
    if (adapter === undefined) {
        throw createError("unknown_adapter", `there is no adapter ${model.adapter}`);
    }
    const offers = index.findOffers(caller, model.adapter);
    const version = model.version ?? offers.find(offer => offer.spec.defaultVersion !== undefined)?.spec.defaultVersion;
    if (offers.length > 0 && version === undefined) {
        throw createError(
            "unknown_adapter",
            `adapter ${model.adapter} has no default version; name one as ${model.adapter}@VERSION`,
        );
    }
    const found = adapter.spec.versions.find(entry => entry.version === version);
    const offer = offers.find(entry => entry.spec.versions.some(offered => offered === version));
    if (offers.length > 0 && found === undefined) {
        throw createError("unknown_adapter", `adapter ${model.adapter} has no version ${version}`);
    }
    if (offer === undefined || found === undefined) {
        throw createError("not_offered", `adapter ${model.adapter} is not offered in this version to ${caller}`);
    }
    return {
        adapter: model.adapter,
        version: found.version,
        weights: found.weights,
        baseModel: adapter.spec.baseModel,
        priority: offer.spec.priority,
    };
}

function createError(code: ErrorCode, message: string): ServeError {
    return new ServeError(message, { code, step: "resolve model", peer: "configuration", outcome: "not_run" });
}
