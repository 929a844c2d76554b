import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState } from "./residencyState.js";

/** What all hosts together have under way on an engine. */
export interface EngineUses {
    readonly total: number;
    /** Prompt tokens of requests without a first byte so far. */
    readonly queuedTokens: number;
    /** Requests of each adapter that any run on. */
    readonly byAdapter: ReadonlyMap<AdapterName, number>;
}

/** How long a host's word on its requests counts, in milliseconds; hosts tell it several times a second. */
const USE_VALID_MS = 2500;

/**
 * Sums up what hosts have told of their requests on an engine.
 *
 * @param state - The owner's knowledge
 * @param atMs - Time now, in milliseconds
 * @returns the sums over the words that still count
 *
 * @example
 * const running = sumUses(state, clock.nowMs()).total;
 */
export function sumUses(state: ResidencyState, atMs: number): EngineUses {
    const byAdapter = new Map<AdapterName, number>();
    let total = 0;
    let queuedTokens = 0;
    for (const use of state.uses.values()) {
        if (atMs - use.atMs > USE_VALID_MS) {
            continue;
        }
        total += use.total;
        queuedTokens += use.queuedTokens;
        for (const [adapter, count] of use.inFlight) {
            if (count > 0) {
                byAdapter.set(adapter, (byAdapter.get(adapter) ?? 0) + count);
            }
        }
    }
    return { total, queuedTokens, byAdapter };
}
