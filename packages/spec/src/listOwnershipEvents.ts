import type { OwnerName, OwnershipBounds, OwnershipEvent, OwnershipFault, OwnershipModel } from "./ownershipModel.js";

/**
 * Lists everything that can happen, faults among them as far as the bounds allow.
 *
 * @param model - Everything
 * @param bounds - How many asks, faults and steps of time
 * @returns the events
 *
 * @example
 * const events = listOwnershipEvents(model, bounds);
 */
export function listOwnershipEvents(model: OwnershipModel, bounds: OwnershipBounds): readonly OwnershipEvent[] {
    if (model.broken !== undefined) {
        return [];
    }
    const mayFail = model.faults < bounds.faults;
    return [
        ...listAsks(model, bounds),
        ...model.orders.flatMap((order, at) => listOrderEvents(at, order.isAbandoned)),
        ...model.grants.flatMap((grant, at) => listGrantEvents(at)),
        ...listPlaceEvents(model, mayFail && bounds.faultKinds.includes("endLost")),
        ...listOwnerEvents(model),
        ...(mayFail ? listFaults(model).filter(fault => bounds.faultKinds.includes(fault)) : []).map(type => ({
            type,
        })),
        ...(model.kv.isDown ? [{ type: "kvUp" } as const] : []),
        ...(model.waits < bounds.waits ? [{ type: "wait" } as const] : []),
    ];
}

type StateFault = Exclude<OwnershipFault, "endLost">;

const OWNERS: readonly OwnerName[] = ["a", "b"];

function listAsks(model: OwnershipModel, bounds: OwnershipBounds): readonly OwnershipEvent[] {
    if (model.asked >= bounds.asks) {
        return [];
    }
    return OWNERS.filter(owner => mayAct(model, owner)).flatMap(owner =>
        bounds.adapters[owner].map(adapter => ({ type: "ask", owner, adapter } as const))
    );
}

function mayAct(model: OwnershipModel, owner: OwnerName): boolean {
    const { mode, engine } = model.owners[owner];
    return mode === "up" && engine.phase === "owned";
}

function listOrderEvents(at: number, isAbandoned: boolean): readonly OwnershipEvent[] {
    const arrives = { type: "order", at, reply: "arrives" } as const;
    return isAbandoned
        ? [arrives]
        : [arrives, { type: "order", at, reply: "lost" }, { type: "order", at, reply: "late" }];
}

function listGrantEvents(at: number): readonly OwnershipEvent[] {
    return [{ type: "grant", at, isLost: false }, { type: "grant", at, isLost: true }];
}

function listPlaceEvents(model: OwnershipModel, mayLoseEnd: boolean): readonly OwnershipEvent[] {
    const orphans = model.device.runs.filter(run => !model.gateway.places.some(place => place.place === run.place));
    const drops = orphans.map(({ place }): OwnershipEvent => ({ type: "drop", place }));
    const events = model.gateway.places.flatMap(({ place, isRunning }): readonly OwnershipEvent[] => {
        if (!isRunning) {
            return [{ type: "start", place }];
        }
        const ends = { type: "finish", place, isEndLost: false } as const;
        return mayLoseEnd ? [ends, { ...ends, isEndLost: true }] : [ends];
    });
    return [...drops, ...events];
}

function listOwnerEvents(model: OwnershipModel): readonly OwnershipEvent[] {
    const { a, b } = model.owners;
    const { kv } = model;
    const events: OwnershipEvent[] = [];
    if (a.mode === "paused") {
        events.push({ type: "wake" });
    }
    if (a.mode === "up" && !kv.isDown && (a.isSuspended || !kv.liveSessions.includes("a"))) {
        events.push({ type: "renew" });
    }
    if (mayAct(model, "a") && !a.isSuspended && kv.owner === "a" && !kv.isReleased) {
        events.push({ type: "release" });
    }
    if (!kv.isDown && kv.owner === "a") {
        events.push({ type: "claim" });
    }
    for (const owner of OWNERS.filter(name => kv.owner === name && mayAct(model, name))) {
        events.push({ type: "report", owner, isOld: false });
        events.push({ type: "held", from: "gateway", owner });
        if (model.oldReport !== undefined) {
            events.push({ type: "report", owner, isOld: true });
        }
    }
    if (mayAct(model, "b") && a.mode === "up" && b.engine.inheritance?.unansweredHosts.some(host => host === "a")) {
        events.push({ type: "held", from: "a", owner: "b" });
    }
    return events;
}

function listFaults(model: OwnershipModel): readonly StateFault[] {
    const { a } = model.owners;
    const mayLeave = a.mode === "up" && model.kv.owner === "a" && model.kv.liveSessions.includes("a");
    const faults: readonly (StateFault | undefined)[] = [
        "restart",
        model.slow.orders ? undefined : "slowOrders",
        model.slow.grants ? undefined : "slowGrants",
        model.oldReport === undefined ? "noteReport" : undefined,
        model.gateway.incarnation === 1 ? "gatewayRestart" : undefined,
        model.kv.isDown ? undefined : "kvDown",
        ...(mayLeave ? ["pause", "cutOff", "crash"] as const : []),
    ];
    return faults.filter(fault => fault !== undefined);
}
