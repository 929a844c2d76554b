import type { EngineStep } from "./engineEffect.js";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Instance, LoadBackoff } from "./engineState.js";
import { formatModel } from "./formatModel.js";
import { refuseWaiting } from "./refuseWaiting.js";
import { replaceInstance } from "./replaceInstance.js";

const BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;
const MAX_FAILURES = 3;

/**
 * Takes in an engine's answer to a load order; without an answer the engine's report decides.
 *
 * @param state - The engine
 * @param message - The answer
 * @param context - Time
 * @returns the next state and the refusals of requests that waited for a load that keeps failing
 *
 * @example
 * const step = answerLoad(state, { kind: "loadAnswered", instance, result }, context);
 */
export function answerLoad(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "loadAnswered" }>,
    { nowMs }: EngineContext,
): EngineStep {
    const instance = state.instances.find(entry => entry.instance === message.instance);
    if (instance === undefined || instance.status !== "loading") {
        return { state, effects: [] };
    }
    const { result } = message;
    if (result === undefined) {
        return { state: replaceInstance(state, { ...instance, status: "doubtful", sinceMs: nowMs }), effects: [] };
    }
    if (result.kind === "done") {
        const loaded = replaceInstance(state, { ...instance, status: "ready", sinceMs: nowMs });
        return { state: { ...loaded, backoffs: dropBackoff(state, instance) }, effects: [] };
    }
    const without = { ...state, instances: state.instances.filter(entry => entry !== instance) };
    return result.reason === "full"
        ? { state: backOff(without, instance, 0, nowMs + BACKOFF_MS), effects: [] }
        : failLoad(without, instance, result.message, nowMs);
}

function failLoad(state: EngineState, instance: Instance, reason: string, nowMs: number): EngineStep {
    const model = formatModel(instance);
    const failures = (state.backoffs.find(backoff => formatModel(backoff) === model)?.failures ?? 0) + 1;
    const untilMs = nowMs + Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** (failures - 1));
    const next = backOff(state, instance, failures, untilMs);
    if (failures < MAX_FAILURES) {
        return { state: next, effects: [] };
    }
    return refuseWaiting(next, next.waiting.filter(waiting => formatModel(waiting) === model), {
        code: "load_failed",
        message: `the adapter could not be loaded: ${reason}`,
        retryAfterMs: untilMs - nowMs,
    });
}

function backOff(state: EngineState, instance: Instance, failures: number, untilMs: number): EngineState {
    const { adapter, version } = instance;
    return { ...state, backoffs: [...dropBackoff(state, instance), { adapter, version, failures, untilMs }] };
}

function dropBackoff(state: EngineState, adapter: Pick<Instance, "adapter" | "version">): readonly LoadBackoff[] {
    const model = formatModel(adapter);
    return state.backoffs.filter(backoff => formatModel(backoff) !== model);
}
