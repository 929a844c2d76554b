import type { Random } from "@fulmarcleat/ids";
import { CUT_MODES } from "./createEnginePaths.js";
import type { CutMode } from "./createEnginePaths.js";

/** A fault that the soak injects from outside the processes; `host` and `index` count from 0. */
export type Fault =
    | { readonly kind: "kill" | "pause" | "stop" | "reload"; readonly host: number }
    | {
        readonly kind: "store_link" | "engine_link";
        readonly index: number;
        readonly mode: "delayed" | "silent" | "deaf" | "refused";
    }
    | { readonly kind: "store_reset" | "engine_reset"; readonly index: number }
    | { readonly kind: "store_refuses" | "store_compacts" | "store_restores" }
    | { readonly kind: "engine_crash" | "engine_leaves" | "engine_fails"; readonly index: number }
    | { readonly kind: "new_config" | "new_version" | "new_keys" }
    | { readonly kind: "hosts_cut"; readonly hosts: readonly number[]; readonly mode: CutMode }
    | { readonly kind: "engine_silent"; readonly index: number };

/** Name of a kind of fault. */
export type FaultKind = Fault["kind"];

/** A fault and the time at which it is injected. */
export interface PlannedFault {
    /** Start of the fault, in milliseconds since the start of the plan. */
    readonly atMs: number;
    /** Duration in milliseconds, for faults that are removed again. */
    readonly forMs: number;
    readonly fault: Fault;
}

/** Numbers of hosts and engines that a plan covers, and its length in milliseconds. */
export interface FaultRange {
    readonly hosts: number;
    readonly engines: number;
    readonly lengthMs: number;
    /** Kinds of faults that are drawn, each with the same probability; a seed's plan depends on them. */
    readonly kinds: readonly FaultKind[];
}

/** Mean interval between faults, in milliseconds; shorter than most faults, so that they overlap. */
const MEAN_INTERVAL_MS = 700;
/** Longest fault, in milliseconds; longer than the leases of hosts and orders. */
const MAX_FAULT_MS = 4000;
/** Probability that a fault repeats the previous one, so that the same fault occurs several times in a row. */
const REPEAT_PROBABILITY = 0.25;
const LINK_MODES = ["delayed", "silent", "deaf", "refused"] as const;
/** Kinds of faults for which the plans of the short runs and of the regression seeds are made. */
export const BASIC_FAULT_KINDS: readonly FaultKind[] = [
    "kill",
    "pause",
    "stop",
    "reload",
    "store_link",
    "engine_link",
    "store_reset",
    "engine_reset",
    "store_refuses",
    "store_compacts",
    "engine_crash",
    "engine_leaves",
    "engine_fails",
    "new_config",
    "new_version",
];
/** All kinds of faults. */
export const FAULT_KINDS: readonly FaultKind[] = [
    ...BASIC_FAULT_KINDS,
    "hosts_cut",
    "engine_silent",
    "store_restores",
    "new_keys",
];

/**
 * Plans a random sequence of faults; the same seed gives the same plan.
 *
 * @param random - Seeded random number generator
 * @param range - Number of hosts and engines, length of the plan and kinds of faults
 * @returns the faults, sorted by time
 *
 * @example
 * const plan = planFaults(createRandom(7), { hosts: 3, engines: 4, lengthMs: 8000, kinds: FAULT_KINDS });
 */
export function planFaults(random: Random, range: FaultRange): readonly PlannedFault[] {
    const plan: PlannedFault[] = [];
    let previous: Fault | undefined;
    for (let atMs = MEAN_INTERVAL_MS; atMs < range.lengthMs; atMs += MEAN_INTERVAL_MS * 2 * random.next()) {
        const fault = previous !== undefined && random.next() < REPEAT_PROBABILITY
            ? previous
            : drawFault(random, range);
        plan.push({ atMs: Math.round(atMs), forMs: Math.round(MAX_FAULT_MS * random.next()), fault });
        previous = fault;
    }
    return plan;
}

function drawFault(random: Random, { hosts, engines, kinds }: FaultRange): Fault {
    const draw = (count: number): number => Math.floor(random.next() * count);
    const kind = kinds[draw(kinds.length)] ?? "kill";
    switch (kind) {
        case "kill":
        case "pause":
        case "stop":
        case "reload":
            return { kind, host: draw(hosts) };
        case "store_link":
            return { kind, index: draw(hosts), mode: LINK_MODES[draw(LINK_MODES.length)] ?? "silent" };
        case "engine_link":
            return { kind, index: draw(engines), mode: LINK_MODES[draw(LINK_MODES.length)] ?? "silent" };
        case "store_reset":
            return { kind, index: draw(hosts) };
        case "engine_reset":
        case "engine_crash":
        case "engine_leaves":
        case "engine_fails":
        case "engine_silent":
            return { kind, index: draw(engines) };
        case "store_refuses":
        case "store_compacts":
        case "store_restores":
        case "new_config":
        case "new_version":
        case "new_keys":
            return { kind };
        case "hosts_cut": {
            const first = draw(hosts);
            const count = 1 + draw(hosts - 1);
            return {
                kind,
                hosts: Array.from({ length: count }, (value, index) => (first + index) % hosts),
                mode: CUT_MODES[draw(CUT_MODES.length)] ?? "hang",
            };
        }
    }
}
