import type { AdapterPresence, ModelEngineView } from "./engineView.js";
import { estimateEngineCost } from "./estimateEngineCost.js";
import type { CostScale } from "./estimateEngineCost.js";

const MODEL_SCALE: CostScale = { idleFirstByteMs: 60, failureMs: 1500, delayPerRequestMs: 7 };
/** Cost of an engine where nobody may order loads, in milliseconds. */
const NO_OWNER_MS = 6000;

/**
 * Estimates how long a generation would wait for its first byte at an engine, its adapter's load included.
 *
 * @param view - The engine
 * @param atMs - Time now, in milliseconds
 * @param loadMs - Usual time of an adapter's load, in milliseconds
 * @returns milliseconds
 *
 * @example
 * const expectedMs = estimateFirstByte(view, clock.nowMs(), 250);
 */
export function estimateFirstByte(view: ModelEngineView, atMs: number, loadMs: number): number {
    return estimateEngineCost(view, MODEL_SCALE, atMs) + estimateAdapterWait(view.presence, loadMs);
}

function estimateAdapterWait(presence: AdapterPresence, loadMs: number): number {
    switch (presence.kind) {
        case "present":
            return 0;
        case "coming":
            return presence.readyInMs;
        case "absent":
            return loadMs + presence.placeWaitMs + (presence.canLoad ? 0 : NO_OWNER_MS);
    }
}
