import type { EngineMessage } from "@fulmarcleat/ownership";
import { nameOnDevice } from "./nameOnDevice.js";
import type { ModelDevice, ModelOrder, OwnershipBounds } from "./ownershipModel.js";

/** What an engine answers to an order. */
type OrderResult = NonNullable<Extract<EngineMessage, { kind: "loadAnswered" }>["result"]>;

/** What an order did. */
export interface DeviceStep {
    readonly device: ModelDevice;
    readonly result: OrderResult;
    /** Requests that ran on the instance when it was unloaded. */
    readonly evicted: number;
}

/**
 * Carries out an order on the engine, as an engine that checks fences or ignores them does.
 *
 * @param device - The engine
 * @param order - The order
 * @param bounds - Whether the engine checks fences, and how it names its loads
 * @returns the engine after it, and its answer
 *
 * @example
 * const { device, result } = stepDevice(model.device, order, bounds);
 */
export function stepDevice(device: ModelDevice, order: ModelOrder, bounds: OwnershipBounds): DeviceStep {
    if (bounds.fencing === "checked" && order.fence < device.highestFence) {
        return refuse(device, "old_fence");
    }
    const seen = { ...device, highestFence: Math.max(device.highestFence, order.fence) };
    const name = nameOnDevice(order.instance, bounds);
    const isLoaded = seen.loaded.includes(name);
    switch (order.kind) {
        case "load":
            if (isLoaded) {
                return { device: seen, result: { kind: "done" }, evicted: 0 };
            }
            return seen.loaded.length >= bounds.adapterPlaces
                ? refuse(seen, "full")
                : { device: { ...seen, loaded: [...seen.loaded, name] }, result: { kind: "done" }, evicted: 0 };
        case "unload":
        case "showFence":
            return isLoaded
                ? {
                    device: { ...seen, loaded: seen.loaded.filter(loaded => loaded !== name) },
                    result: { kind: "done" },
                    evicted: seen.runs.filter(run => run.instance === name).length,
                }
                : refuse(seen, "not_found");
    }
}

function refuse(device: ModelDevice, reason: "full" | "old_fence" | "not_found"): DeviceStep {
    return { device, result: { kind: "refused", reason, message: "" }, evicted: 0 };
}
