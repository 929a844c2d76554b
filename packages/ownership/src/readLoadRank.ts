import type { EngineState } from "./engineState.js";
import { listUnloaded } from "./listUnloaded.js";

/**
 * Tells how urgently an engine wants a load.
 *
 * @param state - The engine
 * @param nowMs - The present, in milliseconds
 * @returns the aged class of the most urgent request that waits for one, or undefined where none does
 *
 * @example
 * const rank = readLoadRank(state, nowMs);
 */
export function readLoadRank(state: EngineState, nowMs: number): number | undefined {
    const unloaded = listUnloaded(state, nowMs);
    return unloaded.length === 0 ? undefined : Math.min(...unloaded.map(model => model.rank));
}
