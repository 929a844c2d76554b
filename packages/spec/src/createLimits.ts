import type { EngineLimits } from "@fulmarcleat/ownership";
import type { OwnershipBounds } from "./ownershipModel.js";

/** Time in milliseconds that is longer than every trace, so that no deadline expires in one. */
const UNREACHED_MS = 3_600_000;

/**
 * Creates the limits of the explored engine.
 *
 * @param bounds - Bounds of the exploration, with the engine's adapter slots and fencing
 * @returns the limits; none of the queue limits and deadlines is reached in a trace
 *
 * @example
 * const state = createEngineState(engine, createLimits(bounds));
 */
export function createLimits(bounds: OwnershipBounds): EngineLimits {
    return {
        queueLimit: 10,
        callerQueueLimit: 10,
        agingMs: UNREACHED_MS,
        maxRequestMs: UNREACHED_MS,
        replicaRate: 1000,
        batchSlots: 4,
        adapterPlaces: bounds.adapterSlots,
        fencing: bounds.fencing,
        draining: false,
    };
}
