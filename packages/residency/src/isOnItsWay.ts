import type { AdapterName } from "@fulmarcleat/ids";
import { isNewEnough } from "./isNewEnough.js";
import type { ResidencyState, Want } from "./residencyState.js";

/**
 * Tells whether what a request waits for is there already or has been ordered.
 *
 * @param state - The owner's knowledge
 * @param adapter - The adapter
 * @param want - What is wanted of it
 * @returns whether it is
 *
 * @example
 * if (!isOnItsWay(state, adapter, want)) { ... }
 */
export function isOnItsWay(state: ResidencyState, adapter: AdapterName, want: Want): boolean {
    const resident = state.residents.get(adapter);
    return resident !== undefined
        && (resident.phase.kind === "leaving" || isNewEnough(resident.version, want.version));
}
