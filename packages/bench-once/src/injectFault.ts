import type { Fleet } from "@fulmarcleat/fleet";
import type { Random } from "@fulmarcleat/ids";

/** Names of the injected faults; each lasts until the next one. */
const FAULTS = [
    "none",
    "lost KV replies",
    "lost KV requests",
    "slow KV",
    "KV down",
    "cut streams",
    "cut streams for good",
    "silent engines",
    "refusing engine",
] as const;

/** Names an injected fault. */
export type BenchFault = typeof FAULTS[number];

/** Delay of each answer of the slow key-value service, in milliseconds. */
const SLOW_KV_MS = 100;
const LOST_CALLS = 5;

/**
 * Ends the current fault and injects the next one, drawn from a seeded source.
 *
 * @param fleet - Fleet whose engines and key-value service receive the fault
 * @param random - Source of random numbers
 * @returns the injected fault
 *
 * @example
 * const fault = injectFault(fleet, createRandom(7));
 */
export function injectFault(fleet: Fleet, random: Random): BenchFault {
    const fault = FAULTS[Math.floor(random.next() * FAULTS.length)] ?? "none";
    fleet.kv.setFaults({ down: false, delayMs: 0, loseReplies: 0, loseRequests: 0 });
    fleet.engines.forEach(engine =>
        engine.setFaults({ cutStreamsAfterTokens: undefined, canResume: true, leaving: false })
    );
    applyFault(fleet, fault);
    return fault;
}

function applyFault(fleet: Fleet, fault: BenchFault): void {
    const { kv, engines } = fleet;
    switch (fault) {
        case "none":
            return;
        case "lost KV replies":
            kv.setFaults({ loseReplies: LOST_CALLS });
            return;
        case "lost KV requests":
            kv.setFaults({ loseRequests: LOST_CALLS });
            return;
        case "slow KV":
            kv.setFaults({ delayMs: SLOW_KV_MS });
            return;
        case "KV down":
            kv.setFaults({ down: true });
            return;
        case "cut streams":
            engines.forEach(engine => engine.setFaults({ cutStreamsAfterTokens: 1 }));
            return;
        case "cut streams for good":
            engines.forEach(engine => engine.setFaults({ cutStreamsAfterTokens: 1, canResume: false }));
            return;
        case "silent engines":
            engines.forEach(engine => engine.setFaults({ silence: true }));
            return;
        case "refusing engine":
            engines[0]?.setFaults({ leaving: true });
            return;
    }
}
