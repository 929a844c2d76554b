import { orderWaiting } from "@fulmarcleat/admission";
import { chooseVictim, decayRate } from "@fulmarcleat/placement";
import { canEvict } from "./canEvict.js";
import { countPins } from "./countPins.js";
import type { EngineEffect, EngineStep } from "./engineEffect.js";
import type { EngineContext } from "./engineMessage.js";
import type { EngineState, Instance, Place, Waiting } from "./engineState.js";
import { formatInstanceName } from "./formatInstanceName.js";
import { isUsable } from "./isUsable.js";

/** Places beyond the batch that urgent requests may take; the engine's priorities run them first. */
const URGENT_EXTRA_PLACES = 4;

/**
 * Grants places, starts loads and evicts, as far as the engine's room and the budget allow.
 *
 * @param state - The engine
 * @param context - Time and budget
 * @returns the next state and what to do
 *
 * @example
 * const step = serveWaiting(state, { nowMs, loadsAllowed: 1 });
 */
export function serveWaiting(state: EngineState, context: EngineContext): EngineStep {
    if (state.phase !== "owned") {
        return { state, effects: [] };
    }
    const expired = refuseExpired(state, context);
    const granted = grantPlaces(expired.state, context);
    const loaded = startLoads(granted.state, context);
    return { state: loaded.state, effects: [...expired.effects, ...granted.effects, ...loaded.effects] };
}

function refuseExpired(state: EngineState, { nowMs }: EngineContext): EngineStep {
    const expired = state.waiting.filter(waiting => waiting.deadlineMs <= nowMs);
    if (expired.length === 0) {
        return { state, effects: [] };
    }
    const effects = expired.map((waiting): EngineEffect => ({
        kind: "refuse",
        waiting,
        code: "deadline_passed",
        message: "no place was free before the deadline",
        retryAfterMs: undefined,
    }));
    return { state: { ...state, waiting: state.waiting.filter(waiting => !expired.includes(waiting)) }, effects };
}

function grantPlaces(state: EngineState, context: EngineContext): EngineStep {
    const effects: EngineEffect[] = [];
    let next = state;
    for (const waiting of orderWaiting(state.waiting, { nowMs: context.nowMs, agingMs: state.limits.agingMs })) {
        const instance = next.instances.find(candidate => isUsable(candidate, waiting));
        if (instance === undefined || !hasRoom(next, waiting)) {
            continue;
        }
        const used: Instance = {
            ...instance,
            lastUsedMs: context.nowMs,
            rate: decayRate(instance.rate, 1, context.nowMs),
        };
        effects.push({
            kind: "grant",
            waiting,
            instance: instance.instance,
            fence: state.fence,
            waitedMs: context.nowMs - waiting.arrivedMs,
            loadStallMs: Math.max(0, instance.sinceMs - waiting.arrivedMs),
            ratePerSecond: used.rate.perSecond,
        });
        next = {
            ...next,
            instances: replaceInstance(next.instances, used),
            places: [...next.places, createPlace(waiting, instance, context)],
            waiting: next.waiting.filter(entry => entry !== waiting),
        };
    }
    return { state: next, effects };
}

function hasRoom(state: EngineState, waiting: Waiting): boolean {
    const extra = waiting.priority === "urgent" ? URGENT_EXTRA_PLACES : 0;
    return state.places.length < state.limits.batchSlots + extra;
}

function createPlace(waiting: Waiting, instance: Instance, { nowMs }: EngineContext): Place {
    const { place, host, incarnation } = waiting;
    return { place, instance: instance.instance, host, incarnation, grantedMs: nowMs, orphanedMs: undefined };
}

function replaceInstance(instances: readonly Instance[], changed: Instance): readonly Instance[] {
    return instances.map(instance => (instance.instance === changed.instance ? changed : instance));
}

function startLoads(state: EngineState, context: EngineContext): EngineStep {
    const effects: EngineEffect[] = [];
    let next = state;
    let allowed = context.loadsAllowed;
    for (const waiting of listUnloaded(state, context)) {
        if (next.instances.length < next.limits.adapterPlaces) {
            if (allowed > 0) {
                allowed -= 1;
                next = addLoading(next, waiting, context, effects);
            }
            continue;
        }
        if (countUnloading(next) >= countWanted(next, context)) {
            break;
        }
        next = evictOne(next, context, effects);
    }
    return { state: next, effects };
}

function listUnloaded(state: EngineState, { nowMs }: EngineContext): readonly Waiting[] {
    const firsts: Waiting[] = [];
    for (const waiting of orderWaiting(state.waiting, { nowMs, agingMs: state.limits.agingMs })) {
        const isHeld = state.instances.some(instance =>
            isSameAdapter(instance, waiting) && instance.status !== "foreign" && instance.status !== "unloading"
        );
        const isListed = firsts.some(first => isSameAdapter(first, waiting));
        const isBackedOff = state.backoffs.some(backoff => isSameAdapter(backoff, waiting) && backoff.untilMs > nowMs);
        if (!isHeld && !isListed && !isBackedOff) {
            firsts.push(waiting);
        }
    }
    return firsts;
}

function isSameAdapter(a: Pick<Waiting, "adapter" | "version">, b: Pick<Waiting, "adapter" | "version">): boolean {
    return a.adapter === b.adapter && a.version === b.version;
}

function countUnloading(state: EngineState): number {
    return state.instances.filter(instance => instance.status === "unloading").length;
}

function countWanted(state: EngineState, context: EngineContext): number {
    return listUnloaded(state, context).length;
}

function addLoading(
    state: EngineState,
    waiting: Waiting,
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
    const residents = state.instances.filter(instance => canEvict(state, instance, context.nowMs)).map(instance => ({
        instance: instance.instance,
        pins: countPins(state, instance),
        ratePerSecond: decayRate(instance.rate, 0, context.nowMs).perSecond,
        lastUsedMs: instance.lastUsedMs,
        waiting: instance.status === "foreign"
            ? 0
            : state.waiting.filter(waiting => isSameAdapter(waiting, instance)).length,
    }));
    const victim = chooseVictim(residents);
    const found = state.instances.find(instance => instance.instance === victim);
    if (found === undefined) {
        return state;
    }
    effects.push({ kind: "unload", instance: found.instance, fence: state.fence });
    effects.push({
        kind: "decision",
        step: "evict",
        detail: `evict ${found.instance}`,
        adapter: found.adapter,
        requestId: undefined,
    });
    return {
        ...state,
        instances: replaceInstance(state.instances, { ...found, status: "unloading", sinceMs: context.nowMs }),
    };
}
