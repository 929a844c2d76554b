import type { Fleet } from "@fulmarcleat/fleet";
import { FLEET_BASE_MODEL } from "@fulmarcleat/fleet";
import type { TraceOptions } from "./createTrace.js";

/** Names of all scenarios. */
export const SCENARIO_NAMES = [
    "steady",
    "shift",
    "cold-start",
    "load-failures",
    "kv-outage",
    "silent-connections",
    "leaving-upstream",
    "month-end",
    "engine-flap",
] as const;

/** Names a scenario. */
export type ScenarioName = typeof SCENARIO_NAMES[number];

/** Describes one fault that a scenario injects or ends. */
export interface ScenarioStep {
    /** Time from the start of the trace, in milliseconds. */
    readonly atMs: number;
    run(fleet: Fleet): void | Promise<void>;
}

/** Holds the trace options and the faults of a scenario. */
export interface Scenario {
    readonly trace: Pick<TraceOptions, "shiftAtMs" | "flood">;
    readonly steps: readonly ScenarioStep[];
}

const STEADY_LOAD = { shiftAtMs: undefined, flood: undefined } as const;
/** Additional bulk requests per second of the flood. */
const FLOOD_PER_SECOND = 40;
const FAILED_LOADS = 4;

/**
 * Plans the faults and the load of a scenario over the length of a run.
 *
 * @param name - Name of the scenario
 * @param lengthMs - Length of the run, in milliseconds
 * @returns its faults and trace options
 *
 * @example
 * const scenario = planScenario("kv-outage", 20_000);
 */
export function planScenario(name: ScenarioName, lengthMs: number): Scenario {
    const createStep = (share: number, run: ScenarioStep["run"]): ScenarioStep => ({ atMs: lengthMs * share, run });
    switch (name) {
        case "steady":
            return { trace: STEADY_LOAD, steps: [] };
        case "shift":
            return { trace: { ...STEADY_LOAD, shiftAtMs: lengthMs / 3 }, steps: [] };
        case "cold-start":
            return { trace: STEADY_LOAD, steps: [createStep(1 / 3, fleet => restartEngine(fleet, 0))] };
        case "load-failures":
            return {
                trace: STEADY_LOAD,
                steps: [
                    createStep(1 / 4, fleet => fleet.engines[1]?.setFaults({ failLoads: FAILED_LOADS })),
                    createStep(1 / 2, fleet => fleet.weights.setFaults({ failNext: FAILED_LOADS })),
                ],
            };
        case "kv-outage":
            return {
                trace: STEADY_LOAD,
                steps: [
                    createStep(1 / 4, fleet => fleet.kv.setFaults({ down: true })),
                    createStep(3 / 4, fleet => fleet.kv.setFaults({ down: false })),
                ],
            };
        case "silent-connections":
            return {
                trace: STEADY_LOAD,
                steps: [
                    createStep(1 / 3, fleet => {
                        fleet.engines.slice(0, 2).forEach(engine => engine.setFaults({ silence: true }));
                        fleet.kv.silenceConnections();
                    }),
                ],
            };
        case "leaving-upstream":
            return { trace: STEADY_LOAD, steps: [createStep(1 / 3, drainLastEngine)] };
        case "month-end":
            return {
                trace: {
                    ...STEADY_LOAD,
                    flood: { fromMs: lengthMs / 4, toMs: lengthMs / 2, perSecond: FLOOD_PER_SECOND },
                },
                steps: [],
            };
        case "engine-flap":
            return {
                trace: STEADY_LOAD,
                steps: [1, 2, 3, 4].map(part => createStep(part / 6, fleet => restartEngine(fleet, 0))),
            };
    }
}

function restartEngine(fleet: Fleet, engine: number): void {
    fleet.engines[engine]?.setFaults({ restart: true });
}

async function drainLastEngine(fleet: Fleet): Promise<void> {
    const entries = fleet.engines.map((engine, index) => ({
        id: engine.id,
        url: engine.url,
        failureDomain: fleet.failureDomains[index % fleet.failureDomains.length],
    }));
    const describeUpstream = (name: string, engines: unknown, draining: boolean): unknown => ({
        kind: "Upstream",
        metadata: { name },
        spec: { baseModel: FLEET_BASE_MODEL, fencing: "checked", engines, draining },
    });
    await fleet.apply([
        describeUpstream("model-engines", entries.slice(0, -1), false),
        describeUpstream("leaving-engines", entries.slice(-1), true),
    ]);
}
