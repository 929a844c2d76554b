import type { EngineWord, ToldAdapter } from "@fulmarcleat/wire";
import { estimatePlaceWait } from "./estimatePlaceWait.js";
import type { ResidencyState } from "./residencyState.js";
import { sumUses } from "./sumUses.js";

/**
 * Tells what other hosts need to know of an engine.
 *
 * @param state - The owner's knowledge
 * @param atMs - Time now, in milliseconds
 * @returns the word
 *
 * @example
 * const word = describeResidency(state, clock.nowMs());
 */
export function describeResidency(state: ResidencyState, atMs: number): EngineWord {
    const uses = sumUses(state, atMs);
    const adapters = [...state.residents].flatMap(([adapter, { version, phase }]): readonly ToldAdapter[] => {
        const isUsed = uses.byAdapter.has(adapter);
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
        load: uses.total,
        queuedTokens: uses.queuedTokens,
        placeWaitMs: estimatePlaceWait(state, uses, atMs),
    };
}
