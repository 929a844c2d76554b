import type { EngineReport, HeldAdapter } from "@fulmarcleat/directory";
import type { AdapterName } from "@fulmarcleat/ids";
import type { ResidencyState, Resident } from "./residencyState.js";

/** Interval between two reports while a model is loading, in milliseconds. */
const MODEL_POLL_MS = 200;

/**
 * Applies an engine's report to its owner's state. The report replaces assumptions about unanswered orders.
 *
 * @param state - State of the engine that its owner maintains
 * @param report - Report of the engine about itself
 * @param atMs - Current time, in milliseconds
 * @returns the updated state
 *
 * @example
 * const next = applyEngineReport(state, report, clock.nowMs());
 */
export function applyEngineReport(state: ResidencyState, report: EngineReport, atMs: number): ResidencyState {
    const model = report.models.find(held => held.model === state.model);
    const modelPhase = model !== undefined ? "present" : report.isBusy ? "loading" : "absent";
    if (state.modelPhase === "loading" && modelPhase === "absent" && report.seq < (state.seq ?? 0)) {
        return { ...state, reportFromMs: atMs + MODEL_POLL_MS };
    }
    const residents = new Map<AdapterName, Resident>();
    const addResident = (held: HeldAdapter, phase: Resident["phase"]): void => {
        const previous = state.residents.get(held.adapter);
        residents.set(held.adapter, {
            version: held.version,
            phase,
            demand: previous?.demand ?? 0,
            demandAtMs: previous?.demandAtMs ?? atMs,
            sinceMs: previous?.sinceMs ?? atMs,
            load: previous?.load,
        });
    };
    model?.adapters.forEach(held => addResident(held, { kind: "present" }));
    report.coming.forEach(held => addResident(held, { kind: "loading", readyAtMs: atMs + state.loadMs / 2 }));
    return { ...state, seq: report.seq, modelPhase, residents, reportFromMs: atMs + MODEL_POLL_MS };
}
