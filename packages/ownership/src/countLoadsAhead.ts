import { rankWaiting } from "@fulmarcleat/admission";
import type { EngineState, WaitingRequest } from "./engineState.js";
import { formatModel } from "./formatModel.js";
import { listUnloaded } from "./listUnloaded.js";

/**
 * Counts the adapter versions that this engine loads before the one that a request needs.
 *
 * @param state - Current state of the engine, without the request
 * @param waiting - The request to be admitted
 * @param nowMs - Current time, in milliseconds
 * @returns the number of versions needed at least as urgently; 0 if the requested one is already being loaded
 *
 * @example
 * const loadsAhead = countLoadsAhead(state, waiting, nowMs);
 */
export function countLoadsAhead(state: EngineState, waiting: WaitingRequest, nowMs: number): number {
    const model = formatModel(waiting);
    if (state.instances.some(instance => instance.status === "loading" && formatModel(instance) === model)) {
        return 0;
    }
    const rank = rankWaiting(waiting, { nowMs, agingMs: state.limits.agingMs });
    return listUnloaded(state, nowMs).filter(entry => entry.rank <= rank && formatModel(entry.first) !== model).length;
}
