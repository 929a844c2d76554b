import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Place } from "./engineState.js";

/**
 * Applies a host's report of the places that it holds.
 *
 * A place is freed once its holder, in the same incarnation, neither holds it nor still waits for it.
 * A place of an earlier incarnation stays allocated until the engine reports no run that could belong to it.
 *
 * @param state - Current state of the engine
 * @param message - The host's held and pending places, and when its report was requested
 * @param context - Time at which the message is handled
 * @returns the next state
 *
 * @example
 * const next = applyHeldPlaces(state, message, context);
 */
export function applyHeldPlaces(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "held" }>,
    { nowMs }: EngineContext,
): EngineState {
    if (state.phase !== "owned" || message.fence !== state.fence) {
        return state;
    }
    const kept = state.places.flatMap(place => reconcilePlace(place, message, nowMs));
    const added = message.places.filter(held => !kept.some(place => place.place === held.place)).map((held): Place => ({
        place: held.place,
        instance: held.instance,
        host: message.host,
        incarnation: message.incarnation,
        grantedMs: message.askedMs,
        orphanedMs: undefined,
    }));
    const updatedTakeover = state.takeover === undefined ? undefined : {
        ...state.takeover,
        unansweredHosts: state.takeover.unansweredHosts.filter(host => host !== message.host),
    };
    return { ...state, places: [...kept, ...added], takeover: updatedTakeover };
}

function reconcilePlace(
    place: Place,
    message: Extract<EngineMessage, { kind: "held" }>,
    nowMs: number,
): readonly Place[] {
    if (place.host !== message.host || place.grantedMs >= message.askedMs) {
        return [place];
    }
    if (place.incarnation !== message.incarnation) {
        return [{ ...place, orphanedMs: place.orphanedMs ?? nowMs }];
    }
    const isHeld = message.places.some(held => held.place === place.place);
    return isHeld || message.pending.includes(place.place) ? [place] : [];
}
