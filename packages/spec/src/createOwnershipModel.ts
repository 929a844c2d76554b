import { brandId } from "@fulmarcleat/ids";
import type { EngineId } from "@fulmarcleat/ids";
import { createEngineState } from "@fulmarcleat/ownership";
import { createLimits } from "./createLimits.js";
import type { OwnershipBounds, OwnershipModel } from "./ownershipModel.js";
import { sendToOwner } from "./sendToOwner.js";
import { stepOwnership } from "./stepOwnership.js";

const ENGINE = brandId<EngineId>("engine");
const LONGEST_MS = 3_600_000;

/**
 * Creates the state in which the exploration starts: one owner that has served adapter 1 once.
 *
 * @param bounds - What is explored
 * @returns the state
 *
 * @example
 * const initial = createOwnershipModel(bounds);
 */
export function createOwnershipModel(bounds: OwnershipBounds): OwnershipModel {
    const engine = createEngineState(ENGINE, createLimits(bounds));
    const owner = { engine, mode: "up", isSuspended: false } as const;
    const empty: OwnershipModel = {
        nowMs: 0,
        owners: { a: owner, b: owner },
        kv: { isDown: false, owner: "a", fence: 1, isReleased: false, holders: [], liveSessions: ["a", "b"] },
        device: { incarnation: 1, highestFence: 0, loaded: [], runs: [] },
        orders: [],
        grants: [],
        gateway: { incarnation: 1, fence: 0, pending: [], places: [] },
        asked: 0,
        faults: 0,
        waits: 0,
        slow: { orders: false, grants: false },
        oldReport: undefined,
        broken: undefined,
    };
    const owned = sendToOwner(
        empty,
        "a",
        { kind: "acquired", fence: 1, former: "none", hosts: [], leaseMs: LONGEST_MS },
        bounds,
    );
    const asked = stepOwnership(owned, { type: "ask", owner: "a", adapter: "1" }, bounds);
    const place = asked.gateway.places[0]?.place ?? brandId("p0");
    const started = stepOwnership(asked, { type: "start", place }, bounds);
    const ended = stepOwnership(started, { type: "finish", place, isEndLost: false }, bounds);
    return { ...ended, asked: 0 };
}
