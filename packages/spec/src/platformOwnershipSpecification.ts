import { joinRevision } from "@fulmarcleat/directory";
import type { EngineReport, OrderReply } from "@fulmarcleat/directory";
import { brandId } from "@fulmarcleat/ids";
import type { AdapterName, BaseModel, HostId, Incarnation } from "@fulmarcleat/ids";
import {
    applyEngineReport,
    applyOrderReply,
    createResidencyState,
    decideEngineClaim,
    planOrder,
} from "@fulmarcleat/residency";
import type { ResidencyState } from "@fulmarcleat/residency";
import type {
    HostModel,
    LoadedAdapterModel,
    OrderModel,
    PlatformHost,
    PlatformOwnershipBounds,
    PlatformOwnershipEvent,
    PlatformOwnershipModel,
} from "./platformOwnershipModel.js";
import type { Specification } from "./specification.js";

/** Maximum number of states to explore. */
const STATE_LIMIT = 300_000;
const MODEL = brandId<BaseModel>("base");
const HOSTS: readonly PlatformHost[] = ["a", "b"];
/** Time of every decision, in milliseconds; it is fixed, so that no wait restricts the order of events. */
const NOW_MS = 1_000_000;
const INITIAL_HOST: HostModel = { fence: 0, seq: -1, loaded: [] };

/**
 * Specifies engine orders on the platform: two hosts, the store, and an engine with lost answers and delayed orders;
 * the hosts decide by the production code.
 *
 * @param bounds - Bounds of the exploration, and the defect that is switched on, if any
 * @returns the specification
 *
 * @example
 * const { violations } = exploreSpecification(platformOwnershipSpecification(bounds));
 */
export function platformOwnershipSpecification(
    bounds: PlatformOwnershipBounds,
): Specification<PlatformOwnershipModel, PlatformOwnershipEvent> {
    return {
        name: `orders on the platform, fences ${bounds.checksFences ? "checked" : "ignored"}`,
        initial: {
            hosts: { a: INITIAL_HOST, b: INITIAL_HOST },
            store: { owner: "nobody", revision: 1, epoch: 0, isRestored: false, copy: undefined },
            engine: { incarnation: 1, seq: 0, highestFence: 0, loaded: [], inUse: [] },
            delayedOrders: [],
            lapses: 0,
            restarts: 0,
            runs: 0,
            orders: 0,
            violation: "",
        },
        listEvents: model => listEvents(model, bounds),
        step: (model, event) => step(model, event, bounds),
        invariants: [
            { name: "an engine holds no more than its places", check: model => model.violation || undefined },
            { name: "no two hosts order by one fencing token", check: findSharedFence },
        ],
        stateLimit: STATE_LIMIT,
    };
}

function findSharedFence({ hosts }: PlatformOwnershipModel): string | undefined {
    return hosts.a.fence !== 0 && hosts.a.fence === hosts.b.fence ? `both use ${hosts.a.fence}` : undefined;
}

function listEvents(
    model: PlatformOwnershipModel,
    bounds: PlatformOwnershipBounds,
): readonly PlatformOwnershipEvent[] {
    const { engine, hosts, delayedOrders } = model;
    const events: PlatformOwnershipEvent[] = [];
    if (model.violation !== "") {
        return events;
    }
    for (const host of HOSTS) {
        if (canClaim(model, host, bounds)) {
            events.push({ type: "claim", host });
        }
        if (hosts[host].fence !== 0 && model.orders < bounds.orders) {
            for (const adapter of bounds.adapters) {
                events.push({ type: "act", host, wanted: adapter, reply: "arrives" }, {
                    type: "act",
                    host,
                    wanted: adapter,
                    reply: "lost",
                });
                if (delayedOrders.length < bounds.delayedOrders) {
                    events.push({ type: "act", host, wanted: adapter, reply: "late" });
                }
            }
        }
    }
    delayedOrders.forEach((order, at) => events.push({ type: "deliver", at }));
    for (const { adapter, isUnloading } of engine.loaded) {
        if (!isUnloading && !engine.inUse.includes(adapter) && model.runs < bounds.runs) {
            events.push({ type: "run", adapter });
        }
    }
    engine.inUse.forEach(adapter => events.push({ type: "end", adapter }));
    if (model.store.owner !== "nobody" && model.lapses < bounds.lapses) {
        events.push({ type: "lapse" });
    }
    if (model.restarts < bounds.restarts) {
        events.push({ type: "restart" });
    }
    if (model.store.epoch < bounds.restores) {
        events.push({ type: model.store.copy === undefined ? "copy" : "restore" });
    }
    return events;
}

/** Checks whether the production code lets a host claim the engine after every waiting time has passed. */
function canClaim(
    { store, hosts }: PlatformOwnershipModel,
    host: PlatformHost,
    { checksFences }: PlatformOwnershipBounds,
): boolean {
    const claim = store.owner === "nobody" ? undefined : {
        host: brandId<HostId>(store.owner),
        incarnation: brandId<Incarnation>("1"),
        isReleased: false,
        hasLostPath: false,
        isRestored: store.isRestored,
        revision: joinRevision(store),
    };
    const decision = decideEngineClaim({
        self: brandId<HostId>(host),
        incarnation: brandId<Incarnation>("1"),
        claim,
        rank: 0,
        wasOwner: hosts[host].fence !== 0,
        isWaitOver: true,
        isPathLost: false,
        mayHandOver: false,
        unownedMs: NOW_MS,
        isNeverOwned: false,
        checksFences,
    });
    return decision.kind === "claim";
}

function step(
    model: PlatformOwnershipModel,
    event: PlatformOwnershipEvent,
    bounds: PlatformOwnershipBounds,
): PlatformOwnershipModel {
    const { engine, hosts, store } = model;
    switch (event.type) {
        case "claim": {
            const revision = store.revision + 1;
            const fence = bounds.defect === "revisions without their epoch"
                ? revision
                : joinRevision({ epoch: store.epoch, revision });
            const isStale = bounds.defect === "no report after a claim";
            const former = hosts[event.host];
            const next: HostModel = isStale && former.seq >= 0
                ? { ...former, seq: engine.seq, fence }
                : { ...INITIAL_HOST, fence };
            const claimed = { ...store, owner: event.host, revision, isRestored: false };
            return { ...model, store: claimed, hosts: { ...hosts, [event.host]: next } };
        }
        case "act":
            return runOwner(model, event, bounds);
        case "deliver": {
            const order = model.delayedOrders[event.at];
            const delayedOrders = model.delayedOrders.filter((other, at) => at !== event.at);
            return order === undefined ? model : executeOrder({ ...model, delayedOrders }, order, bounds).model;
        }
        case "run":
            return {
                ...model,
                runs: model.runs + 1,
                engine: { ...engine, inUse: [...engine.inUse, event.adapter].sort() },
            };
        case "end": {
            const inUse = engine.inUse.filter(adapter => adapter !== event.adapter);
            const loaded = engine.loaded.filter(entry => !(entry.isUnloading && entry.adapter === event.adapter));
            return { ...model, engine: { ...engine, inUse, loaded } };
        }
        case "lapse":
            return { ...model, lapses: model.lapses + 1, store: { ...store, owner: "nobody", isRestored: false } };
        case "copy":
            return { ...model, store: { ...store, copy: { owner: store.owner, revision: store.revision } } };
        case "restore":
            return { ...model, store: restoreStore(store) };
        case "restart": {
            const restarted = { incarnation: engine.incarnation + 1, seq: 0, highestFence: 0, loaded: [], inUse: [] };
            // Hosts detect the restart by the engine's directory entry and reset their view.
            const resetHosts = {
                a: { ...INITIAL_HOST, fence: hosts.a.fence },
                b: { ...INITIAL_HOST, fence: hosts.b.fence },
            };
            return { ...model, restarts: model.restarts + 1, engine: restarted, hosts: resetHosts };
        }
    }
}

/** What hosts know isn't touched: each goes on by its old claim until it orders, or claims anew. */
function restoreStore({ epoch, copy }: PlatformOwnershipModel["store"]): PlatformOwnershipModel["store"] {
    const { owner, revision } = copy ?? { owner: "nobody", revision: 1 };
    return { owner, revision, epoch: epoch + 1, isRestored: owner !== "nobody", copy: undefined };
}

function runOwner(
    model: PlatformOwnershipModel,
    { host, wanted: adapter, reply }: Extract<PlatformOwnershipEvent, { type: "act" }>,
    bounds: PlatformOwnershipBounds,
): PlatformOwnershipModel {
    const self = model.hosts[host];
    const state = toResidencyState(self, adapter, bounds, model.engine.inUse);
    const next = planOrder(state, NOW_MS);
    const updateHost = (nextState: ResidencyState, after: PlatformOwnershipModel): PlatformOwnershipModel => ({
        ...after,
        hosts: { ...after.hosts, [host]: toHostModel(nextState, self.fence) },
    });
    switch (next.kind) {
        case "wait":
            return model;
        case "read_report":
            return updateHost(applyEngineReport(state, createReport(model), NOW_MS), model);
        case "order": {
            if (next.order.kind === "load_model") {
                return model;
            }
            const order: OrderModel = {
                from: host,
                kind: next.order.kind,
                adapter: next.order.adapter,
                fence: self.fence,
                expectedSeq: bounds.defect === "orders without their count" ? -1 : self.seq,
                incarnation: model.engine.incarnation,
            };
            const counted = { ...model, orders: model.orders + 1 };
            const isDelivered = reply !== "late";
            const result = isDelivered ? executeOrder(counted, order, bounds) : undefined;
            const after = result?.model ?? { ...counted, delayedOrders: [...counted.delayedOrders, order] };
            const answer: OrderReply = reply === "arrives" && result !== undefined
                ? result.reply
                : { kind: bounds.defect === "unanswered orders count" ? "accepted" : "unknown" };
            return updateHost(applyOrderReply(state, next.order, answer, NOW_MS), after);
        }
    }
}

/** Carries out an order on the engine by the rules of the platform. */
function executeOrder(
    model: PlatformOwnershipModel,
    order: OrderModel,
    bounds: PlatformOwnershipBounds,
): { readonly model: PlatformOwnershipModel; readonly reply: OrderReply } {
    const { engine } = model;
    if (order.incarnation !== engine.incarnation) {
        return { model, reply: { kind: "misdirected" } };
    }
    if (bounds.checksFences && order.fence < engine.highestFence) {
        return { model, reply: { kind: "fenced" } };
    }
    const highestFence = Math.max(engine.highestFence, order.fence);
    if (order.expectedSeq >= 0 && order.expectedSeq !== engine.seq) {
        return { model: { ...model, engine: { ...engine, highestFence } }, reply: { kind: "conflict" } };
    }
    const loadedEntry = engine.loaded.find(entry => entry.adapter === order.adapter);
    const others = engine.loaded.filter(entry => entry.adapter !== order.adapter);
    const applyOrder = (loaded: readonly LoadedAdapterModel[], reply: OrderReply["kind"]) => {
        const sorted = [...loaded].sort((a, b) => a.adapter < b.adapter ? -1 : 1);
        const violation = sorted.length > bounds.adapterSlots
            ? `${order.from} loaded ${order.adapter} beyond the adapter slots`
            : "";
        return {
            model: { ...model, violation, engine: { ...engine, highestFence, seq: engine.seq + 1, loaded: sorted } },
            reply: { kind: reply } as OrderReply,
        };
    };
    if (order.kind === "load_adapter") {
        return applyOrder([...others, { adapter: order.adapter, isUnloading: false }], "accepted");
    }
    return loadedEntry !== undefined && engine.inUse.includes(order.adapter)
        ? applyOrder([...others, { adapter: order.adapter, isUnloading: true }], "accepted")
        : applyOrder(others, "holds_already");
}

function createReport({ engine }: PlatformOwnershipModel): EngineReport {
    const adapters = engine.loaded.map(({ adapter }) => ({ adapter: brandId<AdapterName>(adapter), version: 1 }));
    const models = [{ model: MODEL, version: 1, adapters }];
    return { models, coming: [], isBusy: false, seq: engine.seq, running: engine.inUse.length, waiting: 0 };
}

function toResidencyState(
    self: HostModel,
    requestedAdapter: string,
    bounds: PlatformOwnershipBounds,
    inUse: readonly string[],
): ResidencyState {
    const loadRequest = { version: undefined, dueMs: NOW_MS + 1, sinceMs: NOW_MS, untilMs: NOW_MS + 1 };
    const usage = {
        atMs: NOW_MS,
        inFlight: new Map(inUse.map(adapter => [brandId<AdapterName>(adapter), 1])),
        total: inUse.length,
        queuedTokens: 0,
    };
    return {
        ...createResidencyState(MODEL, bounds.adapterSlots),
        seq: self.seq < 0 ? undefined : self.seq,
        modelPhase: self.seq < 0 ? "unknown" : "present",
        residents: new Map(self.loaded.map(({ adapter, isUnloading }) => [brandId<AdapterName>(adapter), {
            version: 1,
            phase: { kind: isUnloading ? "leaving" : "present" },
            demand: 0,
            demandAtMs: 0,
            sinceMs: 0,
        }])),
        loadRequests: new Map([[brandId<AdapterName>(requestedAdapter), loadRequest]]),
        usageByHost: new Map([[brandId<HostId>("c"), usage]]),
    };
}

function toHostModel(state: ResidencyState, fence: number): HostModel {
    const loaded = [...state.residents]
        .map(([adapter, { phase }]) => ({ adapter: String(adapter), isUnloading: phase.kind === "leaving" }))
        .sort((a, b) => a.adapter < b.adapter ? -1 : 1);
    return { fence, seq: state.seq ?? -1, loaded };
}
