import { rankWaiting } from "@fulmarcleat/admission";
import type { EngineState, Waiting } from "./engineState.js";
import { formatModel } from "./formatModel.js";
import { listUnloaded } from "./listUnloaded.js";

/**
 * Counts the adapters that load on this engine before a request's own.
 *
 * @param state - The engine, without the request
 * @param waiting - The request
 * @param nowMs - The present, in milliseconds
 * @returns how many wait at least as urgently; 0 where its adapter is on its way
 *
 * @example
 * const loadsAhead = countLoadsAhead(state, waiting, nowMs);
 */
export function countLoadsAhead(state: EngineState, waiting: Waiting, nowMs: number): number {
    const model = formatModel(waiting);
    if (state.instances.some(instance => instance.status === "loading" && formatModel(instance) === model)) {
        return 0;
    }
    const rank = rankWaiting(waiting, { nowMs, agingMs: state.limits.agingMs });
    return listUnloaded(state, nowMs).filter(entry => entry.rank <= rank && formatModel(entry.first) !== model).length;
}
