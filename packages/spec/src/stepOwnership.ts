import { brandId } from "@fulmarcleat/ids";
import type {
    AdapterName,
    AdapterVersion,
    CallerName,
    HostId,
    Incarnation,
    InstanceName,
    PlaceId,
    RequestId,
} from "@fulmarcleat/ids";
import { decideClaim } from "@fulmarcleat/ownership";
import type { EngineMessage } from "@fulmarcleat/ownership";
import type { ModelEngine, OwnerName, OwnershipBounds, OwnershipEvent, OwnershipModel } from "./ownershipModel.js";
import { sendToOwner } from "./sendToOwner.js";
import { startRun } from "./startRun.js";
import { stepEngine } from "./stepEngine.js";

/** Duration of one time step in milliseconds, longer than the lag of an engine's report. */
const TIME_STEP_MS = 20_000;
/** Time in milliseconds that is longer than every trace, so that no deadline or lease expires in one. */
const UNREACHED_MS = 3_600_000;
const GATEWAY = brandId<HostId>("gateway");

/**
 * Applies an event, then delivers every order and grant that is not delayed.
 *
 * @param model - State before the event
 * @param event - Event to apply, from `listOwnershipEvents`
 * @param bounds - Bounds of the exploration, with the engine's fencing and the defect
 * @returns the state after the event
 *
 * @example
 * model = stepOwnership(model, { type: "claim" }, bounds);
 */
export function stepOwnership(model: OwnershipModel, event: OwnershipEvent, bounds: OwnershipBounds): OwnershipModel {
    return deliverUndelayed(applyEvent(model, event, bounds), bounds);
}

function deliverUndelayed(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    let next = model;
    while (!next.delayed.orders && next.orders.length > 0) {
        next = deliverOrder(next, { type: "order", at: 0, reply: "arrives" }, bounds);
    }
    while (!next.delayed.grants && next.grants.length > 0) {
        next = deliverGrant(next, { type: "grant", at: 0, isLost: false }, bounds);
    }
    return next;
}

function applyEvent(model: OwnershipModel, event: OwnershipEvent, bounds: OwnershipBounds): OwnershipModel {
    switch (event.type) {
        case "ask":
            return requestPlace(model, event, bounds);
        case "order":
            return deliverOrder(model, event, bounds);
        case "grant":
            return deliverGrant(model, event, bounds);
        case "start":
            return startRequest(model, event.place, bounds);
        case "drop":
            return { ...model, engine: removeRun(model.engine, event.place) };
        case "finish":
            return finishRequest(model, event, bounds);
        case "pause":
            return endSession({ ...countFault(model), owners: setMode(model, "paused") });
        case "cutOff":
            return endSession(countFault(model));
        case "crash":
            return endSession({ ...countFault(model), owners: setMode(model, "gone") });
        case "wake":
            return { ...model, owners: { ...model.owners, a: { ...model.owners.a, mode: "up", isSuspended: true } } };
        case "renew":
            return renewSession(model, bounds);
        case "release":
            return releaseEngine(model, bounds);
        case "claim":
            return claimEngine(model, bounds);
        case "held":
            return reportHeldPlaces(model, event, bounds);
        case "report":
            return readEngineReport(model, event, bounds);
        case "noteReport":
            return { ...countFault(model), staleReport: model.engine };
        case "slowOrders":
            return { ...countFault(model), delayed: { ...model.delayed, orders: true } };
        case "slowGrants":
            return { ...countFault(model), delayed: { ...model.delayed, grants: true } };
        case "restart":
            return restartEngine(model);
        case "gatewayRestart":
            return {
                ...countFault(model),
                gateway: { ...model.gateway, incarnation: 2, fence: 0, pending: [], places: [] },
                grants: [],
            };
        case "kvDown":
            return { ...countFault(model), kv: { ...model.kv, isDown: true } };
        case "kvUp":
            return { ...model, kv: { ...model.kv, isDown: false } };
        case "wait":
            return advanceTime(model, bounds);
    }
}

function countFault(model: OwnershipModel): OwnershipModel {
    return { ...model, faults: model.faults + 1 };
}

function setMode(model: OwnershipModel, mode: "paused" | "gone"): OwnershipModel["owners"] {
    return { ...model.owners, a: { ...model.owners.a, mode } };
}

function endSession(model: OwnershipModel): OwnershipModel {
    return { ...model, kv: { ...model.kv, liveSessions: model.kv.liveSessions.filter(name => name !== "a") } };
}

function requestPlace(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "ask" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const place = brandId<PlaceId>(`p${model.nowMs / TIME_STEP_MS}.${model.requestCount}`);
    const waiting = {
        place,
        requestId: brandId<RequestId>(place),
        adapter: brandId<AdapterName>(event.adapter),
        version: brandId<AdapterVersion>("1"),
        weights: event.adapter,
        caller: brandId<CallerName>("caller"),
        priority: "normal" as const,
        host: GATEWAY,
        incarnation: readIncarnation(model),
        arrivedMs: model.nowMs,
        deadlineMs: UNREACHED_MS,
    };
    const pending = [...model.gateway.pending, place];
    const next = { ...model, requestCount: model.requestCount + 1, gateway: { ...model.gateway, pending } };
    return sendToOwner(next, event.owner, { kind: "ask", waiting }, bounds);
}

function readIncarnation(model: OwnershipModel): Incarnation {
    return brandId<Incarnation>(`gateway-${model.gateway.incarnation}`);
}

function deliverOrder(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "order" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const order = model.orders[event.at];
    if (order === undefined) {
        return model;
    }
    if (event.reply === "late") {
        const orders = model.orders.map((entry, at) => (at === event.at ? { ...entry, isAbandoned: true } : entry));
        return answerOrder({ ...model, orders }, order, undefined, bounds);
    }
    const { engine, result, evictedRuns } = stepEngine(model.engine, order, bounds);
    const next: OwnershipModel = {
        ...model,
        engine,
        orders: model.orders.filter((entry, at) => at !== event.at),
        violation: evictedRuns > 0 ? `${order.from} evicted ${order.instance} in use` : model.violation,
    };
    if (order.isAbandoned) {
        return next;
    }
    return event.reply === "lost"
        ? answerOrder(next, order, undefined, bounds)
        : answerOrder(next, order, result, bounds);
}

function answerOrder(
    model: OwnershipModel,
    order: OwnershipModel["orders"][number],
    result: ReturnType<typeof stepEngine>["result"] | undefined,
    bounds: OwnershipBounds,
): OwnershipModel {
    const { instance, sentMs, from } = order;
    switch (order.kind) {
        case "load":
            return sendToOwner(model, from, { kind: "loadAnswered", instance, result }, bounds);
        case "unload":
            return sendToOwner(model, from, { kind: "unloadAnswered", instance, result }, bounds);
        case "showFence":
            return sendToOwner(model, from, { kind: "fenceAnswered", sentMs, result }, bounds);
    }
}

function deliverGrant(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "grant" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const grant = model.grants[event.at];
    if (grant === undefined) {
        return model;
    }
    const gateway = {
        ...model.gateway,
        pending: model.gateway.pending.filter(place => place !== grant.place),
    };
    const next = { ...model, gateway, grants: model.grants.filter((entry, at) => at !== event.at) };
    if (event.isLost) {
        return next;
    }
    const isStale = grant.fence < gateway.fence && bounds.defect !== "accept a grant of a lower fence";
    return isStale
        ? sendToOwner(next, grant.from, { kind: "placeEnd", place: grant.place, use: "unused" }, bounds)
        : { ...next, gateway: { ...gateway, places: [...gateway.places, { ...grant, isRunning: false }] } };
}

function startRequest(model: OwnershipModel, id: PlaceId, bounds: OwnershipBounds): OwnershipModel {
    const place = model.gateway.places.find(entry => entry.place === id);
    if (place === undefined) {
        return model;
    }
    const others = model.gateway.places.filter(entry => entry !== place);
    const isStale = place.fence < model.gateway.fence && bounds.defect !== "accept a grant of a lower fence";
    const engine = isStale ? undefined : startRun(model.engine, place, bounds);
    if (engine === undefined) {
        const next = { ...model, gateway: { ...model.gateway, places: others } };
        return endPlace(next, id, isStale ? "unused" : "not_loaded", bounds);
    }
    const isWrongAdapter = place.instance.split("@")[0] !== place.adapter;
    return {
        ...model,
        engine,
        gateway: { ...model.gateway, places: [...others, { ...place, isRunning: true }] },
        violation: isWrongAdapter ? `${place.instance} ran for ${place.adapter}` : model.violation,
    };
}

function finishRequest(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "finish" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const places = model.gateway.places.filter(place => place.place !== event.place);
    const next = { ...model, gateway: { ...model.gateway, places }, engine: removeRun(model.engine, event.place) };
    return event.isEndLost ? countFault(next) : endPlace(next, event.place, "finished", bounds);
}

function removeRun(engine: ModelEngine, place: PlaceId): ModelEngine {
    return { ...engine, runs: engine.runs.filter(run => run.place !== place) };
}

function endPlace(
    model: OwnershipModel,
    place: PlaceId,
    outcome: "finished" | "unused" | "not_loaded",
    bounds: OwnershipBounds,
): OwnershipModel {
    const message = { kind: "placeEnd", place, use: outcome } as const;
    return sendToOwner(sendToOwner(model, "a", message, bounds), "b", message, bounds);
}

function renewSession(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    const { a } = model.owners;
    const liveSessions: OwnerName[] = [...new Set<OwnerName>(["a", ...model.kv.liveSessions])].sort();
    const next = { ...model, kv: { ...model.kv, liveSessions } };
    return model.kv.owner === "a" && !model.kv.isReleased
        ? { ...next, owners: { ...model.owners, a: { ...a, isSuspended: false } } }
        : sendToOwner(next, "a", { kind: "lost" }, bounds);
}

function releaseEngine(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    const next = sendToOwner(model, "a", { kind: "release" }, bounds);
    return bounds.defect === "release before every answer" ? { ...next, kv: { ...next.kv, isReleased: true } } : next;
}

function claimEngine(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    const { kv } = model;
    const decision = decideClaim({
        self: brandId<HostId>("b"),
        incarnation: brandId<Incarnation>("b-1"),
        record: {
            host: brandId<HostId>(kv.owner),
            incarnation: brandId<Incarnation>(`${kv.owner}-1`),
            fence: kv.fence,
            released: kv.isReleased,
            nonce: brandId("nonce"),
        },
        ownerSession: kv.liveSessions.includes(kv.owner) ? brandId<Incarnation>(`${kv.owner}-1`) : undefined,
        isPreferred: true,
    });
    if (decision.kind !== "claim") {
        return model;
    }
    const { fence, former } = decision;
    const claimed = { ...model, kv: { ...kv, owner: "b" as const, fence, isReleased: false } };
    const hosts = [GATEWAY, brandId<HostId>("a")];
    const message = { kind: "acquired", fence, former, formerHost: hosts[1], hosts, leaseMs: UNREACHED_MS } as const;
    return sendToOwner(claimed, "b", message, bounds);
}

function reportHeldPlaces(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "held" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const { fence } = model.owners[event.owner].engine;
    const askedMs = model.nowMs + 1;
    if (event.from !== "gateway") {
        const incarnation = brandId<Incarnation>(`${event.from}-1`);
        const next = sendToOwner(model, event.from, { kind: "lost" }, bounds);
        const host = brandId<HostId>(event.from);
        return sendToOwner(next, event.owner, {
            kind: "held",
            host,
            incarnation,
            fence,
            askedMs,
            pending: [],
            places: [],
        }, bounds);
    }
    const { gateway } = model;
    const next = { ...model, gateway: { ...gateway, fence: Math.max(fence, gateway.fence) } };
    return sendToOwner(next, event.owner, {
        kind: "held",
        host: GATEWAY,
        incarnation: readIncarnation(model),
        fence,
        askedMs,
        pending: gateway.pending,
        places: gateway.places.map(({ place, instance }) => ({ place, instance })),
    }, bounds);
}

function readEngineReport(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "report" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const reported = event.isOld ? model.staleReport : model.engine;
    return reported === undefined
        ? model
        : sendToOwner(model, event.owner, { kind: "report", report: toReport(reported), askedMs: model.nowMs }, bounds);
}

function toReport(engine: ModelEngine): Extract<EngineMessage, { kind: "report" }>["report"] {
    return {
        incarnation: brandId<Incarnation>(`engine-${engine.incarnation}`),
        instances: engine.loaded.map(instance => ({
            instance: brandId<InstanceName>(instance),
            running: engine.runs.filter(run => run.instance === instance).length,
        })),
        running: engine.runs.length,
        waiting: 0,
        batchSlots: 4,
        adapterPlaces: 1,
    };
}

function restartEngine(model: OwnershipModel): OwnershipModel {
    const engine = { incarnation: model.engine.incarnation + 1, highestFence: 0, loaded: [], runs: [] };
    return { ...countFault(model), engine };
}

function advanceTime(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    const next = { ...model, nowMs: model.nowMs + TIME_STEP_MS, waits: model.waits + 1, staleReport: undefined };
    return sendToOwner(sendToOwner(next, "a", { kind: "tick" }, bounds), "b", { kind: "tick" }, bounds);
}
