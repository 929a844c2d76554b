import type { EngineId } from "@fulmarcleat/ids";
import type { EnginePolicy } from "./enginePolicy.js";
import type { ModelEngineView } from "./engineView.js";
import { estimateFirstByte } from "./estimateFirstByte.js";
import { estimateOutage } from "./estimateOutage.js";

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

/** Cost of each step down the rendezvous order for an adapter that must be loaded, in milliseconds. */
const RANK_MS = 40;
/** Cost of taking one more place for an adapter that another engine may have, in milliseconds. */
const PLACE_MS = 500;
/** An engine that leaves sooner gets no generation while another is left, in milliseconds. */
const SHORTEST_STAY_MS = 4000;
/** Cost of an engine that leaves sooner than that, in milliseconds. */
const LEAVING_MS = 3000;

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
    const { atMs, loadMs, order, policy } = choice;
    const ranks = new Map(order.map((id, index) => [id, index]));
    const weigh = (view: ModelEngineView): number => {
        const rank = ranks.get(view.id) ?? order.length;
        switch (policy) {
            case "expected_wait":
                return estimateFirstByte(view, atMs, loadMs)
                    + (view.presence.kind === "absent" ? PLACE_MS + rank * RANK_MS : 0);
            case "least_loaded":
                return estimateOutage(view, atMs) + view.load;
            case "adapter_hash":
                return estimateOutage(view, atMs) + rank;
        }
    };
    return view => weigh(view) + (isLeavingSoon(view) ? LEAVING_MS : 0);
}

function isLeavingSoon({ leavesInMs }: ModelEngineView): boolean {
    return leavesInMs !== undefined && leavesInMs < SHORTEST_STAY_MS;
}
