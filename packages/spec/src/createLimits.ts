import type { EngineLimits } from "@fulmarcleat/ownership";
import type { OwnershipBounds } from "./ownershipModel.js";

/** Longer than every trace, so that no deadline passes in one. */
const LONGEST_MS = 3_600_000;

/**
 * Creates the engine's limits in the exploration.
 *
 * @param bounds - What is explored
 * @returns the limits
 *
 * @example
 * const state = createEngineState(engine, createLimits(bounds));
 */
export function createLimits(bounds: OwnershipBounds): EngineLimits {
    return {
        queueLimit: 10,
        callerQueueLimit: 10,
        agingMs: LONGEST_MS,
        maxRequestMs: LONGEST_MS,
        replicaRate: 1000,
        batchSlots: 4,
        adapterPlaces: bounds.adapterPlaces,
        fencing: bounds.fencing,
        draining: false,
    };
}
