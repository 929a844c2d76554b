import { ServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { CallerName } from "@fulmarcleat/ids";
import type { OfferedVersion, OfferIndex } from "./buildOfferIndex.js";
import type { ModelName } from "./parseModel.js";

/**
 * Resolves a model name to an adapter version that is offered to the caller.
 *
 * @param index - Index with adapters and offers
 * @param caller - Caller that sent the request
 * @param model - Adapter and version; without a version, the offers' default applies
 * @returns the version to run
 * @throws ServeError `unknown_adapter` if the adapter or version doesn't exist, `not_offered` if it isn't offered
 *
 * @example
 * const offered = resolveModel(index, caller, parseModel("levy@7"));
 */
export function resolveModel(index: OfferIndex, caller: CallerName, model: ModelName): OfferedVersion {
    const adapter = index.findAdapter(model.adapter);
    if (adapter === undefined) {
        throw createError("unknown_adapter", `adapter ${model.adapter} does not exist`);
    }
    const offers = index.findOffers(caller, model.adapter);
    const version = model.version ?? offers.find(offer => offer.spec.defaultVersion !== undefined)?.spec.defaultVersion;
    if (offers.length > 0 && version === undefined) {
        throw createError(
            "unknown_adapter",
            `adapter ${model.adapter} has no default version; specify one as ${model.adapter}@VERSION`,
        );
    }
    const found = adapter.spec.versions.find(entry => entry.version === version);
    const offer = offers.find(entry => entry.spec.versions.some(offered => offered === version));
    if (offers.length > 0 && found === undefined) {
        throw createError("unknown_adapter", `adapter ${model.adapter} has no version ${version}`);
    }
    if (offer === undefined || found === undefined) {
        throw createError(
            "not_offered",
            `adapter ${model.adapter} is not offered to ${caller} in the requested version`,
        );
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
