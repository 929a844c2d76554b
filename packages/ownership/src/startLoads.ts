import { decayRate, FULMARCLEAT_DECISIONS } from "@fulmarcleat/placement";
import { canEvict } from "./canEvict.js";
import { countPins } from "./countPins.js";
import type { EngineEffect, EngineStep } from "./engineEffect.js";
import type { EngineContext } from "./engineMessage.js";
import type { EngineState, Instance, WaitingRequest } from "./engineState.js";
import { formatInstanceName } from "./formatInstanceName.js";
import { formatModel } from "./formatModel.js";
import { listUnloaded } from "./listUnloaded.js";

/**
 * Starts loads for the requests that wait, and evicts instances to free adapter slots, within the load budget.
 *
 * An instance is evicted only when the budget allows the load that replaces it, so it stays usable until then.
 *
 * @param state - Current state of the engine
 * @param context - Time, load budget and the policy's decisions
 * @returns the next state and the actions to take
 *
 * @example
 * const step = startLoads(state, { nowMs, loadsAllowed: 1 });
 */
export function startLoads(state: EngineState, context: EngineContext): EngineStep {
    const unloading = state.instances.filter(instance => instance.status === "unloading").length;
    let loadsLeft = context.loadsAllowed;
    if (loadsLeft <= 0 || state.waiting.length === 0) {
        return { state, effects: [] };
    }
    const { orderLoads } = context.decisions ?? FULMARCLEAT_DECISIONS;
    const effects: EngineEffect[] = [];
    let next = state;
    let slotsBeingFreed = unloading;
    for (const { first } of orderLoads(listUnloaded(state, context.nowMs))) {
        if (loadsLeft <= 0) {
            break;
        }
        loadsLeft -= 1;
        if (next.instances.length < next.limits.adapterPlaces) {
            next = addLoading(next, first, context, effects);
        }
        else if (slotsBeingFreed > 0) {
            slotsBeingFreed -= 1;
        }
        else {
            next = evictOne(next, context, effects);
        }
    }
    return { state: next, effects };
}

function addLoading(
    state: EngineState,
    waiting: WaitingRequest,
    { nowMs }: EngineContext,
    effects: EngineEffect[],
): EngineState {
    const { adapter, version, weights, requestId } = waiting;
    const load = state.lastLoad + 1;
    const instance = formatInstanceName({ adapter, version, fence: state.fence, load });
    effects.push({ kind: "load", instance, adapter, version, weights, fence: state.fence });
    effects.push({ kind: "decision", step: "load", detail: `load ${instance}`, adapter, requestId });
    const added: Instance = {
        instance,
        adapter,
        version,
        status: "loading",
        sinceMs: nowMs,
        lastUsedMs: nowMs,
        rate: decayRate(undefined, 0, nowMs),
        reportedRunning: 0,
        endedSinceReport: 0,
    };
    return { ...state, lastLoad: load, instances: [...state.instances, added] };
}

function evictOne(state: EngineState, context: EngineContext, effects: EngineEffect[]): EngineState {
    const { nowMs, readRate } = context;
    const waitingByModel = new Map<string, number>();
    state.waiting.forEach(entry =>
        waitingByModel.set(formatModel(entry), (waitingByModel.get(formatModel(entry)) ?? 0) + 1)
    );
    const candidates = state.instances.filter(instance => canEvict(state, instance, nowMs)).map(instance => ({
        instance: instance.instance,
        pins: countPins(state, instance),
        ratePerSecond: readRate?.(instance.adapter, instance.version)
            ?? decayRate(instance.rate, 0, nowMs).perSecond,
        lastUsedMs: instance.lastUsedMs,
        waiting: instance.status === "foreign" ? 0 : waitingByModel.get(formatModel(instance)) ?? 0,
    }));
    const { chooseVictim } = context.decisions ?? FULMARCLEAT_DECISIONS;
    const victim = chooseVictim(candidates);
    const isCandidate = candidates.some(candidate => candidate.instance === victim);
    const victimInstance = isCandidate ? state.instances.find(instance => instance.instance === victim) : undefined;
    if (victimInstance === undefined) {
        return state;
    }
    effects.push({ kind: "unload", instance: victimInstance.instance, fence: state.fence });
    effects.push({
        kind: "decision",
        step: "evict",
        detail: `evict ${victimInstance.instance}`,
        adapter: victimInstance.adapter,
        requestId: undefined,
    });
    const evicted: Instance = { ...victimInstance, status: "unloading", sinceMs: nowMs };
    return {
        ...state,
        instances: state.instances.map(
            instance => (instance.instance === victimInstance.instance ? evicted : instance),
        ),
    };
}
