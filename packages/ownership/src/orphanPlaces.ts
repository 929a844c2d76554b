import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState } from "./engineState.js";

/**
 * Marks the places of a failed host as orphaned and drops its waiting requests.
 *
 * Orphaned places stay allocated until the engine reports no run that could use them.
 *
 * @param state - Current state of the engine
 * @param message - The host and its incarnation that failed
 * @param context - Time at which the message is handled
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
