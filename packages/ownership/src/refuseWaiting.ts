import type { ErrorCode } from "@fulmarcleat/errors";
import type { EngineEffect, EngineStep } from "./engineEffect.js";
import type { EngineState, WaitingRequest } from "./engineState.js";

/** Error code, message and retry delay of a refusal. */
export interface WaitingRefusal {
    readonly code: ErrorCode;
    readonly message: string;
    readonly retryAfterMs: number | undefined;
}

/**
 * Refuses requests that wait or have just arrived.
 *
 * @param state - Current state of the engine
 * @param refused - The requests to refuse
 * @param refusal - Error code, message and delay after which a retry may succeed
 * @returns the state without these requests, and one refusal for each
 *
 * @example
 * const step = refuseWaiting(state, state.waiting, { code: "no_owner", message, retryAfterMs: undefined });
 */
export function refuseWaiting(
    state: EngineState,
    refused: readonly WaitingRequest[],
    refusal: WaitingRefusal,
): EngineStep {
    const effects = refused.map((waiting): EngineEffect => ({ kind: "refuse", waiting, ...refusal }));
    return { state: { ...state, waiting: state.waiting.filter(waiting => !refused.includes(waiting)) }, effects };
}
