import type { EngineStep } from "./engineEffect.js";
import type { EngineState } from "./engineState.js";
import { refuseWaiting } from "./refuseWaiting.js";

/**
 * Stops granting and ordering: at once where another host owns the engine, else after the last answer.
 *
 * @param state - The engine
 * @param phase - `unowned` where another host owns it, `releasing` where this one gives it up
 * @param reason - Said to the requests that wait
 * @returns the next state and the refusals
 *
 * @example
 * const step = giveUpEngine(state, "releasing", "the engine's owner is stopping");
 */
export function giveUpEngine(state: EngineState, phase: "unowned" | "releasing", reason: string): EngineStep {
    const { state: next, effects } = refuseWaiting(state, state.waiting, {
        code: "no_owner",
        message: reason,
        retryAfterMs: undefined,
    });
    if (state.phase === "unowned") {
        return { state: next, effects };
    }
    return phase === "unowned"
        ? { state: { ...next, phase, instances: [], places: [], strays: [] }, effects }
        : { state: { ...next, phase }, effects };
}
