import { brandId } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import { createEngineState } from "@fulmarcleat/ownership";
import { createLimits } from "./createLimits.js";
import type { OwnershipBounds, OwnershipModel } from "./ownershipModel.js";
import { sendToOwner } from "./sendToOwner.js";
import { stepOwnership } from "./stepOwnership.js";

const ENGINE = brandId<EngineId>("engine");
/** Lease in milliseconds that is longer than every trace, so that it never expires in one. */
const UNREACHED_MS = 3_600_000;

/**
 * Creates the initial state of the exploration: host `a` owns the engine and has served adapter 1 once.
 *
 * @param bounds - Bounds of the exploration
 * @returns the initial state
 *
 * @example
 * const initial = createOwnershipModel(bounds);
 */
export function createOwnershipModel(bounds: OwnershipBounds): OwnershipModel {
    const engine = createEngineState(ENGINE, createLimits(bounds));
    const owner = { engine, mode: "up", isSuspended: false } as const;
    const initialState: OwnershipModel = {
        nowMs: 0,
        owners: { a: owner, b: owner },
        kv: { isDown: false, owner: "a", fence: 1, isReleased: false, holders: [], liveSessions: ["a", "b"] },
        engine: { incarnation: 1, highestFence: 0, loaded: [], runs: [] },
        orders: [],
        grants: [],
        gateway: { incarnation: 1, fence: 0, pending: [], places: [] },
        requestCount: 0,
        faults: 0,
        waits: 0,
        delayed: { orders: false, grants: false },
        staleReport: undefined,
        violation: undefined,
    };
    const owned = sendToOwner(
        initialState,
        "a",
        { kind: "acquired", fence: 1, former: "none", hosts: [], leaseMs: UNREACHED_MS },
        bounds,
    );
    const granted = stepOwnership(owned, { type: "ask", owner: "a", adapter: "1" }, bounds);
    const place = granted.gateway.places[0]?.place ?? brandId("p0");
    const started = stepOwnership(granted, { type: "start", place }, bounds);
    const ended = stepOwnership(started, { type: "finish", place, isEndLost: false }, bounds);
    return { ...ended, requestCount: 0 };
}
