import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState } from "./engineState.js";
import { replaceInstance } from "./replaceInstance.js";

/** Delay before an unload order without an answer is sent again, in milliseconds. */
const UNLOAD_RETRY_MS = 1000;

/**
 * Applies an engine's answer to an unload order; an order without an answer is repeated.
 *
 * An instance whose unload order may still take effect never serves a request again.
 *
 * @param state - Current state of the engine
 * @param message - Instance that was ordered and the engine's answer, undefined if none arrived
 * @param context - Time at which the message is handled
 * @returns the next state
 *
 * @example
 * const next = applyUnloadResult(state, { kind: "unloadAnswered", instance, result }, context);
 */
export function applyUnloadResult(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "unloadAnswered" }>,
    { nowMs }: EngineContext,
): EngineState {
    const instance = state.instances.find(entry => entry.instance === message.instance);
    if (instance === undefined || instance.status !== "unloading") {
        return state;
    }
    if (message.result === undefined) {
        return replaceInstance(state, { ...instance, wasUnanswered: true, retryAtMs: nowMs + UNLOAD_RETRY_MS });
    }
    const isUnloaded = message.result.kind === "done" || message.result.reason === "not_found";
    if (isUnloaded) {
        return { ...state, instances: state.instances.filter(entry => entry !== instance) };
    }
    return instance.wasUnanswered === true
        ? replaceInstance(state, { ...instance, retryAtMs: nowMs + UNLOAD_RETRY_MS })
        : replaceInstance(state, { ...instance, status: "ready" });
}
