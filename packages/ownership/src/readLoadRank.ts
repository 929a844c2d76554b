import type { EngineState } from "./engineState.js";
import { listUnloaded } from "./listUnloaded.js";

/**
 * Computes how urgently an engine needs a load.
 *
 * @param state - Current state of the engine
 * @param nowMs - Current time, in milliseconds
 * @returns the aged rank of the most urgent request that waits for a load, or undefined if none waits
 *
 * @example
 * const rank = readLoadRank(state, nowMs);
 */
export function readLoadRank(state: EngineState, nowMs: number): number | undefined {
    const unloaded = listUnloaded(state, nowMs);
    return unloaded.length === 0 ? undefined : Math.min(...unloaded.map(model => model.rank));
}
