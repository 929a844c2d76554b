import type { EngineOrder, OrderReply } from "@fulmarcleat/directory";
import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState, Resident } from "./residencyState.js";

/** Longest lag of an engine's report behind its orders, in milliseconds; the platform states some hundred. */
const REPORT_LAG_MS = 300;
/** Pause after an engine rejected an order with an unexpected status, in milliseconds. */
const REJECTED_PAUSE_MS = 250;
/** Part of the usual time that a load takes if the engine held the adapter recently; the platform states a tenth. */
const COPY_LOAD_PART = 0.1;
/** Added to that time for the order's way, in milliseconds. */
const COPY_LOAD_MARGIN_MS = 10;
/** Unloaded adapters that an engine is expected to have copies of, for each of its adapter slots. */
const COPIES_PER_SLOT = 3;

/**
 * Applies an engine's reply to an order to its owner's state.
 *
 * @param state - State of the engine that its owner maintains
 * @param order - Order that was sent
 * @param reply - Reply of the engine, or `unknown` if none arrived
 * @param atMs - Current time, in milliseconds
 * @returns the updated state
 *
 * @example
 * const next = applyOrderReply(state, order, { kind: "accepted" }, clock.nowMs());
 */
export function applyOrderReply(
    state: ResidencyState,
    order: EngineOrder,
    reply: OrderReply,
    atMs: number,
): ResidencyState {
    return { ...applyReply(state, order, reply, atMs), isOrderUnanswered: reply.kind === "unknown" };
}

function applyReply(state: ResidencyState, order: EngineOrder, reply: OrderReply, atMs: number): ResidencyState {
    switch (reply.kind) {
        case "accepted":
            return applyAccepted({ ...state, seq: (state.seq ?? 0) + 1 }, order, atMs);
        case "holds_already":
            return applyAlreadyDone(state, order, atMs);
        case "unknown":
            // The order is sent again with the same expected count of orders, so the engine accepts only one of them.
            return state;
        case "conflict":
        case "fenced":
        case "misdirected":
            return { ...state, seq: undefined, reportFromMs: atMs + REPORT_LAG_MS };
        case "rejected":
            return { ...state, seq: undefined, reportFromMs: atMs + REJECTED_PAUSE_MS };
    }
}

function applyAccepted(state: ResidencyState, order: EngineOrder, atMs: number): ResidencyState {
    switch (order.kind) {
        case "load_model":
            return { ...state, modelPhase: "loading", reportFromMs: atMs + REPORT_LAG_MS };
        case "load_adapter": {
            const previous = state.residents.get(order.adapter);
            const isFromCopy = previous === undefined && state.unloaded.has(order.adapter)
                && (order.version === undefined || state.unloaded.get(order.adapter) === order.version);
            const source = isFromCopy ? "copy" : previous === undefined ? "store" : "replacement";
            const durationMs = isFromCopy ? state.loadMs * COPY_LOAD_PART + COPY_LOAD_MARGIN_MS : state.loadMs;
            const readyAtMs = atMs + durationMs;
            return putResident(state, order.adapter, {
                version: order.version,
                phase: { kind: "loading", readyAtMs },
                demand: previous?.demand ?? 1,
                demandAtMs: previous?.demandAtMs ?? atMs,
                sinceMs: readyAtMs,
                load: { orderedAtMs: atMs, source },
            });
        }
        case "unload_adapter": {
            const previous = state.residents.get(order.adapter);
            return previous === undefined
                ? state
                : putResident(
                    { ...state, reportFromMs: atMs + REPORT_LAG_MS },
                    order.adapter,
                    { ...previous, phase: { kind: "leaving" } },
                );
        }
    }
}

/** The engine already satisfies the order: it holds what should be loaded, or unloads an unused adapter at once. */
function applyAlreadyDone(state: ResidencyState, order: EngineOrder, atMs: number): ResidencyState {
    switch (order.kind) {
        case "load_model":
            return { ...state, modelPhase: "present" };
        case "load_adapter": {
            const previous = state.residents.get(order.adapter);
            return putResident(state, order.adapter, {
                version: order.version ?? previous?.version,
                phase: { kind: "present" },
                demand: previous?.demand ?? 1,
                demandAtMs: previous?.demandAtMs ?? atMs,
                sinceMs: atMs,
            });
        }
        case "unload_adapter": {
            const residents = new Map(state.residents);
            residents.delete(order.adapter);
            const unloaded = addUnloaded(state, order.adapter);
            return { ...state, residents, unloaded, seq: state.seq === undefined ? undefined : state.seq + 1 };
        }
    }
}

/** Remembers an unloaded adapter; engines evict the copy first that was used least recently. */
function addUnloaded(state: ResidencyState, adapter: AdapterName): ReadonlyMap<AdapterName, number | undefined> {
    const unloaded = new Map(state.unloaded);
    unloaded.delete(adapter);
    unloaded.set(adapter, state.residents.get(adapter)?.version);
    const oldest = unloaded.keys().next();
    if (unloaded.size > state.slots * COPIES_PER_SLOT && oldest.done !== true) {
        unloaded.delete(oldest.value);
    }
    return unloaded;
}

function putResident(state: ResidencyState, adapter: AdapterName, resident: Resident): ResidencyState {
    return { ...state, residents: new Map(state.residents).set(adapter, resident) };
}
