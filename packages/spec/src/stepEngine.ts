import type { EngineMessage } from "@fulmarcleat/ownership";
import { formatLoadedName } from "./formatLoadedName.js";
import type { ModelEngine, ModelOrder, OwnershipBounds } from "./ownershipModel.js";

/** An engine's answer to an order. */
type OrderResult = NonNullable<Extract<EngineMessage, { kind: "loadAnswered" }>["result"]>;

/** Result of an order that the engine carried out or refused. */
export interface OrderExecution {
    readonly engine: ModelEngine;
    readonly result: OrderResult;
    /** Number of requests that were running on the instance when it was unloaded. */
    readonly evictedRuns: number;
}

/**
 * Carries out an order on an engine that either checks fencing tokens or ignores them.
 *
 * @param engine - State of the engine
 * @param order - Order from one of the owners
 * @param bounds - Bounds of the exploration: fencing, adapter slots and the names of loaded instances
 * @returns the engine after the order, its answer and the number of evicted runs
 *
 * @example
 * const { engine, result } = stepEngine(model.engine, order, bounds);
 */
export function stepEngine(engine: ModelEngine, order: ModelOrder, bounds: OwnershipBounds): OrderExecution {
    if (bounds.fencing === "checked" && order.fence < engine.highestFence) {
        return refuse(engine, "old_fence");
    }
    const fenced = { ...engine, highestFence: Math.max(engine.highestFence, order.fence) };
    const name = formatLoadedName(order.instance, bounds);
    const isLoaded = fenced.loaded.includes(name);
    switch (order.kind) {
        case "load":
            if (isLoaded) {
                return { engine: fenced, result: { kind: "done" }, evictedRuns: 0 };
            }
            return fenced.loaded.length >= bounds.adapterSlots
                ? refuse(fenced, "full")
                : { engine: { ...fenced, loaded: [...fenced.loaded, name] }, result: { kind: "done" }, evictedRuns: 0 };
        case "unload":
        case "showFence":
            return isLoaded
                ? {
                    engine: { ...fenced, loaded: fenced.loaded.filter(loaded => loaded !== name) },
                    result: { kind: "done" },
                    evictedRuns: fenced.runs.filter(run => run.instance === name).length,
                }
                : refuse(fenced, "not_found");
    }
}

function refuse(engine: ModelEngine, reason: "full" | "old_fence" | "not_found"): OrderExecution {
    return { engine, result: { kind: "refused", reason, message: "" }, evictedRuns: 0 };
}
