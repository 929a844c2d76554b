import type { OwnerName, OwnershipBounds, OwnershipEvent, OwnershipModel } from "./ownershipModel.js";
import { stepOwnership } from "./stepOwnership.js";

const MAX_ROUNDS = 6;

/**
 * Tells whether every place and unload order is resolved once the faults end and time passes.
 *
 * @param model - Everything
 * @param bounds - Engine and defect
 * @returns whether the engine's owner holds nothing on after that
 *
 * @example
 * const isStuck = !isRecoverable(model, bounds);
 */
export function isRecoverable(model: OwnershipModel, bounds: OwnershipBounds): boolean {
    if (model.broken !== undefined || isResolved(model)) {
        return true;
    }
    let next = model;
    for (let round = 0; round < MAX_ROUNDS; round += 1) {
        next = settle(next, bounds);
        if (isResolved(next)) {
            return true;
        }
    }
    return false;
}

function settle(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    let next = model;
    const run = (event: OwnershipEvent): void => {
        next = stepOwnership(next, event, bounds);
    };
    run({ type: "wait" });
    while (next.orders.length > 0) {
        run({ type: "order", at: 0, reply: "arrives" });
    }
    while (next.grants.length > 0) {
        run({ type: "grant", at: 0, isLost: false });
    }
    next.gateway.places.filter(place => !place.isRunning).forEach(({ place }) => run({ type: "start", place }));
    next.gateway.places.forEach(({ place }) => run({ type: "finish", place, isEndLost: false }));
    const owner = next.kv.owner;
    next.device.runs.forEach(({ place }) => run({ type: "drop", place }));
    run({ type: "held", from: "gateway", owner });
    run({ type: "report", owner, isOld: false });
    return next;
}

function isResolved(model: OwnershipModel): boolean {
    const name: OwnerName = model.kv.owner;
    const { engine, mode } = model.owners[name];
    return mode !== "up" || engine.phase !== "owned"
        || (engine.places.length === 0 && engine.instances.every(instance => instance.status !== "unloading"));
}
