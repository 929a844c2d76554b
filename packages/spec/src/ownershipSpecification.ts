import { createOwnershipModel } from "./createOwnershipModel.js";
import { isRecoverable } from "./isRecoverable.js";
import { listOwnershipEvents } from "./listOwnershipEvents.js";
import type { OwnershipBounds, OwnershipEvent, OwnershipModel } from "./ownershipModel.js";
import type { Specification } from "./specification.js";
import { stepOwnership } from "./stepOwnership.js";

/** Maximum number of states to explore. */
const STATE_LIMIT = 400_000;

/**
 * Specifies ownership with eviction: two owners, one gateway and one engine; the owners run the production reducers.
 *
 * @param bounds - Bounds of the exploration, and the defect that is switched on, if any
 * @returns the specification
 *
 * @example
 * const { violations } = exploreSpecification(ownershipSpecification(bounds));
 */
export function ownershipSpecification(bounds: OwnershipBounds): Specification<OwnershipModel, OwnershipEvent> {
    return {
        name: `ownership, fences ${bounds.fencing}`,
        initial: createOwnershipModel(bounds),
        listEvents: model => listOwnershipEvents(model, bounds),
        step: (model, event) => stepOwnership(model, event, bounds),
        invariants: [
            { name: "nothing is evicted in use and the adapter asked for runs", check: model => model.violation },
            { name: "no order under way evicts what another owner may grant", check: findConflict },
            {
                name: "every place and order is resolved in the end",
                check: model => (isRecoverable(model, bounds)
                    ? undefined
                    : "an owner never resolves a place or an unload order"),
            },
        ],
        stateLimit: STATE_LIMIT,
    };

    function findConflict(model: OwnershipModel): string | undefined {
        const conflict = model.orders.find(order =>
            order.kind === "unload" && model.engine.loaded.includes(order.instance)
            && !(bounds.fencing === "checked" && order.fence < model.engine.highestFence)
            && model.owners[order.from === "a" ? "b" : "a"].engine.instances.some(instance =>
                instance.instance === order.instance && instance.status === "ready"
            )
        );
        return conflict === undefined
            ? undefined
            : `${conflict.from} unloads ${conflict.instance}, which the other owner may grant`;
    }
}
