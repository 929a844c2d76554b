import type { AdapterName } from "@fulmarcleat/ids";
import { isNewEnough } from "./isNewEnough.js";
import type { LoadRequest, ResidencyState } from "./residencyState.js";

/**
 * Tells whether an engine already holds, is loading or is unloading the adapter of a load request.
 *
 * @param state - State of the engine that its owner maintains
 * @param adapter - Name of the adapter
 * @param loadRequest - Pending load request with the minimum version
 * @returns true if no load has to be ordered now
 *
 * @example
 * if (!isLoading(state, adapter, loadRequest)) { ... }
 */
export function isLoading(state: ResidencyState, adapter: AdapterName, loadRequest: LoadRequest): boolean {
    const resident = state.residents.get(adapter);
    return resident !== undefined
        && (resident.phase.kind === "leaving" || isNewEnough(resident.version, loadRequest.version));
}
