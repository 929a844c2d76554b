import { decideAdmission, estimateLoadWait } from "@fulmarcleat/admission";
import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, AdapterVersion } from "@fulmarcleat/ids";
import { acquireEngine } from "./acquireEngine.js";
import { adoptInstances } from "./adoptInstances.js";
import { answerLoad } from "./answerLoad.js";
import { answerUnload } from "./answerUnload.js";
import { applyHeld } from "./applyHeld.js";
import { applyReport } from "./applyReport.js";
import { countLoadsAhead } from "./countLoadsAhead.js";
import { endPlace } from "./endPlace.js";
import type { EngineEffect, EngineStep } from "./engineEffect.js";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, Waiting } from "./engineState.js";
import { formatInstanceName } from "./formatInstanceName.js";
import { giveUpEngine } from "./giveUpEngine.js";
import { isUsable } from "./isUsable.js";
import { orphanPlaces } from "./orphanPlaces.js";
import { refuseWaiting } from "./refuseWaiting.js";
import { repeatUnloads } from "./repeatUnloads.js";
import { serveWaiting } from "./serveWaiting.js";

const BACKOFF_KEPT_MS = 30_000;
const EXPECTED_LOAD_MS = 500;
const NO_EFFECTS: readonly EngineEffect[] = [];
const OTHER_OWNER = "the engine has another owner";
const LEAVING = "the engine is leaving";
/** Adapter and version in the name that shows the engine a fence; no adapter has them. */
const FENCE_NAME = { adapter: brandId<AdapterName>("fence"), version: brandId<AdapterVersion>("shown") };

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
    const adopted = adoptInstances(step.state, context.nowMs);
    const served = context.isSuspended === true ? refuseAll(adopted) : act(adopted, context);
    const done = finishRelease(served.state, message);
    return { state: done.state, effects: [...step.effects, ...served.effects, ...done.effects] };
}

function handle(state: EngineState, message: EngineMessage, context: EngineContext): EngineStep {
    switch (message.kind) {
        case "acquired":
            return keep(acquireEngine(state, message, context));
        case "lost":
            return giveUpEngine(state, "unowned", OTHER_OWNER);
        case "release":
            return giveUpEngine(state, "releasing", "the engine's owner is stopping");
        case "ask":
            return admit(state, message.waiting, context);
        case "abandon":
            return keep({ ...state, waiting: state.waiting.filter(waiting => waiting.place !== message.place) });
        case "placeEnd":
            return keep(endPlace(state, message, context));
        case "loadAnswered":
            return isOldFence(message, state)
                ? giveUpEngine(state, "unowned", OTHER_OWNER)
                : answerLoad(state, message, context);
        case "unloadAnswered":
            return isOldFence(message, state)
                ? giveUpEngine(state, "unowned", OTHER_OWNER)
                : keep(answerUnload(state, message, context));
        case "fenceAnswered":
            return answerFence(state, message);
        case "report":
            return showFence(applyReport(state, message, context));
        case "held":
            return keep(applyHeld(state, message, context));
        case "hostGone":
            return keep(orphanPlaces(state, message, context));
        case "formerGone":
            return keep(noteFormerGone(state));
        case "limits":
            return applyLimits(state, message);
        case "tick":
            return keep({
                ...state,
                backoffs: state.backoffs.filter(backoff => backoff.untilMs + BACKOFF_KEPT_MS > context.nowMs),
            });
    }
}

function keep(state: EngineState): EngineStep {
    return { state, effects: NO_EFFECTS };
}

function act(state: EngineState, context: EngineContext): EngineStep {
    const repeated = repeatUnloads(state, context);
    const served = serveWaiting(repeated.state, context);
    return { state: served.state, effects: [...repeated.effects, ...served.effects] };
}

function refuseAll(state: EngineState): EngineStep {
    return refuseWaiting(state, state.waiting, {
        code: "no_owner",
        message: "the host is not sure that it still owns the engine",
        retryAfterMs: undefined,
    });
}

function isOldFence(
    message: Extract<EngineMessage, { kind: "loadAnswered" | "unloadAnswered" }>,
    state: EngineState,
): boolean {
    return message.result?.kind === "refused" && message.result.reason === "old_fence"
        && state.instances.some(instance => instance.instance === message.instance);
}

function answerFence(state: EngineState, message: Extract<EngineMessage, { kind: "fenceAnswered" }>): EngineStep {
    const { result, sentMs } = message;
    if (result === undefined || state.engineIncarnation === undefined || sentMs < state.incarnationMs) {
        return keep(state);
    }
    return result.kind === "refused" && result.reason === "old_fence"
        ? giveUpEngine(state, "unowned", OTHER_OWNER)
        : keep({ ...state, isFenceSeen: true });
}

function showFence(state: EngineState): EngineStep {
    const isNeeded = state.phase === "owned" && state.limits.fencing === "checked" && !state.isFenceSeen;
    const instance = formatInstanceName({ ...FENCE_NAME, fence: state.fence, load: 0 });
    return { state, effects: isNeeded ? [{ kind: "showFence", instance, fence: state.fence }] : NO_EFFECTS };
}

function noteFormerGone(state: EngineState): EngineState {
    return state.inheritance?.former === "lapsed"
        ? { ...state, inheritance: { ...state.inheritance, former: "gone" } }
        : state;
}

function applyLimits(state: EngineState, message: Extract<EngineMessage, { kind: "limits" }>): EngineStep {
    const next = { ...state, limits: message.limits };
    return message.limits.draining
        ? refuseWaiting(next, next.waiting, { code: "no_upstream", message: LEAVING, retryAfterMs: undefined })
        : keep(next);
}

function finishRelease(state: EngineState, message: EngineMessage): EngineStep {
    const isBusy = state.instances.some(instance => instance.status === "loading" || instance.status === "unloading");
    const isTrigger = message.kind === "release" || message.kind === "loadAnswered"
        || message.kind === "unloadAnswered" || message.kind === "report";
    if (state.phase !== "releasing" || isBusy || !isTrigger) {
        return keep(state);
    }
    const holders = [...new Set(state.places.map(place => place.host))];
    return {
        state: { ...state, phase: "unowned", instances: [], places: [], strays: [] },
        effects: [{ kind: "released", fence: state.fence, holders }],
    };
}

function admit(state: EngineState, waiting: Waiting, context: EngineContext): EngineStep {
    if (state.phase !== "owned") {
        return refuse(state, waiting, "no_owner", "this host does not own the engine", undefined);
    }
    if (state.limits.draining) {
        return refuse(state, waiting, "no_upstream", LEAVING, undefined);
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
        expectedWaitMs: isLoaded ? 0 : estimateLoadWait({
            loadsAhead: countLoadsAhead(state, waiting, context.nowMs),
            loadsPerSecond: context.loadsPerSecond ?? Infinity,
            loadMs: EXPECTED_LOAD_MS,
        }),
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
    return refuseWaiting(state, [waiting], { code, message, retryAfterMs });
}
