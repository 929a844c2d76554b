import { PLACE_START_MS, REPORT_LAG_MS } from "./applyReport.js";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState } from "./engineState.js";

/**
 * Starts to own an engine under a new fence.
 *
 * @param state - The engine
 * @param message - The fence and how the earlier owner left
 * @param context - Time
 * @returns the next state
 *
 * @example
 * const next = acquireEngine(state, message, context);
 */
export function acquireEngine(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "acquired" }>,
    { nowMs }: EngineContext,
): EngineState {
    return {
        ...state,
        phase: "owned",
        fence: message.fence,
        lastLoad: 0,
        engineIncarnation: undefined,
        isFenceSeen: false,
        instances: [],
        places: [],
        strays: [],
        inheritance: {
            unansweredHosts: message.hosts,
            former: message.former,
            formerHost: message.formerHost,
            startedByMs: nowMs + PLACE_START_MS + REPORT_LAG_MS,
            safeAtMs: nowMs + state.limits.maxRequestMs + message.leaseMs,
        },
    };
}
