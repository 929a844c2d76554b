import { decideAdmission, estimateLoadWait } from "@fulmarcleat/admission";
import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, AdapterVersion } from "@fulmarcleat/ids";
import { acquireEngine } from "./acquireEngine.js";
import { adoptInstances } from "./adoptInstances.js";
import { applyHeldPlaces } from "./applyHeldPlaces.js";
import { applyLoadResult } from "./applyLoadResult.js";
import { applyReport } from "./applyReport.js";
import { applyUnloadResult } from "./applyUnloadResult.js";
import { countLoadsAhead } from "./countLoadsAhead.js";
import { endPlace } from "./endPlace.js";
import type { EngineEffect, EngineStep } from "./engineEffect.js";
import type { EngineContext, EngineMessage } from "./engineMessage.js";
import type { EngineState, WaitingRequest } from "./engineState.js";
import { formatInstanceName } from "./formatInstanceName.js";
import { giveUpEngine } from "./giveUpEngine.js";
import { isUsable } from "./isUsable.js";
import { orphanPlaces } from "./orphanPlaces.js";
import { refuseWaiting } from "./refuseWaiting.js";
import { retryUnloads } from "./retryUnloads.js";
import { serveWaiting } from "./serveWaiting.js";

/** Time for which the count of failed loads is kept after its backoff has ended, in milliseconds. */
const BACKOFF_RETENTION_MS = 30_000;
/** Assumed duration of one load in the estimate of a request's wait, in milliseconds. */
const EXPECTED_LOAD_MS = 500;
const NO_EFFECTS: readonly EngineEffect[] = [];
const OTHER_OWNER_MESSAGE = "the engine has another owner";
const DRAINING_MESSAGE = "the engine is draining";
/** Adapter and version in the instance name that makes a fence known to the engine; no adapter uses them. */
const FENCE_PLACEHOLDER = { adapter: brandId<AdapterName>("fence"), version: brandId<AdapterVersion>("shown") };

/**
 * Handles one message to an engine's owner and decides on grants, refusals, loads and evictions.
 *
 * @param state - Current state of the engine
 * @param message - Event or answer to handle
 * @param context - Time, load budget and policy
 * @returns the next state and the actions to take
 *
 * @example
 * const { state: next, effects } = reduceEngine(state, { kind: "tick" }, { nowMs, loadsAllowed: 1 });
 */
export function reduceEngine(state: EngineState, message: EngineMessage, context: EngineContext): EngineStep {
    const step = applyMessage(state, message, context);
    const adopted = adoptInstances(step.state, context.nowMs);
    const served = context.isSuspended === true ? refuseAll(adopted) : issueOrders(adopted, context);
    const released = finishRelease(served.state, message);
    return { state: released.state, effects: [...step.effects, ...served.effects, ...released.effects] };
}

function applyMessage(state: EngineState, message: EngineMessage, context: EngineContext): EngineStep {
    switch (message.kind) {
        case "acquired":
            return withoutEffects(acquireEngine(state, message, context));
        case "lost":
            return giveUpEngine(state, "unowned", OTHER_OWNER_MESSAGE);
        case "release":
            return giveUpEngine(state, "releasing", "the engine's owner is stopping");
        case "ask":
            return admit(state, message.waiting, context);
        case "abandon":
            return withoutEffects({
                ...state,
                waiting: state.waiting.filter(waiting => waiting.place !== message.place),
            });
        case "placeEnd":
            return withoutEffects(endPlace(state, message, context));
        case "loadAnswered":
            return isRefusedForOldFence(message, state)
                ? giveUpEngine(state, "unowned", OTHER_OWNER_MESSAGE)
                : applyLoadResult(state, message, context);
        case "unloadAnswered":
            return isRefusedForOldFence(message, state)
                ? giveUpEngine(state, "unowned", OTHER_OWNER_MESSAGE)
                : withoutEffects(applyUnloadResult(state, message, context));
        case "fenceAnswered":
            return applyFenceResult(state, message);
        case "report":
            return showFence(applyReport(state, message, context));
        case "held":
            return withoutEffects(applyHeldPlaces(state, message, context));
        case "hostGone":
            return withoutEffects(orphanPlaces(state, message, context));
        case "formerGone":
            return withoutEffects(markFormerOwnerFailed(state));
        case "limits":
            return applyLimits(state, message);
        case "tick":
            return withoutEffects({
                ...state,
                backoffs: state.backoffs.filter(backoff => backoff.untilMs + BACKOFF_RETENTION_MS > context.nowMs),
            });
    }
}

function withoutEffects(state: EngineState): EngineStep {
    return { state, effects: NO_EFFECTS };
}

function issueOrders(state: EngineState, context: EngineContext): EngineStep {
    const repeated = retryUnloads(state, context);
    const served = serveWaiting(repeated.state, context);
    return { state: served.state, effects: [...repeated.effects, ...served.effects] };
}

function refuseAll(state: EngineState): EngineStep {
    return refuseWaiting(state, state.waiting, {
        code: "no_owner",
        message: "the host can't confirm that it still owns the engine",
        retryAfterMs: undefined,
    });
}

function isRefusedForOldFence(
    message: Extract<EngineMessage, { kind: "loadAnswered" | "unloadAnswered" }>,
    state: EngineState,
): boolean {
    return message.result?.kind === "refused" && message.result.reason === "old_fence"
        && state.instances.some(instance => instance.instance === message.instance);
}

function applyFenceResult(state: EngineState, message: Extract<EngineMessage, { kind: "fenceAnswered" }>): EngineStep {
    const { result, sentMs } = message;
    if (result === undefined || state.engineIncarnation === undefined || sentMs < state.incarnationMs) {
        return withoutEffects(state);
    }
    return result.kind === "refused" && result.reason === "old_fence"
        ? giveUpEngine(state, "unowned", OTHER_OWNER_MESSAGE)
        : withoutEffects({ ...state, isFenceConfirmed: true });
}

function showFence(state: EngineState): EngineStep {
    const isNeeded = state.phase === "owned" && state.limits.fencing === "checked" && !state.isFenceConfirmed;
    const instance = formatInstanceName({ ...FENCE_PLACEHOLDER, fence: state.fence, load: 0 });
    return { state, effects: isNeeded ? [{ kind: "showFence", instance, fence: state.fence }] : NO_EFFECTS };
}

function markFormerOwnerFailed(state: EngineState): EngineState {
    return state.takeover?.former === "lapsed"
        ? { ...state, takeover: { ...state.takeover, former: "gone" } }
        : state;
}

function applyLimits(state: EngineState, message: Extract<EngineMessage, { kind: "limits" }>): EngineStep {
    const next = { ...state, limits: message.limits };
    return message.limits.draining
        ? refuseWaiting(next, next.waiting, { code: "no_upstream", message: DRAINING_MESSAGE, retryAfterMs: undefined })
        : withoutEffects(next);
}

function finishRelease(state: EngineState, message: EngineMessage): EngineStep {
    const hasPendingOrders = state.instances.some(instance =>
        instance.status === "loading" || instance.status === "unloading"
    );
    const isTrigger = message.kind === "release" || message.kind === "loadAnswered"
        || message.kind === "unloadAnswered" || message.kind === "report";
    if (state.phase !== "releasing" || hasPendingOrders || !isTrigger) {
        return withoutEffects(state);
    }
    const holders = [...new Set(state.places.map(place => place.host))];
    return {
        state: { ...state, phase: "unowned", instances: [], places: [], untrackedRuns: [] },
        effects: [{ kind: "released", fence: state.fence, holders }],
    };
}

function admit(state: EngineState, waiting: WaitingRequest, context: EngineContext): EngineStep {
    if (state.phase !== "owned") {
        return refuse(state, waiting, "no_owner", "this host does not own the engine", undefined);
    }
    if (state.limits.draining) {
        return refuse(state, waiting, "no_upstream", DRAINING_MESSAGE, undefined);
    }
    const backoff = state.backoffs.find(entry =>
        entry.adapter === waiting.adapter && entry.version === waiting.version && entry.untilMs > context.nowMs
    );
    if (backoff !== undefined) {
        return refuse(
            state,
            waiting,
            "load_backoff",
            "the adapter's last load failed; it is not loaded again until its backoff ends",
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
            "the request was not admitted to the engine's queue",
            decision.retryAfterMs,
        );
    }
    return withoutEffects({ ...state, waiting: [...state.waiting, waiting] });
}

function refuse(
    state: EngineState,
    waiting: WaitingRequest,
    code: Extract<EngineEffect, { kind: "refuse" }>["code"],
    message: string,
    retryAfterMs: number | undefined,
): EngineStep {
    return refuseWaiting(state, [waiting], { code, message, retryAfterMs });
}
