import type { EngineId } from "@fulmarcleat/ids";
import type { EnginePolicy } from "./enginePolicy.js";
import type { AdapterPresence, ModelEngineView } from "./engineView.js";
import { estimateEngineCost, estimateOutage } from "./estimateEngineCost.js";
import type { CostScale } from "./estimateEngineCost.js";
import { findCheapest } from "./findCheapest.js";

/** What a generation's choice depends on. */
export interface ModelChoice {
    readonly engines: readonly ModelEngineView[];
    /** Engine ids in the adapter's rendezvous order, which all hosts share. */
    readonly order: readonly EngineId[];
    readonly atMs: number;
    /** Usual time of an adapter's load, in milliseconds. */
    readonly loadMs: number;
    readonly policy: EnginePolicy;
}

const MODEL_SCALE: CostScale = { idleFirstByteMs: 60, failureMs: 1500, delayPerRequestMs: 7 };
/** Cost of each step down the rendezvous order for an adapter that must be loaded, in milliseconds. */
const RANK_MS = 40;
/** Cost of taking one more place for an adapter that another engine may have, in milliseconds. */
const PLACE_MS = 500;
/** Cost of an engine where nobody may order loads, in milliseconds. */
const NO_OWNER_MS = 6000;
/** An engine that leaves sooner gets no generation while another is left, in milliseconds. */
const SHORTEST_STAY_MS = 4000;
/** Cost of an engine that leaves sooner than that, in milliseconds. */
const LEAVING_MS = 3000;

/** The engine for a generation. */
export interface ModelEngineChoice {
    readonly id: EngineId;
    /** Expected time to the first byte, in milliseconds. */
    readonly expectedMs: number;
}

/**
 * Chooses the engine for a generation: one that has the adapter unless its queue costs more than a load elsewhere.
 *
 * @param choice - The engines, the adapter's order and the time
 * @returns the engine, or undefined where there is none
 *
 * @example
 * const engine = chooseModelEngine({ engines, order, atMs, loadMs: 250 });
 */
export function chooseModelEngine(choice: ModelChoice): ModelEngineChoice | undefined {
    const weigh = createModelCost(choice);
    const best = findCheapest(choice.engines, weigh);
    return best === undefined ? undefined : { id: best.id, expectedMs: estimateFirstByte(best, choice) };
}

/**
 * Creates the cost of a generation at an engine, with what it takes from other requests.
 *
 * @param choice - The engines, the adapter's order and the time
 * @returns what gives an engine's cost in milliseconds
 *
 * @example
 * const costMs = createModelCost(choice)(view);
 */
export function createModelCost(choice: ModelChoice): (view: ModelEngineView) => number {
    const ranks = new Map(choice.order.map((id, index) => [id, index]));
    const rank = (view: ModelEngineView): number => ranks.get(view.id) ?? choice.order.length;
    const estimateLeaving = ({ leavesInMs }: ModelEngineView): number =>
        leavesInMs !== undefined && leavesInMs < SHORTEST_STAY_MS ? LEAVING_MS : 0;
    switch (choice.policy) {
        case "expected_wait":
            return view =>
                estimateFirstByte(view, choice) + estimatePlaceCost(view.presence, rank(view)) + estimateLeaving(view);
        case "least_loaded":
            return view => estimateOutage(view, choice.atMs) + view.load + estimateLeaving(view);
        case "adapter_hash":
            return view => estimateOutage(view, choice.atMs) + rank(view) + estimateLeaving(view);
    }
}

function estimateFirstByte(view: ModelEngineView, { atMs, loadMs }: ModelChoice): number {
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

function estimatePlaceCost(presence: AdapterPresence, rank: number): number {
    return presence.kind === "absent" ? PLACE_MS + rank * RANK_MS : 0;
}
