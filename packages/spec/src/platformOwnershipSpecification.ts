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
    HeldAdapterModel,
    HostModel,
    OrderModel,
    PlatformHost,
    PlatformOwnershipBounds,
    PlatformOwnershipEvent,
    PlatformOwnershipModel,
} from "./platformOwnershipModel.js";
import type { Specification } from "./specification.js";

const STATE_LIMIT = 300_000;
const MODEL = brandId<BaseModel>("base");
const HOSTS: readonly PlatformHost[] = ["a", "b"];
/** Time of every decision, in milliseconds; waits are left out, so that everything may happen at any moment. */
const NOW_MS = 1_000_000;
const NEW_HOST: HostModel = { fence: 0, seq: -1, held: [] };

/**
 * Describes who orders an engine on the platform: two hosts, the store, and an engine whose answers get lost and whose
 * orders come late, over the production decisions.
 *
 * @param bounds - What is explored, and the defect that is switched on
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
            hosts: { a: NEW_HOST, b: NEW_HOST },
            store: { owner: "nobody", revision: 1 },
            engine: { incarnation: 1, seq: 0, highestFence: 0, held: [], used: [] },
            late: [],
            lapses: 0,
            restarts: 0,
            runs: 0,
            orders: 0,
            broken: "",
        },
        listEvents: model => listEvents(model, bounds),
        step: (model, event) => step(model, event, bounds),
        invariants: [
            { name: "an engine holds no more than its places", check: model => model.broken || undefined },
            { name: "no two hosts order by one fencing token", check: findSharedFence },
        ],
        limit: STATE_LIMIT,
    };
}

function findSharedFence({ hosts }: PlatformOwnershipModel): string | undefined {
    return hosts.a.fence !== 0 && hosts.a.fence === hosts.b.fence ? `both use ${hosts.a.fence}` : undefined;
}

function listEvents(
    model: PlatformOwnershipModel,
    bounds: PlatformOwnershipBounds,
): readonly PlatformOwnershipEvent[] {
    const { engine, hosts, late } = model;
    const events: PlatformOwnershipEvent[] = [];
    if (model.broken !== "") {
        return events;
    }
    for (const host of HOSTS) {
        if (mayClaim(model, host, bounds)) {
            events.push({ type: "claim", host });
        }
        if (hosts[host].fence !== 0 && model.orders < bounds.orders) {
            for (const wanted of bounds.adapters) {
                events.push({ type: "act", host, wanted, reply: "arrives" }, {
                    type: "act",
                    host,
                    wanted,
                    reply: "lost",
                });
                if (late.length < bounds.lateOrders) {
                    events.push({ type: "act", host, wanted, reply: "late" });
                }
            }
        }
    }
    late.forEach((order, at) => events.push({ type: "deliver", at }));
    for (const { adapter, isLeaving } of engine.held) {
        if (!isLeaving && !engine.used.includes(adapter) && model.runs < bounds.runs) {
            events.push({ type: "run", adapter });
        }
    }
    engine.used.forEach(adapter => events.push({ type: "end", adapter }));
    if (model.store.owner !== "nobody" && model.lapses < bounds.lapses) {
        events.push({ type: "lapse" });
    }
    if (model.restarts < bounds.restarts) {
        events.push({ type: "restart" });
    }
    return events;
}

/** Whether the production decision lets a host claim, once every wait is over. */
function mayClaim(
    { store, hosts }: PlatformOwnershipModel,
    host: PlatformHost,
    { checksFences }: PlatformOwnershipBounds,
): boolean {
    const claim = store.owner === "nobody" ? undefined : {
        host: brandId<HostId>(store.owner),
        incarnation: brandId<Incarnation>("1"),
        isReleased: false,
        revision: store.revision,
    };
    const decision = decideEngineClaim({
        self: brandId<HostId>(host),
        incarnation: brandId<Incarnation>("1"),
        claim,
        rank: 0,
        wasOwner: hosts[host].fence !== 0,
        unownedMs: NOW_MS,
        isFirstStart: false,
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
            const isStale = bounds.defect === "no report after a claim";
            const former = hosts[event.host];
            const next: HostModel = isStale && former.seq >= 0
                ? { ...former, seq: engine.seq, fence: revision }
                : { ...NEW_HOST, fence: revision };
            return { ...model, store: { owner: event.host, revision }, hosts: { ...hosts, [event.host]: next } };
        }
        case "act":
            return act(model, event, bounds);
        case "deliver": {
            const order = model.late[event.at];
            const late = model.late.filter((other, at) => at !== event.at);
            return order === undefined ? model : take({ ...model, late }, order, bounds).model;
        }
        case "run":
            return {
                ...model,
                runs: model.runs + 1,
                engine: { ...engine, used: [...engine.used, event.adapter].sort() },
            };
        case "end": {
            const used = engine.used.filter(adapter => adapter !== event.adapter);
            const held = engine.held.filter(entry => !(entry.isLeaving && entry.adapter === event.adapter));
            return { ...model, engine: { ...engine, used, held } };
        }
        case "lapse":
            return { ...model, lapses: model.lapses + 1, store: { ...store, owner: "nobody" } };
        case "restart": {
            const restarted = { incarnation: engine.incarnation + 1, seq: 0, highestFence: 0, held: [], used: [] };
            // Hosts see the new start in the engine's entry and begin anew.
            const begun = { a: { ...NEW_HOST, fence: hosts.a.fence }, b: { ...NEW_HOST, fence: hosts.b.fence } };
            return { ...model, restarts: model.restarts + 1, engine: restarted, hosts: begun };
        }
    }
}

function act(
    model: PlatformOwnershipModel,
    { host, wanted, reply }: Extract<PlatformOwnershipEvent, { type: "act" }>,
    bounds: PlatformOwnershipBounds,
): PlatformOwnershipModel {
    const self = model.hosts[host];
    const state = toState(self, wanted, bounds, model.engine.used);
    const next = planOrder(state, NOW_MS);
    const know = (known: ResidencyState, after: PlatformOwnershipModel): PlatformOwnershipModel => ({
        ...after,
        hosts: { ...after.hosts, [host]: fromState(known, self.fence) },
    });
    switch (next.kind) {
        case "wait":
            return model;
        case "read_report":
            return know(applyEngineReport(state, createReport(model), NOW_MS), model);
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
            const isTaken = reply !== "late";
            const result = isTaken ? take(counted, order, bounds) : undefined;
            const after = result?.model ?? { ...counted, late: [...counted.late, order] };
            const answer: OrderReply = reply === "arrives" && result !== undefined
                ? result.reply
                : { kind: bounds.defect === "unanswered orders count" ? "accepted" : "unknown" };
            return know(applyOrderReply(state, next.order, answer, NOW_MS), after);
        }
    }
}

/** The engine carries out an order, as the platform says. */
function take(
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
    const present = engine.held.find(held => held.adapter === order.adapter);
    const others = engine.held.filter(held => held.adapter !== order.adapter);
    const change = (held: readonly HeldAdapterModel[], reply: OrderReply["kind"]) => {
        const sorted = [...held].sort((a, b) => a.adapter < b.adapter ? -1 : 1);
        const broken = sorted.length > bounds.places ? `${order.from} loaded ${order.adapter} beyond the places` : "";
        return {
            model: { ...model, broken, engine: { ...engine, highestFence, seq: engine.seq + 1, held: sorted } },
            reply: { kind: reply } as OrderReply,
        };
    };
    if (order.kind === "load_adapter") {
        return change([...others, { adapter: order.adapter, isLeaving: false }], "accepted");
    }
    return present !== undefined && engine.used.includes(order.adapter)
        ? change([...others, { adapter: order.adapter, isLeaving: true }], "accepted")
        : change(others, "holds_already");
}

function createReport({ engine }: PlatformOwnershipModel): EngineReport {
    const adapters = engine.held.map(({ adapter }) => ({ adapter: brandId<AdapterName>(adapter), version: 1 }));
    const models = [{ model: MODEL, version: 1, adapters }];
    return { models, coming: [], isBusy: false, seq: engine.seq, running: engine.used.length, waiting: 0 };
}

function toState(
    self: HostModel,
    wanted: string,
    bounds: PlatformOwnershipBounds,
    used: readonly string[],
): ResidencyState {
    const want = { version: undefined, dueMs: NOW_MS + 1, sinceMs: NOW_MS, untilMs: NOW_MS + 1 };
    const use = {
        atMs: NOW_MS,
        inFlight: new Map(used.map(adapter => [brandId<AdapterName>(adapter), 1])),
        total: used.length,
        queuedTokens: 0,
    };
    return {
        ...createResidencyState(MODEL, bounds.places),
        seq: self.seq < 0 ? undefined : self.seq,
        modelPhase: self.seq < 0 ? "unknown" : "present",
        residents: new Map(self.held.map(({ adapter, isLeaving }) => [brandId<AdapterName>(adapter), {
            version: 1,
            phase: { kind: isLeaving ? "leaving" : "present" },
            demand: 0,
            demandAtMs: 0,
            sinceMs: 0,
        }])),
        wants: new Map([[brandId<AdapterName>(wanted), want]]),
        uses: new Map([[brandId<HostId>("c"), use]]),
    };
}

function fromState(state: ResidencyState, fence: number): HostModel {
    const held = [...state.residents]
        .map(([adapter, { phase }]) => ({ adapter: String(adapter), isLeaving: phase.kind === "leaving" }))
        .sort((a, b) => a.adapter < b.adapter ? -1 : 1);
    return { fence, seq: state.seq ?? -1, held };
}
