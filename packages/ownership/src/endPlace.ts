import { decayRate } from "@fulmarcleat/placement";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Instance, Place } from "./engineState.js";

/**
 * Ends the use of a place and frees its batch slot.
 *
 * A failed request may still run on the engine, so its instance stays pinned until a report shows otherwise.
 *
 * @param state - Current state of the engine
 * @param message - The place, how its use ended and the number of requests that it served
 * @param context - Time at which the message is handled
 * @returns the next state
 *
 * @example
 * const next = endPlace(state, { kind: "placeEnd", place, use: "finished" }, context);
 */
export function endPlace(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "placeEnd" }>,
    { nowMs }: EngineContext,
): EngineState {
    const place = state.places.find(entry => entry.place === message.place);
    if (place === undefined) {
        return { ...state, waiting: state.waiting.filter(waiting => waiting.place !== message.place) };
    }
    const freed = { ...state, places: state.places.filter(entry => entry !== place) };
    switch (message.use) {
        case "finished":
            return {
                ...freed,
                instances: state.instances.map(instance =>
                    countReusedRuns(countEndedRun(instance, place), place, message.runs ?? 1, nowMs)
                ),
            };
        case "unused":
            return freed;
        case "failed":
            return { ...freed, untrackedRuns: [...state.untrackedRuns, { instance: place.instance, sinceMs: nowMs }] };
        case "not_loaded":
            return { ...freed, instances: state.instances.filter(instance => !isFoundMissing(instance, place)) };
    }
}

/** A place that ended accounts for a run in the last report only if it was granted before the report was requested. */
function countEndedRun(instance: Instance, place: Place): Instance {
    const wasReported = place.grantedMs <= (instance.reportedMs ?? place.grantedMs);
    return instance.instance === place.instance && wasReported
        ? { ...instance, endedSinceReport: instance.endedSinceReport + 1 }
        : instance;
}

/** Requests after the first reused the place without a place request, so they are counted when it ends. */
function countReusedRuns(instance: Instance, place: Place, runs: number, nowMs: number): Instance {
    return instance.instance === place.instance && runs > 1
        ? { ...instance, rate: decayRate(instance.rate, runs - 1, nowMs), lastUsedMs: nowMs }
        : instance;
}

function isFoundMissing(instance: Instance, place: Place): boolean {
    return instance.instance === place.instance && (instance.status === "ready" || instance.status === "foreign");
}
