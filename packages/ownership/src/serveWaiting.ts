import { decayRate, FULMARCLEAT_DECISIONS } from "@fulmarcleat/placement";
import type { EngineEffect, EngineStep } from "./engineEffect.js";
import type { EngineContext } from "./engineMessage.js";
import type { EngineState, Instance, Place, WaitingRequest } from "./engineState.js";
import { formatModel } from "./formatModel.js";
import { startLoads } from "./startLoads.js";

/** Places granted beyond the batch size, so that a freed batch slot is refilled without delay. */
const QUEUED_PLACES = 2;
/** Additional places for urgent requests, which the engine's priorities run first. */
const URGENT_PLACES = 4;

/**
 * Refuses expired requests, grants places, starts loads and evicts, within the engine's capacity and the budget.
 *
 * @param state - Current state of the engine
 * @param context - Time, load budget and the policy's decisions
 * @returns the next state and the actions to take
 *
 * @example
 * const step = serveWaiting(state, { nowMs, loadsAllowed: 1 });
 */
export function serveWaiting(state: EngineState, context: EngineContext): EngineStep {
    if (state.phase !== "owned" || state.waiting.length === 0) {
        return { state, effects: [] };
    }
    const expired = refuseExpired(state, context);
    const granted = grantPlaces(expired.state, context);
    const loaded = startLoads(granted.state, context);
    return { state: loaded.state, effects: [...expired.effects, ...granted.effects, ...loaded.effects] };
}

function refuseExpired(state: EngineState, { nowMs }: EngineContext): EngineStep {
    if (!state.waiting.some(waiting => waiting.deadlineMs <= nowMs)) {
        return { state, effects: [] };
    }
    const expired = state.waiting.filter(waiting => waiting.deadlineMs <= nowMs);
    const effects = expired.map((waiting): EngineEffect => ({
        kind: "refuse",
        waiting,
        code: "deadline_passed",
        message: "no place was free before the deadline",
        retryAfterMs: undefined,
    }));
    return { state: { ...state, waiting: state.waiting.filter(waiting => waiting.deadlineMs > nowMs) }, effects };
}

function grantPlaces(state: EngineState, context: EngineContext): EngineStep {
    const usable = new Map<string, Instance>();
    state.instances.filter(instance => instance.status === "ready").forEach(instance => {
        const model = formatModel(instance);
        usable.set(model, usable.get(model) ?? instance);
    });
    const limit = state.limits.batchSlots + QUEUED_PLACES;
    const servable = state.places.length >= limit + URGENT_PLACES
        ? []
        : state.waiting.filter(waiting => usable.has(formatModel(waiting)));
    if (servable.length === 0) {
        return { state, effects: [] };
    }
    const { orderWaiting } = context.decisions ?? FULMARCLEAT_DECISIONS;
    const { agingMs } = state.limits;
    const ordered = orderWaiting(servable, { nowMs: context.nowMs, agingMs, readWeight: context.readWeight });
    const places: Place[] = [...state.places];
    const granted = new Set<WaitingRequest>();
    const effects: EngineEffect[] = [];
    for (const waiting of ordered) {
        const model = formatModel(waiting);
        const instance = usable.get(model);
        const hasFreePlace = places.length < limit + (waiting.priority === "urgent" ? URGENT_PLACES : 0);
        if (instance === undefined || !hasFreePlace || granted.has(waiting)) {
            continue;
        }
        const updated = { ...instance, lastUsedMs: context.nowMs, rate: decayRate(instance.rate, 1, context.nowMs) };
        usable.set(model, updated);
        granted.add(waiting);
        places.push(createPlace(waiting, updated, context));
        effects.push(createGrant(state, waiting, updated, context));
    }
    if (granted.size === 0) {
        return { state, effects };
    }
    const updatedInstances = new Map([...usable.values()].map(instance => [instance.instance, instance]));
    return {
        state: {
            ...state,
            instances: state.instances.map(instance => updatedInstances.get(instance.instance) ?? instance),
            places,
            waiting: state.waiting.filter(waiting => !granted.has(waiting)),
        },
        effects,
    };
}

function createGrant(
    state: EngineState,
    waiting: WaitingRequest,
    instance: Instance,
    { nowMs }: EngineContext,
): EngineEffect {
    return {
        kind: "grant",
        waiting,
        instance: instance.instance,
        fence: state.fence,
        waitedMs: nowMs - waiting.arrivedMs,
        loadStallMs: Math.max(0, instance.sinceMs - waiting.arrivedMs),
        ratePerSecond: instance.rate.perSecond,
    };
}

function createPlace(waiting: WaitingRequest, instance: Instance, { nowMs }: EngineContext): Place {
    const { place, host, incarnation } = waiting;
    return { place, instance: instance.instance, host, incarnation, grantedMs: nowMs, orphanedMs: undefined };
}
