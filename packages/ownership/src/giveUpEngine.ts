import type { EngineStep } from "./engineEffect.js";
import type { EngineState } from "./engineState.js";
import { refuseWaiting } from "./refuseWaiting.js";

/**
 * Stops granting places on an engine and refuses the requests that wait.
 *
 * If another host owns the engine, its state is discarded at once; otherwise it is retained until every order is
 * answered.
 *
 * @param state - Current state of the engine
 * @param phase - `unowned` if another host owns the engine, `releasing` if this host releases it
 * @param reason - Message of the refusals
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
        ? { state: { ...next, phase, instances: [], places: [], untrackedRuns: [] }, effects }
        : { state: { ...next, phase }, effects };
}
