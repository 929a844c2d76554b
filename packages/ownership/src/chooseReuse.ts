import type { EngineState } from "./engineState.js";

/** Time for which a place may be reused after its request has ended, in milliseconds. */
const MAX_REUSE_MS = 250;
/** Share of the batch that may be in use while places are retained for reuse. */
const MAX_USED_SHARE = 0.5;

/**
 * Chooses how long a host may reuse a granted place for further requests for the same adapter.
 *
 * Reuse saves the exchange with the owner for each request for a hot adapter. A place retained for reuse occupies
 * a batch slot, so places are retained only while no request waits and half of the batch is free.
 *
 * @param state - Current state of the engine
 * @returns the time after the end of its request, in milliseconds; 0 if the place must not be reused
 *
 * @example
 * const reuseMs = chooseReuse(state);
 */
export function chooseReuse(state: Pick<EngineState, "waiting" | "places" | "limits">): number {
    const isHalfFree = state.places.length <= state.limits.batchSlots * MAX_USED_SHARE;
    return state.waiting.length === 0 && isHalfFree && !state.limits.draining ? MAX_REUSE_MS : 0;
}
