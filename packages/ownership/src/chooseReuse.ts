import type { EngineState } from "./engineState.js";

/** How long a place may be kept after its request, in milliseconds. */
const REUSE_MS = 250;
/** Part of the batch that must be free for places to be kept. */
const FREE_SHARE = 0.5;

/**
 * Tells how long a granted place may be kept for further requests of the same kind.
 *
 * A hot adapter then costs no exchange between processes for each request. A kept place takes up a
 * slot, so places are kept only while nobody waits and half of the batch is free.
 *
 * @param state - The engine
 * @returns milliseconds after the end of its request; 0 for not at all
 *
 * @example
 * const reuseMs = chooseReuse(state);
 */
export function chooseReuse(state: Pick<EngineState, "waiting" | "places" | "limits">): number {
    const isFree = state.places.length <= state.limits.batchSlots * FREE_SHARE;
    return state.waiting.length === 0 && isFree && !state.limits.draining ? REUSE_MS : 0;
}
