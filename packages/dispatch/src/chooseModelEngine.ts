import type { EngineId } from "@fulmarcleat/ids";
import { createModelCost } from "./createModelCost.js";
import type { ModelEngineOptions } from "./createModelCost.js";
import { estimateFirstByte } from "./estimateFirstByte.js";
import { findCheapest } from "./findCheapest.js";

/** The engine chosen for a generation. */
export interface ModelEngineChoice {
    readonly id: EngineId;
    /** Expected time to the first byte, in milliseconds. */
    readonly expectedMs: number;
}

/**
 * Chooses the engine for a generation: one that has the adapter, unless its queue costs more than a load elsewhere.
 *
 * @param options - Engines, their rendezvous order for the adapter, load time and policy
 * @returns the engine, or undefined if there are no engines
 *
 * @example
 * const engine = chooseModelEngine({ engines, order, atMs, loadMs: 250, policy: "expected_wait" });
 */
export function chooseModelEngine(options: ModelEngineOptions): ModelEngineChoice | undefined {
    const best = findCheapest(options.engines, createModelCost(options));
    return best === undefined
        ? undefined
        : { id: best.id, expectedMs: estimateFirstByte(best, options.atMs, options.loadMs) };
}
