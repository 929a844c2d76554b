import { chooseOrderWait, holdsOrderRight, joinFormerOwners } from "@fulmarcleat/residency";
import type { FormerOwnerReply, JoinOptions } from "@fulmarcleat/residency";
import type {
    OrderRightBounds,
    OrderRightEvent,
    OrderRightModel,
    RightHost,
    RightHostModel,
} from "./orderRightModel.js";
import type { Specification } from "./specification.js";

/** Maximum number of states to explore. */
const STATE_LIMIT = 300_000;
/** Time that passes in one step, in milliseconds. */
const TICK_MS = 2000;
/** Time after one host's order before another host may order, in milliseconds, as the deployments state it. */
const ORDER_LEASE_MS = 3000;
/** Age from which a confirmation is no longer told from an older one, in milliseconds. */
const MAX_AGE_MS = 8000;

const INITIAL_HOST: RightHostModel = {
    fence: 0,
    confirmedAgoMs: MAX_AGE_MS,
    confirmedWallAgoMs: MAX_AGE_MS,
    waitMs: 0,
    formerHosts: [],
    isStoreCut: false,
    isPeerCut: false,
    isSuspended: false,
};

/**
 * Specifies the hand-over between owners of an engine that checks no fences: hosts with clocks at rates of their own are
 * cut off from the store and from each other or suspended at any moment, and decide by the production code.
 *
 * @param bounds - Bounds of the exploration, and the defect that is switched on, if any
 * @returns the specification
 *
 * @example
 * const { violations } = exploreSpecification(orderRightSpecification(bounds));
 */
export function orderRightSpecification(bounds: OrderRightBounds): Specification<OrderRightModel, OrderRightEvent> {
    return {
        name: "right to order without fences",
        initial: {
            hosts: { a: INITIAL_HOST, b: INITIAL_HOST, c: INITIAL_HOST },
            store: { owner: "nobody", revision: 1, lapsed: [], wasWaiting: false },
            engine: { host: "nobody", fence: 0, agoMs: ORDER_LEASE_MS },
            claims: 0,
            violation: "",
        },
        listEvents: model => listEvents(model, bounds),
        step: (model, event) => step(model, event, bounds),
        invariants: [
            { name: "hosts order one after the other", check: model => model.violation || undefined },
        ],
        stateLimit: STATE_LIMIT,
    };
}

function listEvents(model: OrderRightModel, bounds: OrderRightBounds): readonly OrderRightEvent[] {
    if (model.violation !== "") {
        return [];
    }
    const count = (isFaulty: (host: RightHostModel) => boolean): number =>
        bounds.hosts.filter(name => isFaulty(model.hosts[name])).length;
    const cuts = count(host => host.isStoreCut) + count(host => host.isPeerCut);
    const events: OrderRightEvent[] = [{ type: "tick" }];
    if (model.store.owner !== "nobody") {
        events.push({ type: "lapse" });
    }
    for (const name of bounds.hosts) {
        const host = model.hosts[name];
        if (host.isStoreCut || host.isPeerCut || host.isSuspended) {
            events.push({ type: "heal", host: name });
        }
        if (host.isSuspended) {
            continue;
        }
        if (!host.isStoreCut) {
            events.push({ type: "confirm", host: name });
            if (model.store.owner === "nobody" && model.claims < bounds.claims) {
                events.push({ type: "claim", host: name });
            }
        }
        if (mayOrder(host, bounds)) {
            events.push({ type: "order", host: name });
        }
        if (host.waitMs > 0 && host.formerHosts.length > 0) {
            events.push({ type: "ask", host: name });
        }
        if (cuts < bounds.cuts) {
            events.push({ type: "cut_store", host: name }, { type: "cut_peers", host: name });
        }
        if (host.fence !== 0 && count(other => other.isSuspended) < bounds.suspended) {
            events.push({ type: "suspend", host: name });
        }
    }
    return events;
}

function mayOrder(host: RightHostModel, bounds: OrderRightBounds): boolean {
    return host.fence !== 0 && host.waitMs <= 0
        && (bounds.defect === "a right without an end" || hasRight(host, bounds));
}

function hasRight({ confirmedAgoMs, confirmedWallAgoMs }: RightHostModel, { defect }: OrderRightBounds): boolean {
    const wallMs = defect === "a right by the monotonic clock alone" ? confirmedAgoMs : confirmedWallAgoMs;
    return holdsOrderRight({ nowMs: 0, wallMs: 0 }, { nowMs: confirmedAgoMs, wallMs });
}

function step(model: OrderRightModel, event: OrderRightEvent, bounds: OrderRightBounds): OrderRightModel {
    switch (event.type) {
        case "tick":
            return tick(model, bounds);
        case "lapse":
            return { ...model, store: lapse(model, bounds) };
        case "confirm":
            return updateHost(model, event.host, confirm(model, event.host));
        case "claim":
            return claim(model, event.host, bounds);
        case "ask":
            return askAgain(model, event.host, bounds);
        case "order":
            return order(model, event.host);
        case "cut_store":
            return updateHost(model, event.host, { isStoreCut: true });
        case "cut_peers":
            return updateHost(model, event.host, { isPeerCut: true });
        case "suspend":
            return updateHost(model, event.host, { isSuspended: true });
        case "heal":
            return updateHost(model, event.host, { isStoreCut: false, isPeerCut: false, isSuspended: false });
    }
}

function updateHost(model: OrderRightModel, name: RightHost, changes: Partial<RightHostModel>): OrderRightModel {
    const host = { ...model.hosts[name], ...changes };
    // A host without a claim orders nothing, whatever it has known before.
    const normalized = host.fence === 0
        ? { ...INITIAL_HOST, isStoreCut: host.isStoreCut, isPeerCut: host.isPeerCut, isSuspended: host.isSuspended }
        : host;
    return { ...model, hosts: { ...model.hosts, [name]: normalized } };
}

function tick(model: OrderRightModel, bounds: OrderRightBounds): OrderRightModel {
    const agoMs = Math.min(ORDER_LEASE_MS, model.engine.agoMs + TICK_MS);
    return bounds.hosts.reduce((next, name) => {
        const host = next.hosts[name];
        const passedMs = TICK_MS * bounds.clockRates[name];
        const ownMs = host.isSuspended ? 0 : passedMs;
        return updateHost(next, name, {
            confirmedAgoMs: Math.min(MAX_AGE_MS, host.confirmedAgoMs + ownMs),
            confirmedWallAgoMs: Math.min(MAX_AGE_MS, host.confirmedWallAgoMs + passedMs),
            waitMs: Math.max(0, host.waitMs - ownMs),
        });
    }, { ...model, engine: { ...model.engine, agoMs } });
}

/** Ends the present claim; those that may still order are its owner and, while that one waits, those before it. */
function lapse({ store, hosts }: OrderRightModel, { defect }: OrderRightBounds): OrderRightModel["store"] {
    if (store.owner === "nobody") {
        return store;
    }
    const { waitMs, formerHosts } = hosts[store.owner];
    const isForgotten = defect === "the owner before the last is forgotten" || waitMs <= 0;
    const lapsed = [...new Set([store.owner, ...(isForgotten ? [] : formerHosts)])].sort();
    return {
        ...store,
        owner: "nobody",
        lapsed,
        wasWaiting: waitMs > 0 && defect !== "the last owner's wait is forgotten",
    };
}

/** What a host learns when the store answers its watch: whether the claim is still its own. */
function confirm({ store, hosts }: OrderRightModel, name: RightHost): Partial<RightHostModel> {
    const isOwner = store.owner === name && hosts[name].fence === store.revision;
    return isOwner ? { confirmedAgoMs: 0, confirmedWallAgoMs: 0 } : { fence: 0 };
}

/** Asks hosts whether they may still order; those that may not stop for good. */
function ask(
    model: OrderRightModel,
    from: RightHost,
    asked: readonly RightHost[],
    options: JoinOptions,
    fence: number | undefined,
    bounds: OrderRightBounds,
): { readonly model: OrderRightModel; readonly reply: FormerOwnerReply<RightHost> } {
    const replies: FormerOwnerReply<RightHost>[] = [];
    let next = model;
    for (const name of asked) {
        const host = next.hosts[name];
        if (name !== from && (host.isPeerCut || host.isSuspended || next.hosts[from].isPeerCut)) {
            replies.push({ kind: "unknown" });
            continue;
        }
        if (name !== from && host.fence !== 0 && fence === undefined && hasRight(host, bounds)) {
            replies.push({ kind: "holding", holder: name });
            continue;
        }
        const lastOrderAgoMs = next.engine.host === name ? next.engine.agoMs : ORDER_LEASE_MS;
        replies.push({ kind: "stopped", lastOrderAgoMs });
        if (bounds.defect !== "stopped owners go on" && (fence === undefined || host.fence < fence)) {
            next = updateHost(next, name, { fence: 0 });
        }
    }
    return { model: next, reply: joinFormerOwners(replies, options) };
}

function claim(model: OrderRightModel, name: RightHost, bounds: OrderRightBounds): OrderRightModel {
    const { store } = model;
    const { model: next, reply } = store.lapsed.length === 0
        ? { model, reply: { kind: "stopped", lastOrderAgoMs: ORDER_LEASE_MS } as const }
        : ask(model, name, store.lapsed, store, undefined, bounds);
    if (reply.kind === "holding") {
        return next;
    }
    const revision = store.revision + 1;
    const isHasty = bounds.defect === "no wait for a silent owner";
    const former = isHasty && reply.kind === "unknown" ? { kind: "stopped", lastOrderAgoMs: 0 } as const : reply;
    const claimed = updateHost(next, name, {
        fence: revision,
        confirmedAgoMs: 0,
        confirmedWallAgoMs: 0,
        waitMs: chooseOrderWait(former, ORDER_LEASE_MS),
        formerHosts: reply.kind === "unknown" ? store.lapsed.filter(host => host !== name) : [],
    });
    return { ...claimed, store: { owner: name, revision, lapsed: [], wasWaiting: false }, claims: model.claims + 1 };
}

function askAgain(model: OrderRightModel, name: RightHost, bounds: OrderRightBounds): OrderRightModel {
    const { fence, formerHosts, waitMs } = model.hosts[name];
    const { model: next, reply } = ask(model, name, formerHosts, { wasWaiting: false }, fence, bounds);
    return reply.kind === "stopped"
        ? updateHost(next, name, {
            waitMs: Math.min(waitMs, chooseOrderWait(reply, ORDER_LEASE_MS)),
            formerHosts: [],
        })
        : next;
}

function order(model: OrderRightModel, name: RightHost): OrderRightModel {
    const { engine } = model;
    const { fence } = model.hosts[name];
    const isOther = engine.host !== "nobody" && engine.host !== name;
    const violation = isOther && engine.agoMs < ORDER_LEASE_MS
        ? `${name} orders ${engine.agoMs} ms after ${engine.host}`
        : fence < engine.fence
        ? `${name} orders under ${fence} after ${engine.fence}`
        : "";
    return { ...model, violation, engine: { host: name, fence, agoMs: 0 } };
}
