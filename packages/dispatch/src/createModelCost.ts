import type { EngineId } from "@fulmarcleat/ids";
import type { EnginePolicy } from "./enginePolicy.js";
import type { ModelEngineView } from "./engineView.js";
import { estimateEffect } from "./estimateEffect.js";
import { estimateFirstByte } from "./estimateFirstByte.js";
import { estimateOutage } from "./estimateOutage.js";

/** Inputs to the choice of an engine for a generation. */
export interface ModelEngineOptions {
    readonly engines: readonly ModelEngineView[];
    /** Engine ids in the adapter's rendezvous order, which all hosts share. */
    readonly order: readonly EngineId[];
    readonly atMs: number;
    /** Usual duration of an adapter load, in milliseconds. */
    readonly loadMs: number;
    readonly policy: EnginePolicy;
}

/** Cost of each position in the rendezvous order for an adapter that must be loaded, in milliseconds. */
const RANK_MS = 40;
/** Cost of using one more adapter slot for an adapter that another engine may have, in milliseconds. */
const ADAPTER_SLOT_MS = 500;
/** Engines that stop sooner than this get no generation while another engine is available, in milliseconds. */
const MIN_TIME_LEFT_MS = 4000;
/** Cost added to engines that stop sooner than MIN_TIME_LEFT_MS, in milliseconds. */
const LEAVING_MS = 3000;

/**
 * Creates a function that computes the cost of a generation at an engine, including its effect on other requests.
 *
 * @param options - Engines, their rendezvous order for the adapter, load time and policy
 * @returns a function that returns an engine's cost in milliseconds
 *
 * @example
 * const costMs = createModelCost(options)(view);
 */
export function createModelCost(options: ModelEngineOptions): (view: ModelEngineView) => number {
    const { atMs, loadMs, order, policy } = options;
    const ranks = new Map(order.map((id, index) => [id, index]));
    const computeCost = (view: ModelEngineView): number => {
        const rank = ranks.get(view.id) ?? order.length;
        switch (policy) {
            case "expected_wait":
                return estimateFirstByte(view, atMs, loadMs)
                    + estimateEffect(view)
                    + (view.presence.kind === "absent" ? ADAPTER_SLOT_MS + rank * RANK_MS : 0);
            case "least_loaded":
                return estimateOutage(view, atMs) + view.load;
            case "adapter_hash":
                return estimateOutage(view, atMs) + rank;
        }
    };
    return view => computeCost(view) + (isLeavingSoon(view) ? LEAVING_MS : 0);
}

function isLeavingSoon({ leavesInMs }: ModelEngineView): boolean {
    return leavesInMs !== undefined && leavesInMs < MIN_TIME_LEFT_MS;
}
