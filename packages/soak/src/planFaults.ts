import type { Random } from "@fulmarcleat/ids";

/** A fault from outside the processes. */
export type Fault =
    | { readonly kind: "kill" | "pause" | "stop" | "reload"; readonly host: number }
    | {
        readonly kind: "store_link" | "engine_link";
        readonly index: number;
        readonly mode: "delayed" | "silent" | "deaf" | "refused";
    }
    | { readonly kind: "store_reset" | "engine_reset"; readonly index: number }
    | { readonly kind: "store_refuses" | "store_compacts" }
    | { readonly kind: "engine_crash" | "engine_leaves" | "engine_fails"; readonly index: number }
    | { readonly kind: "new_config" | "new_version" };

/** A fault with its time. */
export interface PlannedFault {
    readonly atMs: number;
    /** How long it lasts, in milliseconds, where it has an end. */
    readonly forMs: number;
    readonly fault: Fault;
}

/** What a plan may use. */
export interface FaultRange {
    readonly hosts: number;
    readonly engines: number;
    readonly lengthMs: number;
}

/** Usual pause between faults, in milliseconds; below their length, so that they overlap. */
const PAUSE_MS = 700;
/** Longest fault, in milliseconds; above the leases of hosts and orders. */
const LONGEST_MS = 4000;
/** Part of the faults that come again at once, so that they come in series. */
const SERIES_SHARE = 0.25;
const LINK_MODES = ["delayed", "silent", "deaf", "refused"] as const;
const KINDS = [
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
] as const;

/**
 * Plans a random walk over faults; the same seed gives the same plan.
 *
 * @param random - Numbers from a seed
 * @param range - Hosts, engines and time
 * @returns the faults by time
 *
 * @example
 * const plan = planFaults(createRandom(7), { hosts: 3, engines: 4, lengthMs: 8000 });
 */
export function planFaults(random: Random, range: FaultRange): readonly PlannedFault[] {
    const plan: PlannedFault[] = [];
    let former: Fault | undefined;
    for (let atMs = PAUSE_MS; atMs < range.lengthMs; atMs += PAUSE_MS * 2 * random.next()) {
        const fault = former !== undefined && random.next() < SERIES_SHARE ? former : drawFault(random, range);
        plan.push({ atMs: Math.round(atMs), forMs: Math.round(LONGEST_MS * random.next()), fault });
        former = fault;
    }
    return plan;
}

function drawFault(random: Random, { hosts, engines }: FaultRange): Fault {
    const draw = (count: number): number => Math.floor(random.next() * count);
    const kind = KINDS[draw(KINDS.length)] ?? "kill";
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
            return { kind, index: draw(engines) };
        case "store_refuses":
        case "store_compacts":
        case "new_config":
        case "new_version":
            return { kind };
    }
}
