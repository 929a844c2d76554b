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
import type { ModelDevice, OwnerName, OwnershipBounds, OwnershipEvent, OwnershipModel } from "./ownershipModel.js";
import { sendToOwner } from "./sendToOwner.js";
import { startRun } from "./startRun.js";
import { stepDevice } from "./stepDevice.js";

const STEP_MS = 20_000;
const LONGEST_MS = 3_600_000;
const GATEWAY = brandId<HostId>("gateway");

/**
 * Lets one thing happen.
 *
 * @param model - Everything
 * @param event - What happens
 * @param bounds - Engine and defect
 * @returns everything after it
 *
 * @example
 * model = stepOwnership(model, { type: "claim" }, bounds);
 */
export function stepOwnership(model: OwnershipModel, event: OwnershipEvent, bounds: OwnershipBounds): OwnershipModel {
    return deliverAtOnce(handle(model, event, bounds), bounds);
}

function deliverAtOnce(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    let next = model;
    while (!next.slow.orders && next.orders.length > 0) {
        next = deliverOrder(next, { type: "order", at: 0, reply: "arrives" }, bounds);
    }
    while (!next.slow.grants && next.grants.length > 0) {
        next = deliverGrant(next, { type: "grant", at: 0, isLost: false }, bounds);
    }
    return next;
}

function handle(model: OwnershipModel, event: OwnershipEvent, bounds: OwnershipBounds): OwnershipModel {
    switch (event.type) {
        case "ask":
            return ask(model, event, bounds);
        case "order":
            return deliverOrder(model, event, bounds);
        case "grant":
            return deliverGrant(model, event, bounds);
        case "start":
            return start(model, event.place, bounds);
        case "drop":
            return { ...model, device: dropRun(model.device, event.place) };
        case "finish":
            return finish(model, event, bounds);
        case "pause":
            return withoutSession({ ...countFault(model), owners: setMode(model, "paused") });
        case "cutOff":
            return withoutSession(countFault(model));
        case "crash":
            return withoutSession({ ...countFault(model), owners: setMode(model, "gone") });
        case "wake":
            return { ...model, owners: { ...model.owners, a: { ...model.owners.a, mode: "up", isSuspended: true } } };
        case "renew":
            return renew(model, bounds);
        case "release":
            return release(model, bounds);
        case "claim":
            return claim(model, bounds);
        case "held":
            return answerHeld(model, event, bounds);
        case "report":
            return report(model, event, bounds);
        case "noteReport":
            return { ...countFault(model), oldReport: model.device };
        case "slowOrders":
            return { ...countFault(model), slow: { ...model.slow, orders: true } };
        case "slowGrants":
            return { ...countFault(model), slow: { ...model.slow, grants: true } };
        case "restart":
            return restart(model);
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
            return wait(model, bounds);
    }
}

function countFault(model: OwnershipModel): OwnershipModel {
    return { ...model, faults: model.faults + 1 };
}

function setMode(model: OwnershipModel, mode: "paused" | "gone"): OwnershipModel["owners"] {
    return { ...model.owners, a: { ...model.owners.a, mode } };
}

function withoutSession(model: OwnershipModel): OwnershipModel {
    return { ...model, kv: { ...model.kv, liveSessions: model.kv.liveSessions.filter(name => name !== "a") } };
}

function ask(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "ask" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const place = brandId<PlaceId>(`p${model.nowMs / STEP_MS}.${model.asked}`);
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
        deadlineMs: LONGEST_MS,
    };
    const pending = [...model.gateway.pending, place];
    const next = { ...model, asked: model.asked + 1, gateway: { ...model.gateway, pending } };
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
    const { device, result, evicted } = stepDevice(model.device, order, bounds);
    const next: OwnershipModel = {
        ...model,
        device,
        orders: model.orders.filter((entry, at) => at !== event.at),
        broken: evicted > 0 ? `${order.from} evicted ${order.instance} in use` : model.broken,
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
    result: ReturnType<typeof stepDevice>["result"] | undefined,
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
    const isOld = grant.fence < gateway.fence && bounds.defect !== "accept a grant of a lower fence";
    return isOld
        ? sendToOwner(next, grant.from, { kind: "placeEnd", place: grant.place, use: "unused" }, bounds)
        : { ...next, gateway: { ...gateway, places: [...gateway.places, { ...grant, isRunning: false }] } };
}

function start(model: OwnershipModel, id: PlaceId, bounds: OwnershipBounds): OwnershipModel {
    const place = model.gateway.places.find(entry => entry.place === id);
    if (place === undefined) {
        return model;
    }
    const others = model.gateway.places.filter(entry => entry !== place);
    const isOld = place.fence < model.gateway.fence && bounds.defect !== "accept a grant of a lower fence";
    const device = isOld ? undefined : startRun(model.device, place, bounds);
    if (device === undefined) {
        const next = { ...model, gateway: { ...model.gateway, places: others } };
        return endAtOwners(next, id, isOld ? "unused" : "not_loaded", bounds);
    }
    const isWrong = place.instance.split("@")[0] !== place.adapter;
    return {
        ...model,
        device,
        gateway: { ...model.gateway, places: [...others, { ...place, isRunning: true }] },
        broken: isWrong ? `${place.instance} ran for ${place.adapter}` : model.broken,
    };
}

function finish(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "finish" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const places = model.gateway.places.filter(place => place.place !== event.place);
    const next = { ...model, gateway: { ...model.gateway, places }, device: dropRun(model.device, event.place) };
    return event.isEndLost ? countFault(next) : endAtOwners(next, event.place, "finished", bounds);
}

function dropRun(device: ModelDevice, place: PlaceId): ModelDevice {
    return { ...device, runs: device.runs.filter(run => run.place !== place) };
}

function endAtOwners(
    model: OwnershipModel,
    place: PlaceId,
    use: "finished" | "unused" | "not_loaded",
    bounds: OwnershipBounds,
): OwnershipModel {
    const message = { kind: "placeEnd", place, use } as const;
    return sendToOwner(sendToOwner(model, "a", message, bounds), "b", message, bounds);
}

function renew(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    const { a } = model.owners;
    const liveSessions: OwnerName[] = [...new Set<OwnerName>(["a", ...model.kv.liveSessions])].sort();
    const next = { ...model, kv: { ...model.kv, liveSessions } };
    return model.kv.owner === "a" && !model.kv.isReleased
        ? { ...next, owners: { ...model.owners, a: { ...a, isSuspended: false } } }
        : sendToOwner(next, "a", { kind: "lost" }, bounds);
}

function release(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    const next = sendToOwner(model, "a", { kind: "release" }, bounds);
    return bounds.defect === "release before every answer" ? { ...next, kv: { ...next.kv, isReleased: true } } : next;
}

function claim(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
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
    const message = { kind: "acquired", fence, former, formerHost: hosts[1], hosts, leaseMs: LONGEST_MS } as const;
    return sendToOwner(claimed, "b", message, bounds);
}

function answerHeld(
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

function report(
    model: OwnershipModel,
    event: Extract<OwnershipEvent, { type: "report" }>,
    bounds: OwnershipBounds,
): OwnershipModel {
    const shown = event.isOld ? model.oldReport : model.device;
    return shown === undefined
        ? model
        : sendToOwner(model, event.owner, { kind: "report", report: toReport(shown), askedMs: model.nowMs }, bounds);
}

function toReport(device: ModelDevice): Extract<EngineMessage, { kind: "report" }>["report"] {
    return {
        incarnation: brandId<Incarnation>(`engine-${device.incarnation}`),
        instances: device.loaded.map(instance => ({
            instance: brandId<InstanceName>(instance),
            running: device.runs.filter(run => run.instance === instance).length,
        })),
        running: device.runs.length,
        waiting: 0,
        batchSlots: 4,
        adapterPlaces: 1,
    };
}

function restart(model: OwnershipModel): OwnershipModel {
    const device = { incarnation: model.device.incarnation + 1, highestFence: 0, loaded: [], runs: [] };
    return { ...countFault(model), device };
}

function wait(model: OwnershipModel, bounds: OwnershipBounds): OwnershipModel {
    const next = { ...model, nowMs: model.nowMs + STEP_MS, waits: model.waits + 1, oldReport: undefined };
    return sendToOwner(sendToOwner(next, "a", { kind: "tick" }, bounds), "b", { kind: "tick" }, bounds);
}
