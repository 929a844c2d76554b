import { brandId } from "@fulmarcleat/ids";
import type { InstanceName } from "@fulmarcleat/ids";
import { reduceEngine } from "@fulmarcleat/ownership";
import type { EngineContext, EngineEffect, EngineMessage, EngineState, EngineStep } from "@fulmarcleat/ownership";
import type { ModelOrder, OwnerName, OwnershipBounds, OwnershipModel } from "./ownershipModel.js";

/**
 * Passes a message to the production reducer of an owner and sends the resulting orders and grants.
 *
 * @param model - State before the message
 * @param name - Owner that receives the message; a paused or failed owner ignores it
 * @param message - Message for the reducer
 * @param bounds - Bounds of the exploration, with the defect that is switched on
 * @returns the state after the message
 *
 * @example
 * model = sendToOwner(model, "b", { kind: "tick" }, bounds);
 */
export function sendToOwner(
    model: OwnershipModel,
    name: OwnerName,
    message: EngineMessage,
    bounds: OwnershipBounds,
): OwnershipModel {
    const owner = model.owners[name];
    if (owner.mode !== "up") {
        return model;
    }
    const context: EngineContext = { nowMs: model.nowMs, loadsAllowed: 1, isSuspended: owner.isSuspended };
    const { state, effects } = reduceWithDefect(owner.engine, message, context, bounds);
    const next = { ...model, owners: { ...model.owners, [name]: { ...owner, engine: state } } };
    return effects.reduce((changed, effect) => runEffect(changed, name, effect), next);
}

function reduceWithDefect(
    state: EngineState,
    message: EngineMessage,
    context: EngineContext,
    { defect }: OwnershipBounds,
): EngineStep {
    switch (defect) {
        case "evict on the report alone": {
            const step = reduceEngine(renamePlaceInstances(state, name => `${HIDDEN_PREFIX}${name}`), message, context);
            return { ...step, state: renamePlaceInstances(step.state, name => name.replace(HIDDEN_PREFIX, "")) };
        }
        case "adopt from a lapsed owner":
            return reduceEngine(
                state,
                message.kind === "acquired" ? { ...message, former: "released" } : message,
                context,
            );
        case "free a silent holder's places":
            return reduceEngine(message.kind === "tick" ? { ...state, places: [] } : state, message, context);
        case "forget the asks under way":
            return reduceEngine(state, message.kind === "held" ? { ...message, pending: [] } : message, context);
        case "reuse after an unanswered unload":
            return reduceEngine(
                state,
                message.kind === "unloadAnswered" && message.result === undefined
                    ? { ...message, result: { kind: "refused", reason: "in_use", message: "" } }
                    : message,
                context,
            );
        case "evict before the holders answered":
            return reduceEngine(
                state,
                message.kind === "acquired" ? { ...message, hosts: [], former: "released" } : message,
                context,
            );
        case "free another incarnation's places":
            return reduceEngine(
                message.kind === "held"
                    ? { ...state, places: state.places.map(place => ({ ...place, incarnation: message.incarnation })) }
                    : state,
                message,
                context,
            );
        case "names without the fence":
        case "accept a grant of a lower fence":
        case "release before every answer":
        case undefined:
            return reduceEngine(state, message, context);
    }
}

/** Prefix that hides the instances of places, so that the reducer does not count the places as uses of them. */
const HIDDEN_PREFIX = "hidden ";

function renamePlaceInstances(state: EngineState, rename: (name: string) => string): EngineState {
    const places = state.places.map(place => ({ ...place, instance: brandId<InstanceName>(rename(place.instance)) }));
    return { ...state, places };
}

function addOrder(
    model: OwnershipModel,
    from: OwnerName,
    { kind, instance, fence }: Extract<EngineEffect, { kind: ModelOrder["kind"] }>,
): OwnershipModel {
    const order = { from, kind, instance, fence, sentMs: model.nowMs, isAbandoned: false };
    return { ...model, orders: [...model.orders, order] };
}

function runEffect(model: OwnershipModel, from: OwnerName, effect: EngineEffect): OwnershipModel {
    switch (effect.kind) {
        case "load":
        case "unload":
            return addOrder(model, from, effect);
        case "showFence": {
            const isInFlight = model.orders.some(order => order.kind === "showFence" && order.from === from);
            return isInFlight ? model : addOrder(model, from, effect);
        }
        case "grant": {
            const { waiting, instance, fence } = effect;
            const grant = { from, place: waiting.place, instance, fence, adapter: waiting.adapter };
            return { ...model, grants: [...model.grants, grant] };
        }
        case "refuse": {
            const pending = model.gateway.pending.filter(place => place !== effect.waiting.place);
            return { ...model, gateway: { ...model.gateway, pending } };
        }
        case "released":
            return model.kv.isDown || model.kv.owner !== from || model.kv.fence !== effect.fence
                ? model
                : { ...model, kv: { ...model.kv, isReleased: true, holders: effect.holders } };
        case "decision":
            return model;
    }
}
