import type { PromptPart } from "@fulmarcleat/ids";

/** Parts of a prompt that other requests may share, first part first. */
export type SharedParts = readonly PromptPart[];

/** What a report of a crash shows. */
export type CrashFinding =
    /** Not enough is known yet. */
    | { readonly kind: "unclear" }
    /** A part was there that is known to crash engines. */
    | { readonly kind: "explained"; readonly part: PromptPart }
    /** `part` is found to crash engines; it explains all crashes for which the accepted parts `explains` were held. */
    | { readonly kind: "found"; readonly part: PromptPart; readonly explains: readonly PromptPart[] };

/** Evidence of which parts of prompts crash engines: what was there at crashes, and what was answered. */
export interface CrashEvidence {
    /** Records that a request with these parts was answered. */
    recordAnswer(parts: SharedParts, atMs: number): void;
    /**
     * Records the prompts that an engine was beginning to answer when it crashed, as one host reports them. Reports of
     * one crash may come from several hosts, late and more than once.
     */
    recordCrash(engine: string, prompts: readonly SharedParts[], atMs: number): void;
    /**
     * Looks for a part that crashes engines among those that were there at an engine's crash, once all have reported.
     * It counts for later crashes only when it is accepted.
     */
    judgeCrash(engine: string, atMs: number): CrashFinding;
    /** Whether a request with the part was answered recently. */
    wasAnswered(part: PromptPart, atMs: number): boolean;
    /** Returns the clock reading at which a request with the part was last answered, in milliseconds. */
    readAnsweredMs(part: PromptPart): number | undefined;
    /** Accepts that a part crashes engines. */
    accept(part: PromptPart): void;
    /** Drops a part, with the evidence against it. */
    clear(part: PromptPart): void;
}

interface Crash {
    readonly atMs: number;
    /** Parts that were there, with their position in the prompt. */
    readonly parts: Map<PromptPart, number>;
}

/** Number of crashes after which a part is found to crash engines. */
const CRASHES_UNTIL_FOUND = 4;
/** Number of these that no other found part explains. */
const UNEXPLAINED_UNTIL_FOUND = 2;
/** Engines that crash within this time of each other count once, in milliseconds; they may have lost power together. */
const SAME_ACCIDENT_MS = 50;
/** Time for which an answer speaks for the parts of its prompt, in milliseconds. */
const ANSWER_MEMORY_MS = 60_000;
/** Time for which a crash is remembered, in milliseconds. */
const CRASH_MEMORY_MS = 600_000;
/** Most crashes that are remembered; the oldest is dropped first. */
const MAX_CRASHES = 256;
/** Most parts that are remembered of one crash. */
const MAX_PARTS_PER_CRASH = 256;
/** Most answered parts that are remembered; the one answered longest ago is dropped first. */
const MAX_ANSWERED_PARTS = 20_000;

/**
 * Creates the evidence about poison requests, those with a part in their prompts that crashes each engine that begins
 * to answer them.
 *
 * A part is found if it was there at several crashes, some of which no other found part explains, and no request with
 * it was answered since the first of them, nor recently. Of several such parts, the one with most crashes is found, and
 * of equal ones the last in the prompt, which fewest requests share; if that was wrong, the next crashes without it
 * find the other.
 *
 * @returns the evidence, empty
 *
 * @example
 * evidence.recordCrash("i-1/17", [["a1", "b2"]], clock.nowMs());
 * const finding = evidence.judgeCrash("i-1/17", clock.nowMs());
 */
export function createCrashEvidence(): CrashEvidence {
    const answeredMs = new Map<PromptPart, number>();
    const crashes = new Map<string, Crash>();
    const found = new Set<PromptPart>();

    const wasAnswered = (part: PromptPart, atMs: number): boolean =>
        atMs - (answeredMs.get(part) ?? -Infinity) < ANSWER_MEMORY_MS;
    const forgetCrashes = (atMs: number): void => {
        for (const [oldest, { atMs: crashedMs }] of crashes) {
            if (crashes.size <= MAX_CRASHES && atMs - crashedMs < CRASH_MEMORY_MS) {
                break;
            }
            crashes.delete(oldest);
        }
    };
    const isExplained = (crash: Crash): boolean => [...crash.parts.keys()].some(part => found.has(part));
    const findPart = (crash: Crash, atMs: number): PromptPart | undefined =>
        [...crash.parts]
            .filter(([part]) => !wasAnswered(part, atMs))
            .map(([part, position]) => {
                const sinceMs = answeredMs.get(part) ?? -Infinity;
                const withPart = [...crashes.values()].filter(other => other.parts.has(part) && other.atMs > sinceMs);
                const unexplained = withPart.filter(other => !isExplained(other));
                return { part, position, all: countAccidents(withPart), unexplained: countAccidents(unexplained) };
            })
            .filter(({ all, unexplained }) => all >= CRASHES_UNTIL_FOUND && unexplained >= UNEXPLAINED_UNTIL_FOUND)
            .sort((a, b) => b.all - a.all || b.position - a.position)[0]?.part;
    const clear = (part: PromptPart): void => {
        found.delete(part);
        crashes.forEach(crash => crash.parts.delete(part));
    };
    /** Lists the found parts that were there only at crashes that the part explains too, and at fewer. */
    const listExplained = (part: PromptPart): readonly PromptPart[] => {
        const all = [...crashes.values()];
        const explained = all.filter(crash => crash.parts.has(part)).length;
        return [...found].filter(other => {
            const others = all.filter(crash => crash.parts.has(other));
            return others.length < explained && others.every(crash => crash.parts.has(part));
        });
    };
    return {
        wasAnswered,
        readAnsweredMs: part => answeredMs.get(part),
        clear,
        recordAnswer(parts, atMs) {
            for (const part of parts) {
                const newestMs = Math.max(atMs, answeredMs.get(part) ?? -Infinity);
                answeredMs.delete(part);
                answeredMs.set(part, newestMs);
            }
            for (const oldest of answeredMs.keys()) {
                if (answeredMs.size <= MAX_ANSWERED_PARTS) {
                    break;
                }
                answeredMs.delete(oldest);
            }
        },
        recordCrash(engine, prompts, atMs) {
            const crash = crashes.get(engine) ?? { atMs, parts: new Map<PromptPart, number>() };
            crashes.set(engine, crash);
            prompts.forEach(prompt => addParts(crash, prompt));
            forgetCrashes(atMs);
        },
        judgeCrash(engine, atMs) {
            const crash = crashes.get(engine);
            if (crash === undefined) {
                return { kind: "unclear" };
            }
            const known = [...crash.parts.keys()].find(part => found.has(part));
            if (known !== undefined) {
                return { kind: "explained", part: known };
            }
            const part = findPart(crash, atMs);
            if (part === undefined) {
                return { kind: "unclear" };
            }
            return { kind: "found", part, explains: listExplained(part) };
        },
        accept: part => void found.add(part),
    };
}

/** Counts crashes; those that follow each other at once count as one. */
function countAccidents(crashes: readonly Crash[]): number {
    let count = 0;
    let lastMs = -Infinity;
    for (const { atMs } of crashes) {
        if (atMs - lastMs >= SAME_ACCIDENT_MS) {
            count += 1;
            lastMs = atMs;
        }
    }
    return count;
}

function addParts(crash: Crash, prompt: SharedParts): void {
    for (const [position, part] of prompt.entries()) {
        if (crash.parts.size < MAX_PARTS_PER_CRASH || crash.parts.has(part)) {
            crash.parts.set(part, Math.max(position, crash.parts.get(part) ?? 0));
        }
    }
}
