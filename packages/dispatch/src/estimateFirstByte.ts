import type { AdapterPresence, ModelEngineView } from "./engineView.js";
import { estimateEngineCost } from "./estimateEngineCost.js";
import type { CostScale } from "./estimateEngineCost.js";
import { estimatePacedFirstByte } from "./estimatePacedFirstByte.js";

const MODEL_SCALE: CostScale = { idleFirstByteMs: 60, failureMs: 1500, delayPerRequestMs: 7 };
/** Cost of an engine that has no owner to order loads, in milliseconds. */
const NO_OWNER_MS = 6000;

/**
 * Estimates how long a generation would wait for its first byte at an engine, including its adapter's load.
 *
 * @param view - Load, health and adapter presence of the engine
 * @param atMs - Current time, in milliseconds
 * @param loadMs - Usual duration of an adapter load, in milliseconds
 * @returns the expected time in milliseconds
 *
 * @example
 * const expectedMs = estimateFirstByte(view, clock.nowMs(), 250);
 */
export function estimateFirstByte(view: ModelEngineView, atMs: number, loadMs: number): number {
    const engineMs = view.pace === undefined
        ? estimateEngineCost(view, MODEL_SCALE, atMs)
        : estimatePacedFirstByte(view, view.pace, atMs);
    return engineMs + estimateAdapterWait(view.presence, loadMs);
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
