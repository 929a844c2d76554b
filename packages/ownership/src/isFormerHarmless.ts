import type { EngineState } from "./engineState.js";

/**
 * Tells whether no order of an earlier owner can take effect on the engine any more.
 *
 * An owner that released the engine had an answer to each of its orders. Any other may have orders
 * under way, which only an engine that checks fences and has seen the present one refuses.
 *
 * @param state - The engine
 * @returns whether instances of earlier owners may be used
 *
 * @example
 * const next = isFormerHarmless(state) ? adoptInstances(state, nowMs) : state;
 */
export function isFormerHarmless(state: EngineState): boolean {
    const former = state.inheritance?.former ?? "none";
    return former === "released" || (state.limits.fencing === "checked" && state.isFenceSeen);
}
