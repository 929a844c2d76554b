import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState } from "./engineState.js";
import { replaceInstance } from "./replaceInstance.js";

const REPEAT_UNLOAD_MS = 1000;

/**
 * Takes in an engine's answer to an unload order; an order without an answer is repeated.
 *
 * An instance whose unload may still take effect is never used again.
 *
 * @param state - The engine
 * @param message - The answer
 * @param context - Time
 * @returns the next state
 *
 * @example
 * const next = answerUnload(state, { kind: "unloadAnswered", instance, result }, context);
 */
export function answerUnload(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "unloadAnswered" }>,
    { nowMs }: EngineContext,
): EngineState {
    const instance = state.instances.find(entry => entry.instance === message.instance);
    if (instance === undefined || instance.status !== "unloading") {
        return state;
    }
    if (message.result === undefined) {
        return replaceInstance(state, { ...instance, wasUnanswered: true, retryAtMs: nowMs + REPEAT_UNLOAD_MS });
    }
    const isGone = message.result.kind === "done" || message.result.reason === "not_found";
    if (isGone) {
        return { ...state, instances: state.instances.filter(entry => entry !== instance) };
    }
    return instance.wasUnanswered === true
        ? replaceInstance(state, { ...instance, retryAtMs: nowMs + REPEAT_UNLOAD_MS })
        : replaceInstance(state, { ...instance, status: "ready" });
}
