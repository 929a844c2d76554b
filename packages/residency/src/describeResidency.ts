import type { AdapterName } from "@fulmarcleat/ids";
import { countQueuedTokens, countUses } from "./countUses.js";
import { estimatePlaceWait } from "./estimatePlaceWait.js";
import type { ResidencyState } from "./residencyState.js";

/** An adapter as an owner tells other hosts of it. */
export interface ToldAdapter {
    readonly adapter: AdapterName;
    readonly version: number | undefined;
    /** Time until it can run requests; 0 where it can now. */
    readonly readyInMs: number;
    /** Whether requests run on it. */
    readonly isUsed: boolean;
}

/** What an owner tells other hosts of its engine. */
export interface EngineWord {
    readonly adapters: readonly ToldAdapter[];
    /** Requests under way there, over all hosts. */
    readonly load: number;
    /** Prompt tokens of requests without a first byte so far, over all hosts. */
    readonly queuedTokens: number;
    /** Expected wait until a place for another adapter is free, in milliseconds. */
    readonly placeWaitMs: number;
    readonly loadMs: number;
}

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
    const adapters = [...state.residents].flatMap(([adapter, { version, phase }]): readonly ToldAdapter[] => {
        const isUsed = countUses(state, atMs, adapter) > 0;
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
        load: countUses(state, atMs),
        queuedTokens: countQueuedTokens(state, atMs),
        placeWaitMs: estimatePlaceWait(state, atMs),
        loadMs: state.loadMs,
    };
}
