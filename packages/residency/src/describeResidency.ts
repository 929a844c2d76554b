import type { OwnerReport, ReportedAdapter } from "@fulmarcleat/wire";
import { estimatePlaceWait } from "./estimatePlaceWait.js";
import { isStalled } from "./isStalled.js";
import { reducePromptRate } from "./reducePromptRate.js";
import { DEFAULT_LOAD_MS } from "./residencyState.js";
import type { ResidencyState } from "./residencyState.js";
import { sumUsage } from "./sumUsage.js";

/** Expected time until an engine has loaded its model, in milliseconds. */
const MODEL_WAIT_MS = 3000;
/** Expected time until an order is answered that has been sent again without a reply, in milliseconds. */
const UNANSWERED_WAIT_MS = 200;
/** Expected time until an owner may order that has to read its engine's report first, in milliseconds. */
const REPORT_WAIT_MS = 200;
/** Milliseconds in a second. */
const MS_PER_S = 1000;

/**
 * Creates the owner report that other hosts receive on an engine.
 *
 * @param state - State of the engine that its owner maintains
 * @param atMs - Current time, in milliseconds
 * @returns the adapters on the engine, its load and the wait for an adapter slot
 *
 * @example
 * const report = describeResidency(state, clock.nowMs());
 */
export function describeResidency(state: ResidencyState, atMs: number): OwnerReport {
    const usage = sumUsage(state, atMs);
    const promptTokensPerS = Math.round(reducePromptRate(state.promptRate, 0, atMs).tokensPerMs * MS_PER_S);
    const adapters = [...state.residents].flatMap(([adapter, { version, phase }]): readonly ReportedAdapter[] => {
        const isUsed = usage.byAdapter.has(adapter);
        switch (phase.kind) {
            case "present":
                return [{ adapter, version, readyInMs: 0, isUsed }];
            case "loading":
                return [{ adapter, version, readyInMs: Math.max(1, phase.readyAtMs - atMs), isUsed }];
            case "leaving":
                return [];
        }
    });
    return {
        adapters,
        load: usage.total,
        queuedTokens: usage.queuedTokens,
        placeWaitMs: estimatePlaceWait(state, usage, atMs) + estimateOrderWait(state),
        ...(promptTokensPerS > 0 ? { promptTokensPerS } : {}),
        ...(usage.heldTokens > 0 ? { heldTokens: usage.heldTokens } : {}),
        ...(state.loadMs > DEFAULT_LOAD_MS ? { loadMs: Math.round(state.loadMs) } : {}),
    };
}

/** Estimates how long the owner can't send a new order, in milliseconds. */
function estimateOrderWait(state: ResidencyState): number {
    if (isStalled(state)) {
        return MODEL_WAIT_MS;
    }
    return state.isOrderUnanswered ? UNANSWERED_WAIT_MS : state.seq === undefined ? REPORT_WAIT_MS : 0;
}
