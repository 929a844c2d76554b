import type { EngineOrder, OrderReply } from "@fulmarcleat/directory";
import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState, Resident } from "./residencyState.js";

/** How far an engine's report may lag behind its orders, in milliseconds; the platform states some hundred. */
const REPORT_LAG_MS = 300;
/** Pause after an engine refused an order for another reason, in milliseconds. */
const REJECTED_PAUSE_MS = 250;

/**
 * Takes an engine's answer to an order into its owner's knowledge.
 *
 * @param state - The owner's knowledge
 * @param order - The order
 * @param reply - The engine's answer
 * @param atMs - Time now, in milliseconds
 * @returns the owner's knowledge now
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
            return applyHolds(state, order, atMs);
        case "unknown":
            // Given again on the same count of orders, it can't take effect twice: the engine takes one of them.
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
            const former = state.residents.get(order.adapter);
            return putResident(state, order.adapter, {
                version: order.version,
                phase: { kind: "loading", readyAtMs: atMs + state.loadMs },
                demand: former?.demand ?? 1,
                demandAtMs: former?.demandAtMs ?? atMs,
                sinceMs: atMs + state.loadMs,
            });
        }
        case "unload_adapter": {
            const former = state.residents.get(order.adapter);
            return former === undefined
                ? state
                : putResident(
                    { ...state, reportFromMs: atMs + REPORT_LAG_MS },
                    order.adapter,
                    { ...former, phase: { kind: "leaving" } },
                );
        }
    }
}

/** The engine takes a load of what it holds, and an unload of what nobody uses, at once. */
function applyHolds(state: ResidencyState, order: EngineOrder, atMs: number): ResidencyState {
    switch (order.kind) {
        case "load_model":
            return { ...state, modelPhase: "present" };
        case "load_adapter": {
            const former = state.residents.get(order.adapter);
            return putResident(state, order.adapter, {
                version: order.version ?? former?.version,
                phase: { kind: "present" },
                demand: former?.demand ?? 1,
                demandAtMs: former?.demandAtMs ?? atMs,
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
