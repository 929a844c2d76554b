import type { OwnerName, OwnershipBounds, OwnershipEvent, OwnershipModel } from "./ownershipModel.js";
import { stepOwnership } from "./stepOwnership.js";

/** Maximum number of fault-free rounds after which every place and unload order must be resolved. */
const MAX_ROUNDS = 6;

/**
 * Checks whether every place and unload order is resolved once the faults end and time passes.
 *
 * @param model - State to start from
 * @param bounds - Bounds of the exploration, with the engine's fencing and the defect
 * @returns whether the engine's owner ends up with no place and no pending unload; also true where another invariant
 *     is already violated
 *
 * @example
 * const isStuck = !isRecoverable(model, bounds);
 */
export function isRecoverable(model: OwnershipModel, bounds: OwnershipBounds): boolean {
    if (model.violation !== undefined || isResolved(model)) {
        return true;
    }
    let next = model;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
        next = runFaultFreeRound(next, bounds);
        if (isResolved(next)) {
            return true;
        }
    }
    return false;
}

function runFaultFreeRound(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    let next = model;
    const apply = (event: OwnershipEvent): void => {
        next = stepOwnership(next, event, bounds);
    };
    apply({ type: "wait" });
    while (next.orders.length > 0) {
        apply({ type: "order", at: 0, reply: "arrives" });
    }
    while (next.grants.length > 0) {
        apply({ type: "grant", at: 0, isLost: false });
    }
    next.gateway.places.filter(place => !place.isRunning).forEach(({ place }) => apply({ type: "start", place }));
    next.gateway.places.forEach(({ place }) => apply({ type: "finish", place, isEndLost: false }));
    const owner = next.kv.owner;
    next.engine.runs.forEach(({ place }) => apply({ type: "drop", place }));
    apply({ type: "held", from: "gateway", owner });
    apply({ type: "report", owner, isOld: false });
    return next;
}

function isResolved(model: OwnershipModel): boolean {
    const name: OwnerName = model.kv.owner;
    const { engine, mode } = model.owners[name];
    return mode !== "up" || engine.phase !== "owned"
        || (engine.places.length === 0 && engine.instances.every(instance => instance.status !== "unloading"));
}
