import type { Clock } from "@fulmarcleat/ids";
import { fadeLearned, OWNER_SAMPLES, reducePerformance, UNKNOWN_PERFORMANCE } from "@fulmarcleat/performance";
import type { PerformanceSample } from "@fulmarcleat/performance";
import type { LearnedPerformance, ObservedPerformance } from "@fulmarcleat/wire";
import { encodePace, US_PER_MS } from "./encodePace.js";

/** What an engine's owner learns from the reports of all hosts. */
export interface OwnerPerformance {
    /** Adds what a host has observed. */
    add(seen: ObservedPerformance): void;
    /** Returns what was learned; undefined if no host has reported anything. */
    describe(): LearnedPerformance | undefined;
}

/** Most samples of one kind in one report; a host must not displace all samples of the others at once. */
export const MAX_REPORTED_SAMPLES = 4;

/**
 * Creates the state in which an engine's owner joins what hosts have observed: quantiles over the newest samples of all
 * hosts.
 *
 * @param clock - Source of the monotonic time
 * @returns the state, empty at first
 *
 * @example
 * const performance = createOwnerPerformance(clock);
 */
export function createOwnerPerformance(clock: Clock): OwnerPerformance {
    let state = UNKNOWN_PERFORMANCE;
    const addSample = (sample: PerformanceSample): void =>
        void (state = reducePerformance(state, sample, clock.nowMs(), OWNER_SAMPLES));
    return {
        add([firstBytes, eventsUs]) {
            for (const [tokens, us] of firstBytes.slice(-MAX_REPORTED_SAMPLES)) {
                addSample({ kind: "first_byte", ms: us / US_PER_MS, tokens });
            }
            for (const us of eventsUs.slice(-MAX_REPORTED_SAMPLES)) {
                addSample({ kind: "event", ms: us / US_PER_MS, tokens: 0 });
            }
        },
        describe: () => state === UNKNOWN_PERFORMANCE ? undefined : encodePace(fadeLearned(state, clock.nowMs())),
    };
}
