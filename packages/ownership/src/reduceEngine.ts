import { decideAdmission } from "@fulmarcleat/admission";
import { applyReport } from "./applyReport.js";
import type { EngineEffect, EngineStep } from "./engineEffect.js";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Instance, LoadBackoff, Place, Waiting } from "./engineState.js";
import { isUsable } from "./isUsable.js";
import { serveWaiting } from "./serveWaiting.js";

const BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;
const MAX_FAILURES = 3;
const EXPECTED_LOAD_MS = 500;
const NO_EFFECTS: readonly EngineEffect[] = [];

/**
 * Decides what an engine's owner does: grants, refusals, loads and evictions.
 *
 * @param state - The engine as the owner knows it
 * @param message - What happened
 * @param context - Time and the weight store's budget
 * @returns the next state and what to do
 *
 * @example
 * const { state: next, effects } = reduceEngine(state, { kind: "tick" }, { nowMs, loadsAllowed: 1 });
 */
export function reduceEngine(state: EngineState, message: EngineMessage, context: EngineContext): EngineStep {
    const step = handle(state, message, context);
    const served = serveWaiting(step.state, context);
    const done = finishRelease(served.state, message);
    return { state: done.state, effects: [...step.effects, ...served.effects, ...done.effects] };
}

function handle(state: EngineState, message: EngineMessage, context: EngineContext): EngineStep {
    switch (message.kind) {
        case "acquired":
            return keep(acquire(state, message, context));
        case "lost":
            return giveUp(state, "unowned", "the engine has another owner");
        case "release":
            return giveUp(state, "releasing", "the engine's owner is stopping");
        case "ask":
            return admit(state, message.waiting, context);
        case "abandon":
            return keep({ ...state, waiting: state.waiting.filter(waiting => waiting.place !== message.place) });
        case "placeEnd":
            return keep(endPlace(state, message));
        case "loadAnswered":
            return answerLoad(state, message, context);
        case "unloadAnswered":
            return keep(answerUnload(state, message));
        case "report":
            return keep(applyReport(state, message, context));
        case "held":
            return keep(applyHeld(state, message));
        case "hostGone":
            return keep(orphanPlaces(state, message, context));
        case "formerGone":
            return keep(adoptInstances(state, context));
        case "limits":
            return keep({ ...state, limits: message.limits });
        case "tick":
            return keep({
                ...state,
                backoffs: state.backoffs.filter(backoff => backoff.untilMs + MAX_BACKOFF_MS > context.nowMs),
            });
    }
}

function keep(state: EngineState): EngineStep {
    return { state, effects: NO_EFFECTS };
}

function acquire(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "acquired" }>,
    { nowMs }: EngineContext,
): EngineState {
    const isFirst = message.former === "none";
    const formerIsGone = message.former !== "lapsed";
    return {
        ...state,
        phase: "owned",
        fence: message.fence,
        lastLoad: 0,
        instances: [],
        places: [],
        inheritance: isFirst ? undefined : {
            unansweredHosts: message.hosts,
            formerIsGone,
            safeAtMs: nowMs + state.limits.maxRequestMs + message.leaseMs,
        },
    };
}

function giveUp(state: EngineState, phase: "unowned" | "releasing", reason: string): EngineStep {
    const effects = state.waiting.map((waiting): EngineEffect => ({
        kind: "refuse",
        waiting,
        code: "no_owner",
        message: reason,
        retryAfterMs: undefined,
    }));
    const isForgotten = phase === "unowned";
    return {
        state: {
            ...state,
            phase,
            waiting: [],
            instances: isForgotten ? [] : state.instances,
            places: isForgotten ? [] : state.places,
        },
        effects,
    };
}

function finishRelease(state: EngineState, message: EngineMessage): EngineStep {
    const isBusy = state.instances.some(instance => instance.status === "loading" || instance.status === "unloading");
    if (
        state.phase !== "releasing" || isBusy
        || (message.kind !== "release" && message.kind !== "loadAnswered" && message.kind !== "unloadAnswered")
    ) {
        return keep(state);
    }
    return {
        state: { ...state, phase: "unowned", instances: [], places: [] },
        effects: [{ kind: "released", fence: state.fence }],
    };
}

function admit(state: EngineState, waiting: Waiting, context: EngineContext): EngineStep {
    if (state.phase !== "owned") {
        return refuse(state, waiting, "no_owner", "this host does not own the engine", undefined);
    }
    if (state.limits.draining) {
        return refuse(state, waiting, "no_upstream", "the engine is leaving", undefined);
    }
    const backoff = state.backoffs.find(entry =>
        entry.adapter === waiting.adapter && entry.version === waiting.version && entry.untilMs > context.nowMs
    );
    if (backoff !== undefined) {
        return refuse(
            state,
            waiting,
            "load_backoff",
            "the adapter's last load failed",
            backoff.untilMs - context.nowMs,
        );
    }
    const isLoaded = state.instances.some(instance => isUsable(instance, waiting));
    const decision = decideAdmission({
        waiting: state.waiting.length,
        waitingOfCaller: state.waiting.filter(entry => entry.caller === waiting.caller).length,
        queueLimit: state.limits.queueLimit,
        callerQueueLimit: state.limits.callerQueueLimit,
        expectedWaitMs: isLoaded ? 0 : EXPECTED_LOAD_MS,
        waitLeftMs: waiting.deadlineMs - context.nowMs,
    });
    if (decision.kind === "refuse") {
        return refuse(
            state,
            waiting,
            decision.code,
            "the engine's queue can't take the request",
            decision.retryAfterMs,
        );
    }
    return keep({ ...state, waiting: [...state.waiting, waiting] });
}

function refuse(
    state: EngineState,
    waiting: Waiting,
    code: Extract<EngineEffect, { kind: "refuse" }>["code"],
    message: string,
    retryAfterMs: number | undefined,
): EngineStep {
    return { state, effects: [{ kind: "refuse", waiting, code, message, retryAfterMs }] };
}

function endPlace(state: EngineState, message: Extract<EngineMessage, { kind: "placeEnd" }>): EngineState {
    const place = state.places.find(entry => entry.place === message.place);
    if (place === undefined) {
        return { ...state, waiting: state.waiting.filter(waiting => waiting.place !== message.place) };
    }
    const instances = message.use === "not_loaded"
        ? state.instances.filter(instance => instance.instance !== place.instance)
        : state.instances.map(
            instance => (instance.instance === place.instance
                ? { ...instance, endedSinceReport: instance.endedSinceReport + 1 }
                : instance),
        );
    return { ...state, instances, places: state.places.filter(entry => entry !== place) };
}

function answerLoad(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "loadAnswered" }>,
    { nowMs }: EngineContext,
): EngineStep {
    const instance = state.instances.find(entry => entry.instance === message.instance);
    if (instance === undefined || instance.status !== "loading") {
        return keep(state);
    }
    if (message.result === undefined) {
        return keep(replace(state, { ...instance, status: "doubtful", sinceMs: nowMs }));
    }
    if (message.result.kind === "done") {
        return keep({
            ...replace(state, { ...instance, status: "ready", sinceMs: nowMs }),
            backoffs: dropBackoff(state, instance),
        });
    }
    return failLoad(
        { ...state, instances: state.instances.filter(entry => entry !== instance) },
        instance,
        message.result.message,
        nowMs,
    );
}

function failLoad(state: EngineState, instance: Instance, reason: string, nowMs: number): EngineStep {
    const failures = (state.backoffs.find(backoff => isSameAdapter(backoff, instance))?.failures ?? 0) + 1;
    const untilMs = nowMs + Math.min(MAX_BACKOFF_MS, BACKOFF_MS * 2 ** (failures - 1));
    const backoffs = [...dropBackoff(state, instance), {
        adapter: instance.adapter,
        version: instance.version,
        failures,
        untilMs,
    }];
    if (failures < MAX_FAILURES) {
        return keep({ ...state, backoffs });
    }
    const refused = state.waiting.filter(waiting => isSameAdapter(waiting, instance));
    const effects = refused.map((waiting): EngineEffect => ({
        kind: "refuse",
        waiting,
        code: "load_failed",
        message: `the adapter could not be loaded: ${reason}`,
        retryAfterMs: untilMs - nowMs,
    }));
    return {
        state: { ...state, backoffs, waiting: state.waiting.filter(waiting => !refused.includes(waiting)) },
        effects,
    };
}

function answerUnload(state: EngineState, message: Extract<EngineMessage, { kind: "unloadAnswered" }>): EngineState {
    const instance = state.instances.find(entry => entry.instance === message.instance);
    if (instance === undefined || instance.status !== "unloading" || message.result === undefined) {
        return state;
    }
    const isGone = message.result.kind === "done" || message.result.reason === "not_found";
    if (isGone) {
        return { ...state, instances: state.instances.filter(entry => entry !== instance) };
    }
    return replace(state, { ...instance, status: "ready" });
}

function applyHeld(state: EngineState, message: Extract<EngineMessage, { kind: "held" }>): EngineState {
    const kept = state.places.filter(place =>
        place.host !== message.host || place.grantedMs >= message.askedMs
        || message.places.some(held => held.place === place.place)
    );
    const added = message.places.filter(held => !kept.some(place => place.place === held.place)).map((held): Place => ({
        place: held.place,
        instance: held.instance,
        host: message.host,
        incarnation: message.incarnation,
        grantedMs: message.askedMs,
        orphanedMs: undefined,
    }));
    const inheritance = state.inheritance === undefined ? undefined : {
        ...state.inheritance,
        unansweredHosts: state.inheritance.unansweredHosts.filter(host => host !== message.host),
    };
    return { ...state, places: [...kept, ...added], inheritance };
}

function orphanPlaces(
    state: EngineState,
    message: Extract<EngineMessage, { kind: "hostGone" }>,
    { nowMs }: EngineContext,
): EngineState {
    const places = state.places.map(place =>
        place.host === message.host && place.incarnation === message.incarnation && place.orphanedMs === undefined
            ? { ...place, orphanedMs: nowMs }
            : place
    );
    const waiting = state.waiting.filter(entry =>
        entry.host !== message.host || entry.incarnation !== message.incarnation
    );
    return { ...state, places, waiting };
}

function adoptInstances(state: EngineState, { nowMs }: EngineContext): EngineState {
    if (state.inheritance === undefined) {
        return state;
    }
    const instances = state.instances.map(
        instance => (instance.status === "foreign"
            ? { ...instance, status: "ready" as const, sinceMs: nowMs }
            : instance),
    );
    return { ...state, instances, inheritance: { ...state.inheritance, formerIsGone: true } };
}

function replace(state: EngineState, changed: Instance): EngineState {
    return {
        ...state,
        instances: state.instances.map(instance => (instance.instance === changed.instance ? changed : instance)),
    };
}

function dropBackoff(state: EngineState, adapter: Pick<Instance, "adapter" | "version">): readonly LoadBackoff[] {
    return state.backoffs.filter(backoff => !isSameAdapter(backoff, adapter));
}

function isSameAdapter(a: Pick<Instance, "adapter" | "version">, b: Pick<Instance, "adapter" | "version">): boolean {
    return a.adapter === b.adapter && a.version === b.version;
}
