import type { OwnerName, OwnershipBounds, OwnershipEvent, OwnershipFault, OwnershipModel } from "./ownershipModel.js";

/**
 * Lists every event that can happen in a state, including faults as far as the bounds allow them.
 *
 * @param model - Current state
 * @param bounds - Maximum numbers of requests, faults and time steps, and the faults that may happen
 * @returns the events; none after a violation
 *
 * @example
 * const events = listOwnershipEvents(model, bounds);
 */
export function listOwnershipEvents(model: OwnershipModel, bounds: OwnershipBounds): readonly OwnershipEvent[] {
    if (model.violation !== undefined) {
        return [];
    }
    const isFaultAllowed = model.faults < bounds.faults;
    return [
        ...listPlaceRequests(model, bounds),
        ...model.orders.flatMap((order, at) => listOrderEvents(at, order.isAbandoned)),
        ...model.grants.flatMap((grant, at) => listGrantEvents(at)),
        ...listPlaceEvents(model, isFaultAllowed && bounds.faultKinds.includes("endLost")),
        ...listOwnerEvents(model),
        ...(isFaultAllowed ? listFaults(model).filter(fault => bounds.faultKinds.includes(fault)) : []).map(type => ({
            type,
        })),
        ...(model.kv.isDown ? [{ type: "kvUp" } as const] : []),
        ...(model.waits < bounds.waits ? [{ type: "wait" } as const] : []),
    ];
}

type StateFault = Exclude<OwnershipFault, "endLost">;

const OWNERS: readonly OwnerName[] = ["a", "b"];

function listPlaceRequests(model: OwnershipModel, bounds: OwnershipBounds): readonly OwnershipEvent[] {
    if (model.requestCount >= bounds.requests) {
        return [];
    }
    return OWNERS.filter(owner => isActiveOwner(model, owner)).flatMap(owner =>
        bounds.adapters[owner].map(adapter => ({ type: "ask", owner, adapter } as const))
    );
}

function isActiveOwner(model: OwnershipModel, owner: OwnerName): boolean {
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

function listPlaceEvents(model: OwnershipModel, isEndLossAllowed: boolean): readonly OwnershipEvent[] {
    const orphans = model.engine.runs.filter(run => !model.gateway.places.some(place => place.place === run.place));
    const drops = orphans.map(({ place }): OwnershipEvent => ({ type: "drop", place }));
    const events = model.gateway.places.flatMap(({ place, isRunning }): readonly OwnershipEvent[] => {
        if (!isRunning) {
            return [{ type: "start", place }];
        }
        const finish = { type: "finish", place, isEndLost: false } as const;
        return isEndLossAllowed ? [finish, { ...finish, isEndLost: true }] : [finish];
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
    if (isActiveOwner(model, "a") && !a.isSuspended && kv.owner === "a" && !kv.isReleased) {
        events.push({ type: "release" });
    }
    if (!kv.isDown && kv.owner === "a") {
        events.push({ type: "claim" });
    }
    for (const owner of OWNERS.filter(name => kv.owner === name && isActiveOwner(model, name))) {
        events.push({ type: "report", owner, isOld: false });
        events.push({ type: "held", from: "gateway", owner });
        if (model.staleReport !== undefined) {
            events.push({ type: "report", owner, isOld: true });
        }
    }
    if (
        isActiveOwner(model, "b") && a.mode === "up" && b.engine.takeover?.unansweredHosts.some(host => host === "a")
    ) {
        events.push({ type: "held", from: "a", owner: "b" });
    }
    return events;
}

function listFaults(model: OwnershipModel): readonly StateFault[] {
    const { a } = model.owners;
    const isLiveOwner = a.mode === "up" && model.kv.owner === "a" && model.kv.liveSessions.includes("a");
    const faults: readonly (StateFault | undefined)[] = [
        "restart",
        model.delayed.orders ? undefined : "slowOrders",
        model.delayed.grants ? undefined : "slowGrants",
        model.staleReport === undefined ? "noteReport" : undefined,
        model.gateway.incarnation === 1 ? "gatewayRestart" : undefined,
        model.kv.isDown ? undefined : "kvDown",
        ...(isLiveOwner ? ["pause", "cutOff", "crash"] as const : []),
    ];
    return faults.filter(fault => fault !== undefined);
}
