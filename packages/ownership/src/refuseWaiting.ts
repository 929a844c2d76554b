import type { ErrorCode } from "@fulmarcleat/errors";
import type { EngineEffect, EngineStep } from "./engineEffect.js";
import type { EngineState, Waiting } from "./engineState.js";

/** Why requests are refused. */
export interface WaitingRefusal {
    readonly code: ErrorCode;
    readonly message: string;
    readonly retryAfterMs: number | undefined;
}

/**
 * Refuses requests that wait, or that just came in.
 *
 * @param state - The engine
 * @param refused - The requests
 * @param refusal - Code, words and when to come back
 * @returns the engine without them, and the refusals
 *
 * @example
 * const step = refuseWaiting(state, state.waiting, { code: "no_owner", message, retryAfterMs: undefined });
 */
export function refuseWaiting(state: EngineState, refused: readonly Waiting[], refusal: WaitingRefusal): EngineStep {
    const effects = refused.map((waiting): EngineEffect => ({ kind: "refuse", waiting, ...refusal }));
    return { state: { ...state, waiting: state.waiting.filter(waiting => !refused.includes(waiting)) }, effects };
}
