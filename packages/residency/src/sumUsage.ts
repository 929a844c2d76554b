import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState } from "./residencyState.js";

/** Requests in flight on an engine, summed over all hosts. */
export interface EngineUsage {
    readonly total: number;
    /** Prompt tokens of requests that have not received a first byte. */
    readonly queuedTokens: number;
    /** Tokens that the requests hold at most in the engine's memory. */
    readonly heldTokens: number;
    /** Requests in flight by adapter; only adapters in use. */
    readonly byAdapter: ReadonlyMap<AdapterName, number>;
}

/** Time for which a host's report on its requests is valid, in milliseconds; hosts send several a second. */
const USAGE_VALID_MS = 2500;

/**
 * Sums the requests in flight that hosts have reported for an engine.
 *
 * @param state - State of the engine that its owner maintains
 * @param atMs - Current time, in milliseconds
 * @returns the sums over the reports that are still valid
 *
 * @example
 * const running = sumUsage(state, clock.nowMs()).total;
 */
export function sumUsage(state: ResidencyState, atMs: number): EngineUsage {
    const byAdapter = new Map<AdapterName, number>();
    let total = 0;
    let queuedTokens = 0;
    let heldTokens = 0;
    for (const usage of state.usageByHost.values()) {
        if (atMs - usage.atMs > USAGE_VALID_MS) {
            continue;
        }
        total += usage.total;
        queuedTokens += usage.queuedTokens;
        heldTokens += usage.heldTokens ?? 0;
        for (const [adapter, count] of usage.inFlight) {
            if (count > 0) {
                byAdapter.set(adapter, (byAdapter.get(adapter) ?? 0) + count);
            }
        }
    }
    return { total, queuedTokens, heldTokens, byAdapter };
}
