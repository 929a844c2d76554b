import type { LearnedPace } from "@fulmarcleat/performance";
import type { LearnedPerformance } from "@fulmarcleat/wire";

/** Nanoseconds in a millisecond. */
const NS_PER_MS = 1_000_000;
/** Microseconds in a millisecond. */
export const US_PER_MS = 1000;

/**
 * Encodes what was learned of an engine as whole numbers, which take few bytes.
 *
 * @param learned - What was learned
 * @returns the numbers of a message
 *
 * @example
 * encodePace(fadeLearned(state, clock.nowMs())); // [31000, 21400, 22000, 16, 16]
 */
export function encodePace({ tokenMs, idleMs, eventMs, reads, events }: LearnedPace): LearnedPerformance {
    return [
        Math.round((tokenMs ?? 0) * NS_PER_MS),
        Math.round((idleMs ?? 0) * US_PER_MS),
        Math.round((eventMs ?? 0) * US_PER_MS),
        Math.round(reads),
        Math.round(events),
    ];
}

/**
 * Decodes what another host has learned of an engine.
 *
 * @param pace - The numbers of a message
 * @returns what was learned; times that are not known or no durations are undefined
 *
 * @example
 * const { tokenMs } = decodePace(report.pace);
 */
export function decodePace([tokenNs, idleUs, eventUs, reads, events]: LearnedPerformance): LearnedPace {
    return {
        tokenMs: readDuration(tokenNs, NS_PER_MS),
        idleMs: readDuration(idleUs, US_PER_MS),
        eventMs: readDuration(eventUs, US_PER_MS),
        workMs: undefined,
        reads: readCount(reads),
        events: readCount(events),
        works: 0,
    };
}

function readDuration(value: number, perMs: number): number | undefined {
    return Number.isFinite(value) && value > 0 ? value / perMs : undefined;
}

function readCount(value: number): number {
    return Number.isFinite(value) && value > 0 ? value : 0;
}
