import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState } from "./engineState.js";

/**
 * Marks the places of a host that is gone; they are kept until the engine shows no run that could be theirs.
 *
 * @param state - The engine
 * @param message - The host and the incarnation that is gone
 * @param context - Time
 * @returns the next state
 *
 * @example
 * const next = orphanPlaces(state, { kind: "hostGone", host, incarnation }, context);
 */
export function orphanPlaces(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "hostGone" }>,
    { nowMs }: EngineContext,
): EngineState {
    const places = state.places.map(place =>
        place.host === message.host && place.incarnation === message.incarnation && place.orphanedMs === undefined
            ? { ...place, orphanedMs: nowMs }
            : place
    );
    const waiting = state.waiting.filter(entry =>
        entry.host !== message.host || entry.incarnation !== message.incarnation
    );
    return { ...state, places, waiting };
}
