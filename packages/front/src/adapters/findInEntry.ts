import type { EngineEntry } from "@fulmarcleat/directory";
import type { AdapterPresence } from "@fulmarcleat/dispatch";
import { isNewEnough } from "@fulmarcleat/residency";
import type { RequestedAdapter } from "../startAdapterTracker.js";

/** Expected wait until an engine that has started again has loaded its model, in milliseconds. */
const MODEL_WAIT_MS = 1000;

/**
 * Finds an adapter in what an engine has reported of itself, while its owner's report is not known.
 *
 * @param entry - The engine's entry in the store
 * @param requestedAdapter - Adapter with the oldest acceptable version
 * @param absent - Whether loads can be requested, and the wait for an adapter slot
 * @returns whether the engine holds the adapter
 *
 * @example
 * findInEntry(entry, requestedAdapter, { canLoad: true, placeWaitMs: 0 }).kind;
 */
export function findInEntry(
    entry: EngineEntry,
    requestedAdapter: RequestedAdapter,
    absent: { readonly placeWaitMs: number; readonly canLoad: boolean },
): AdapterPresence {
    const model = entry.models.find(({ model: name }) => name === requestedAdapter.model);
    const held = model?.adapters.find(adapter => adapter.adapter === requestedAdapter.adapter);
    const modelWaitMs = model === undefined ? MODEL_WAIT_MS : 0;
    return held !== undefined && isNewEnough(held.version, requestedAdapter.version)
        ? { kind: "present" }
        : { kind: "absent", ...absent, placeWaitMs: absent.placeWaitMs + modelWaitMs };
}
