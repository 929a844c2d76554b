import { decayRate } from "@fulmarcleat/placement";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Instance, Place } from "./engineState.js";

/**
 * Takes a place back.
 *
 * A request that failed may still run on the engine, so it holds its instance until a report shows otherwise.
 *
 * @param state - The engine
 * @param message - The place and how its use ended
 * @param context - Time
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
                    countRuns(countEnded(instance, place), place, message.runs ?? 1, nowMs)
                ),
            };
        case "unused":
            return freed;
        case "failed":
            return { ...freed, strays: [...state.strays, { instance: place.instance, sinceMs: nowMs }] };
        case "not_loaded":
            return { ...freed, instances: state.instances.filter(instance => !isMissing(instance, place)) };
    }
}

/** An end explains a run in the last report only where the place was there when the report was asked for. */
function countEnded(instance: Instance, place: Place): Instance {
    const wasReported = place.grantedMs <= (instance.reportedMs ?? place.grantedMs);
    return instance.instance === place.instance && wasReported
        ? { ...instance, endedSinceReport: instance.endedSinceReport + 1 }
        : instance;
}

/** Requests beyond the first ran on a kept place without an ask, so they count with its end. */
function countRuns(instance: Instance, place: Place, runs: number, nowMs: number): Instance {
    return instance.instance === place.instance && runs > 1
        ? { ...instance, rate: decayRate(instance.rate, runs - 1, nowMs), lastUsedMs: nowMs }
        : instance;
}

function isMissing(instance: Instance, place: Place): boolean {
    return instance.instance === place.instance && (instance.status === "ready" || instance.status === "foreign");
}
