import type { EngineOrder, OrderReply } from "@fulmarcleat/directory";
import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState, Resident } from "./residencyState.js";

/** Longest lag of an engine's report behind its orders, in milliseconds; the platform states some hundred. */
const REPORT_LAG_MS = 300;
/** Pause after an engine rejected an order with an unexpected status, in milliseconds. */
const REJECTED_PAUSE_MS = 250;

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
            return putResident(state, order.adapter, {
                version: order.version,
                phase: { kind: "loading", readyAtMs: atMs + state.loadMs },
                demand: previous?.demand ?? 1,
                demandAtMs: previous?.demandAtMs ?? atMs,
                sinceMs: atMs + state.loadMs,
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
            return { ...state, residents, seq: state.seq === undefined ? undefined : state.seq + 1 };
        }
    }
}

function putResident(state: ResidencyState, adapter: AdapterName, resident: Resident): ResidencyState {
    return { ...state, residents: new Map(state.residents).set(adapter, resident) };
}
