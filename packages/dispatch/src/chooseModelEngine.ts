import type { EngineId } from "@fulmarcleat/ids";
import { createModelCost } from "./createModelCost.js";
import type { ModelEngineOptions } from "./createModelCost.js";
import type { ModelEngineView } from "./engineView.js";
import { estimateFirstByte } from "./estimateFirstByte.js";
import { findCheapest } from "./findCheapest.js";

/** Expected rest of an engine's silence, in milliseconds; a sound engine may be silent for a second or so. */
const SILENCE_MS = 1000;

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
        : { id: best.id, expectedMs: estimateWait(best, options) };
}

/** Estimates the time to the first byte; silence alone is a pause here, though it speaks for other engines. */
function estimateWait(view: ModelEngineView, { atMs, loadMs }: ModelEngineOptions): number {
    return view.isUnresponsive
        ? estimateFirstByte({ ...view, isUnresponsive: false }, atMs, loadMs) + SILENCE_MS
        : estimateFirstByte(view, atMs, loadMs);
}
