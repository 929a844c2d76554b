import type { EngineState } from "./engineState.js";

/**
 * Tells whether no order of an earlier owner can still take effect on the engine.
 *
 * An owner releases an engine only after each of its orders was answered. Any other owner may have orders
 * in flight, which are refused only by an engine that checks fences and has received the current one.
 *
 * @param state - Current state of the engine
 * @returns whether instances of earlier owners may be used
 *
 * @example
 * const next = isFormerOwnerFenced(state) ? adoptInstances(state, nowMs) : state;
 */
export function isFormerOwnerFenced(state: EngineState): boolean {
    const former = state.takeover?.former ?? "none";
    return former === "released" || (state.limits.fencing === "checked" && state.isFenceConfirmed);
}
