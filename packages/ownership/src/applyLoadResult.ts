import type { EngineStep } from "./engineEffect.js";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Instance, LoadBackoff } from "./engineState.js";
import { formatModel } from "./formatModel.js";
import { refuseWaiting } from "./refuseWaiting.js";
import { replaceInstance } from "./replaceInstance.js";

/** Delay before an adapter is loaded again after its first failure, in milliseconds; doubles with each failure. */
const INITIAL_BACKOFF_MS = 500;
/** Longest delay before a failed load is repeated, in milliseconds. */
const MAX_BACKOFF_MS = 30_000;
/** Number of failed loads in a row after which the requests that wait for the adapter are refused. */
const FAILURES_BEFORE_REFUSAL = 3;

/**
 * Applies an engine's answer to a load order.
 *
 * A load without an answer becomes `doubtful`; the engine's next reports show whether it took effect.
 *
 * @param state - Current state of the engine
 * @param message - Instance that was ordered and the engine's answer, undefined if none arrived
 * @param context - Time at which the message is handled
 * @returns the next state, and refusals for the requests that wait for an adapter that repeatedly fails to load
 *
 * @example
 * const step = applyLoadResult(state, { kind: "loadAnswered", instance, result }, context);
 */
export function applyLoadResult(
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
        return { state: { ...loaded, backoffs: listOtherBackoffs(state, instance) }, effects: [] };
    }
    const without = { ...state, instances: state.instances.filter(entry => entry !== instance) };
    return result.reason === "full"
        ? { state: setBackoff(without, instance, 0, nowMs + INITIAL_BACKOFF_MS), effects: [] }
        : recordLoadFailure(without, instance, result.message, nowMs);
}

function recordLoadFailure(state: EngineState, instance: Instance, reason: string, nowMs: number): EngineStep {
    const model = formatModel(instance);
    const failures = (state.backoffs.find(backoff => formatModel(backoff) === model)?.failures ?? 0) + 1;
    const untilMs = nowMs + Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failures - 1));
    const next = setBackoff(state, instance, failures, untilMs);
    if (failures < FAILURES_BEFORE_REFUSAL) {
        return { state: next, effects: [] };
    }
    return refuseWaiting(next, next.waiting.filter(waiting => formatModel(waiting) === model), {
        code: "load_failed",
        message: `the adapter could not be loaded: ${reason}`,
        retryAfterMs: untilMs - nowMs,
    });
}

function setBackoff(state: EngineState, instance: Instance, failures: number, untilMs: number): EngineState {
    const { adapter, version } = instance;
    return { ...state, backoffs: [...listOtherBackoffs(state, instance), { adapter, version, failures, untilMs }] };
}

function listOtherBackoffs(state: EngineState, adapter: Pick<Instance, "adapter" | "version">): readonly LoadBackoff[] {
    const model = formatModel(adapter);
    return state.backoffs.filter(backoff => formatModel(backoff) !== model);
}
