import { PLACE_START_TIMEOUT_MS, REPORT_LAG_MS } from "./applyReport.js";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState } from "./engineState.js";

/**
 * Takes ownership of an engine under a new fence and starts the takeover from the earlier owner.
 *
 * @param state - Current state of the engine
 * @param message - New fence, state of the earlier owner and the hosts that may hold places
 * @param context - Time at which the message is handled
 * @returns the owned engine, without instances and places until the engine and the hosts report them
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
        isFenceConfirmed: false,
        instances: [],
        places: [],
        untrackedRuns: [],
        takeover: {
            unansweredHosts: message.hosts,
            former: message.former,
            formerHost: message.formerHost,
            startedByMs: nowMs + PLACE_START_TIMEOUT_MS + REPORT_LAG_MS,
            endedByMs: nowMs + state.limits.maxRequestMs + message.leaseMs,
        },
    };
}
