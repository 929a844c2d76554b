import type { Fleet } from "@fulmarcleat/fleet";
import { FLEET_BASE_MODEL } from "@fulmarcleat/fleet";
import type { TraceOptions } from "./createTrace.js";

/** Names of the scenarios. */
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

/** Name of a scenario. */
export type ScenarioName = typeof SCENARIO_NAMES[number];

/** One fault that a scenario brings about. */
export interface ScenarioStep {
    readonly atMs: number;
    run(fleet: Fleet): void | Promise<void>;
}

/** What a scenario changes in the trace, and its faults. */
export interface Scenario {
    readonly trace: Pick<TraceOptions, "shiftAtMs" | "flood">;
    readonly steps: readonly ScenarioStep[];
}

const CALM = { shiftAtMs: undefined, flood: undefined } as const;
const FLOOD_PER_SECOND = 40;
const FAILED_LOADS = 4;

/**
 * Lays out a scenario over the length of a run.
 *
 * @param name - Name of the scenario
 * @param lengthMs - Length of the run, in milliseconds
 * @returns its faults and changes of the trace
 *
 * @example
 * const scenario = planScenario("kv-outage", 20_000);
 */
export function planScenario(name: ScenarioName, lengthMs: number): Scenario {
    const at = (share: number, run: ScenarioStep["run"]): ScenarioStep => ({ atMs: lengthMs * share, run });
    switch (name) {
        case "steady":
            return { trace: CALM, steps: [] };
        case "shift":
            return { trace: { ...CALM, shiftAtMs: lengthMs / 3 }, steps: [] };
        case "cold-start":
            return { trace: CALM, steps: [at(1 / 3, fleet => restart(fleet, 0))] };
        case "load-failures":
            return {
                trace: CALM,
                steps: [
                    at(1 / 4, fleet => fleet.engines[1]?.setFaults({ failLoads: FAILED_LOADS })),
                    at(1 / 2, fleet => fleet.weights.setFaults({ failNext: FAILED_LOADS })),
                ],
            };
        case "kv-outage":
            return {
                trace: CALM,
                steps: [
                    at(1 / 4, fleet => fleet.kv.setFaults({ down: true })),
                    at(3 / 4, fleet => fleet.kv.setFaults({ down: false })),
                ],
            };
        case "silent-connections":
            return {
                trace: CALM,
                steps: [
                    at(1 / 3, fleet => {
                        fleet.engines.slice(0, 2).forEach(engine => engine.setFaults({ silence: true }));
                        fleet.kv.silenceConnections();
                    }),
                ],
            };
        case "leaving-upstream":
            return { trace: CALM, steps: [at(1 / 3, leaveLast)] };
        case "month-end":
            return {
                trace: {
                    ...CALM,
                    flood: { fromMs: lengthMs / 4, toMs: lengthMs / 2, perSecond: FLOOD_PER_SECOND },
                },
                steps: [],
            };
        case "engine-flap":
            return { trace: CALM, steps: [1, 2, 3, 4].map(part => at(part / 6, fleet => restart(fleet, 0))) };
    }
}

function restart(fleet: Fleet, engine: number): void {
    fleet.engines[engine]?.setFaults({ restart: true });
}

async function leaveLast(fleet: Fleet): Promise<void> {
    const entries = fleet.engines.map((engine, at) => ({
        id: engine.id,
        url: engine.url,
        failureDomain: fleet.failureDomains[at % fleet.failureDomains.length],
    }));
    const describe = (name: string, engines: unknown, draining: boolean): unknown => ({
        kind: "Upstream",
        metadata: { name },
        spec: { baseModel: FLEET_BASE_MODEL, fencing: "checked", engines, draining },
    });
    await fleet.apply([
        describe("model-engines", entries.slice(0, -1), false),
        describe("leaving-engines", entries.slice(-1), true),
    ]);
}
