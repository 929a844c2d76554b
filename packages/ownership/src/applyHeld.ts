import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Place } from "./engineState.js";

/**
 * Takes in a host's word on the places that it holds.
 *
 * A place is free once its holder, in the same incarnation, neither holds it nor still waits for it.
 * A place of an earlier incarnation is kept until the engine shows no run that could be its.
 *
 * @param state - The engine
 * @param message - The host's word
 * @param context - Time
 * @returns the next state
 *
 * @example
 * const next = applyHeld(state, message, context);
 */
export function applyHeld(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "held" }>,
    { nowMs }: EngineContext,
): EngineState {
    if (state.phase !== "owned" || message.fence !== state.fence) {
        return state;
    }
    const kept = state.places.flatMap(place => keepPlace(place, message, nowMs));
    const added = message.places.filter(held => !kept.some(place => place.place === held.place)).map((held): Place => ({
        place: held.place,
        instance: held.instance,
        host: message.host,
        incarnation: message.incarnation,
        grantedMs: message.askedMs,
        orphanedMs: undefined,
    }));
    const inheritance = state.inheritance === undefined ? undefined : {
        ...state.inheritance,
        unansweredHosts: state.inheritance.unansweredHosts.filter(host => host !== message.host),
    };
    return { ...state, places: [...kept, ...added], inheritance };
}

function keepPlace(place: Place, message: Extract<EngineMessage, { kind: "held" }>, nowMs: number): readonly Place[] {
    if (place.host !== message.host || place.grantedMs >= message.askedMs) {
        return [place];
    }
    if (place.incarnation !== message.incarnation) {
        return [{ ...place, orphanedMs: place.orphanedMs ?? nowMs }];
    }
    const isHeld = message.places.some(held => held.place === place.place);
    return isHeld || message.pending.includes(place.place) ? [place] : [];
}
