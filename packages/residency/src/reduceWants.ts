import type { AdapterName, HostId } from "@fulmarcleat/ids";
import { fadeDemand } from "./fadeDemand.js";
import { isNewEnough } from "./isNewEnough.js";
import type { HostUse, ResidencyState, Want } from "./residencyState.js";

/** What hosts tell an engine's owner. */
export type OwnerMessage =
    | { readonly kind: "want"; readonly adapter: AdapterName; readonly want: Want }
    | { readonly kind: "use"; readonly host: HostId; readonly use: HostUse; readonly started: readonly AdapterName[] }
    /** An engine refused a request because it lacks the adapter or its version. */
    | { readonly kind: "missing"; readonly adapter: AdapterName; readonly atMs: number }
    | { readonly kind: "tick"; readonly atMs: number };

/** How long after the expected end of a load its adapter may still be missing, in milliseconds. */
const LATE_LOAD_MS = 1500;

/**
 * Takes a host's word into an owner's knowledge.
 *
 * @param state - The owner's knowledge
 * @param message - The word
 * @returns the owner's knowledge now
 *
 * @example
 * const next = reduceWants(state, { kind: "want", adapter, want });
 */
export function reduceWants(state: ResidencyState, message: OwnerMessage): ResidencyState {
    switch (message.kind) {
        case "want": {
            const former = state.wants.get(message.adapter);
            const want = former === undefined ? message.want : joinWants(former, message.want);
            return { ...state, wants: new Map(state.wants).set(message.adapter, want) };
        }
        case "use":
            return applyUse(state, message);
        case "missing":
            return applyMissing(state, message.adapter, message.atMs);
        case "tick":
            return settle(state, message.atMs);
    }
}

function joinWants(a: Want, b: Want): Want {
    return {
        version: a.version === undefined || b.version === undefined
            ? a.version ?? b.version
            : Math.max(a.version, b.version),
        dueMs: Math.min(a.dueMs, b.dueMs),
        sinceMs: Math.min(a.sinceMs, b.sinceMs),
        untilMs: Math.max(a.untilMs, b.untilMs),
    };
}

function applyUse(state: ResidencyState, message: Extract<OwnerMessage, { kind: "use" }>): ResidencyState {
    const residents = new Map(state.residents);
    for (const adapter of message.started) {
        const resident = residents.get(adapter);
        if (resident !== undefined) {
            const demand = fadeDemand(resident, message.use.atMs) + 1;
            residents.set(adapter, { ...resident, demand, demandAtMs: message.use.atMs });
        }
    }
    return { ...state, residents, uses: new Map(state.uses).set(message.host, message.use) };
}

function applyMissing(state: ResidencyState, adapter: AdapterName, atMs: number): ResidencyState {
    const resident = state.residents.get(adapter);
    if (resident === undefined) {
        return state;
    }
    if (resident.phase.kind === "loading" && atMs < resident.phase.readyAtMs + LATE_LOAD_MS) {
        return state;
    }
    return { ...state, seq: undefined };
}

/** Turns loads whose time is over into adapters that are there, and drops wants that are met or over. */
function settle(state: ResidencyState, atMs: number): ResidencyState {
    const residents = new Map(state.residents);
    for (const [adapter, resident] of residents) {
        if (resident.phase.kind === "loading" && resident.phase.readyAtMs <= atMs) {
            residents.set(adapter, { ...resident, phase: { kind: "present" } });
        }
    }
    const wants = new Map(state.wants);
    for (const [adapter, want] of wants) {
        const resident = residents.get(adapter);
        const isMet = resident?.phase.kind === "present" && isNewEnough(resident.version, want.version);
        if (isMet || want.untilMs <= atMs) {
            wants.delete(adapter);
        }
    }
    return { ...state, residents, wants };
}
