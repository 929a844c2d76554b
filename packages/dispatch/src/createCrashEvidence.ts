import type { Suspect } from "@fulmarcleat/ids";
import { readSuspectKind } from "./readSuspectKind.js";
import type { SuspectKind } from "./readSuspectKind.js";

/** What of one request may crash engines: the parts of its prompt that others may share, first part first, and itself. */
export type Suspects = readonly Suspect[];

/** What a report of a crash shows. */
export type CrashFinding =
    /** Not enough is known yet. */
    | { readonly kind: "unclear" }
    /** A suspect was there that is known to crash engines. */
    | { readonly kind: "explained"; readonly suspect: Suspect }
    /** `suspects` are found to crash engines; they explain all crashes for which the accepted `explains` were held. */
    | { readonly kind: "found"; readonly suspects: Suspects; readonly explains: Suspects };

/** Evidence of what crashes engines: which requests were there at crashes, and which were answered. */
export interface CrashEvidence {
    /** Records that a request with these suspects was answered. */
    recordAnswer(suspects: Suspects, atMs: number): void;
    /**
     * Records the requests that an engine was beginning to answer when it crashed, as one host reports them. Reports of
     * one crash may come from several hosts, late and more than once.
     */
    recordCrash(engine: string, requests: readonly Suspects[], atMs: number): void;
    /**
     * Looks for what crashes engines among the suspects that were there at an engine's crash, once all have reported.
     * They count for later crashes only when they are accepted.
     */
    judgeCrash(engine: string, atMs: number): CrashFinding;
    /** Whether a request with the suspect was answered recently. */
    wasAnswered(suspect: Suspect, atMs: number): boolean;
    /** Returns the clock reading at which a request with the suspect was last answered, in milliseconds. */
    readAnsweredMs(suspect: Suspect): number | undefined;
    /** Accepts that a suspect crashes engines. */
    accept(suspect: Suspect): void;
    /** Drops a suspect, with the evidence against it. */
    clear(suspect: Suspect): void;
}

interface Crash {
    readonly engine: string;
    readonly atMs: number;
    /** Suspects that were there, with their position in the request. */
    readonly suspects: Map<Suspect, number>;
}

/** When a suspect of one kind is found. */
interface FindingTerms {
    /** Number of crashes at which it was there. */
    readonly crashes: number;
    /** Number of these that nothing else explains. */
    readonly unexplained: number;
    /** Engines that crash within this time of each other, in milliseconds, may have lost power together. */
    readonly sameAccidentMs: number;
    /** Most crashes that count of such an accident, if the suspect was there at each. */
    readonly maxPerAccident: number;
    /** Kinds of found suspects that explain a crash. */
    readonly explainedBy: readonly SuspectKind[];
    /** Most answered suspects that are remembered; the one answered longest ago is dropped first. */
    readonly maxAnswered: number;
}

/**
 * Parts are shared by many requests, so that several may be there by chance. A request is one and the same at each crash,
 * and engines that lose power together hold different requests.
 */
const TERMS: Readonly<Record<SuspectKind, FindingTerms>> = {
    part: {
        crashes: 4,
        unexplained: 2,
        sameAccidentMs: 50,
        maxPerAccident: 3,
        explainedBy: ["part"],
        maxAnswered: 20_000,
    },
    request: {
        crashes: 3,
        unexplained: 1,
        sameAccidentMs: 0,
        maxPerAccident: 1,
        explainedBy: ["part", "request"],
        maxAnswered: 4000,
    },
};
/**
 * Time within which reports belong to one crash, in milliseconds. An engine may be back under its id after some seconds,
 * and while the store is away, hosts don't know its new start time.
 */
const SAME_CRASH_MS = 2000;
/** Time for which an answer speaks for the suspects of its request, in milliseconds. */
const ANSWER_MEMORY_MS = 60_000;
/** Time for which a crash is remembered, in milliseconds. */
const CRASH_MEMORY_MS = 600_000;
/** Most crashes that are remembered; the oldest is dropped first. */
const MAX_CRASHES = 256;
/** Most suspects that are remembered of one crash. */
const MAX_SUSPECTS_PER_CRASH = 256;

/**
 * Creates the evidence about poison requests: those with a part in their prompts that crashes each engine that begins to
 * answer them, and those that do so by themselves, whenever they come.
 *
 * A suspect is found if it was there at several crashes, some of which nothing else explains, and no request with it was
 * answered since the first of them, nor recently. Of several parts, the one with most crashes is found, and of equal ones
 * the last in the prompt, which fewest requests share; if that was wrong, the next crashes without it find the other.
 * Requests that qualify are all found: a wrong finding keeps back that one request only.
 *
 * @returns the evidence, empty
 *
 * @example
 * evidence.recordCrash("i-1/17", [["a1", "b2"]], clock.nowMs());
 * const finding = evidence.judgeCrash("i-1/17", clock.nowMs());
 */
export function createCrashEvidence(): CrashEvidence {
    const answeredMs = { part: new Map<Suspect, number>(), request: new Map<Suspect, number>() };
    const crashes = new Set<Crash>();
    /** The last crash of each run of an engine. */
    const lastCrashes = new Map<string, Crash>();
    const found = new Set<Suspect>();

    const readAnsweredMs = (suspect: Suspect): number | undefined => answeredMs[readSuspectKind(suspect)].get(suspect);
    const wasAnswered = (suspect: Suspect, atMs: number): boolean =>
        atMs - (readAnsweredMs(suspect) ?? -Infinity) < ANSWER_MEMORY_MS;
    const forgetCrashes = (atMs: number): void => {
        for (const oldest of crashes) {
            if (crashes.size <= MAX_CRASHES && atMs - oldest.atMs < CRASH_MEMORY_MS) {
                break;
            }
            crashes.delete(oldest);
            if (lastCrashes.get(oldest.engine) === oldest) {
                lastCrashes.delete(oldest.engine);
            }
        }
    };
    const isExplained = (crash: Crash, kinds: readonly SuspectKind[]): boolean =>
        [...crash.suspects.keys()].some(suspect => found.has(suspect) && kinds.includes(readSuspectKind(suspect)));
    /** Lists the suspects of one kind for which a crash and those before it suffice, the likeliest first. */
    const listSuspicious = (crash: Crash, kind: SuspectKind, atMs: number): Suspects => {
        const terms = TERMS[kind];
        const accidents = groupAccidents(crashes, terms.sameAccidentMs);
        const count = (suspect: Suspect, counted: readonly Crash[]): number =>
            countCrashes(suspect, accidents, new Set(counted), terms.maxPerAccident);
        return [...crash.suspects]
            .filter(([suspect]) => readSuspectKind(suspect) === kind && !wasAnswered(suspect, atMs))
            .map(([suspect, position]) => {
                const sinceMs = readAnsweredMs(suspect) ?? -Infinity;
                const all = [...crashes].filter(other => other.suspects.has(suspect) && other.atMs > sinceMs);
                const unexplained = all.filter(other => !isExplained(other, terms.explainedBy));
                return {
                    suspect,
                    position,
                    all: count(suspect, all),
                    unexplained: count(suspect, unexplained),
                };
            })
            .filter(({ all, unexplained }) => all >= terms.crashes && unexplained >= terms.unexplained)
            .sort((a, b) => b.all - a.all || b.position - a.position)
            .map(({ suspect }) => suspect);
    };
    /** Finds the likeliest part, or else all suspicious requests. */
    const findSuspects = (crash: Crash, atMs: number): Suspects => {
        const parts = listSuspicious(crash, "part", atMs).slice(0, 1);
        return parts.length > 0 ? parts : listSuspicious(crash, "request", atMs);
    };
    const clear = (suspect: Suspect): void => {
        found.delete(suspect);
        crashes.forEach(crash => crash.suspects.delete(suspect));
    };
    /**
     * Lists the found suspects that were there only at crashes that the suspect explains too, and at fewer. A finding of
     * another host stays if this host doesn't know the crashes that it rests on.
     */
    const listExplained = (suspect: Suspect): Suspects => {
        const all = [...crashes];
        const explained = all.filter(crash => crash.suspects.has(suspect)).length;
        return [...found].filter(other => {
            const others = all.filter(crash => crash.suspects.has(other));
            return others.length >= TERMS[readSuspectKind(other)].crashes && others.length < explained
                && others.every(crash => crash.suspects.has(suspect));
        });
    };
    return {
        wasAnswered,
        readAnsweredMs,
        clear,
        recordAnswer(suspects, atMs) {
            for (const suspect of suspects) {
                const kind = readSuspectKind(suspect);
                const answered = answeredMs[kind];
                const newestMs = Math.max(atMs, answered.get(suspect) ?? -Infinity);
                answered.delete(suspect);
                answered.set(suspect, newestMs);
                const oldest = answered.keys().next();
                if (answered.size > TERMS[kind].maxAnswered && oldest.done !== true) {
                    answered.delete(oldest.value);
                }
            }
        },
        recordCrash(engine, requests, atMs) {
            const last = lastCrashes.get(engine);
            const crash = last !== undefined && atMs - last.atMs < SAME_CRASH_MS
                ? last
                : { engine, atMs, suspects: new Map<Suspect, number>() };
            crashes.add(crash);
            lastCrashes.set(engine, crash);
            requests.forEach(suspects => addSuspects(crash, suspects));
            forgetCrashes(atMs);
        },
        judgeCrash(engine, atMs) {
            const crash = lastCrashes.get(engine);
            if (crash === undefined) {
                return { kind: "unclear" };
            }
            const known = [...crash.suspects.keys()].filter(suspect => found.has(suspect));
            const knownPart = known.find(suspect => readSuspectKind(suspect) === "part");
            if (knownPart !== undefined) {
                return { kind: "explained", suspect: knownPart };
            }
            const suspects = findSuspects(crash, atMs).filter(suspect => !found.has(suspect));
            if (suspects.length > 0) {
                return { kind: "found", suspects, explains: suspects.flatMap(listExplained) };
            }
            const [knownRequest] = known;
            return knownRequest === undefined ? { kind: "unclear" } : { kind: "explained", suspect: knownRequest };
        },
        accept: suspect => void found.add(suspect),
    };
}

/** Groups crashes that follow each other within a time. */
function groupAccidents(crashes: Iterable<Crash>, sameAccidentMs: number): readonly (readonly Crash[])[] {
    const groups: Crash[][] = [];
    for (const crash of crashes) {
        const last = groups.at(-1);
        const [first] = last ?? [];
        if (first !== undefined && crash.atMs - first.atMs < sameAccidentMs) {
            last?.push(crash);
        }
        else {
            groups.push([crash]);
        }
    }
    return groups;
}

/**
 * Counts crashes under a suspect. Of an accident, several count if the suspect was there at each of its crashes, as in a
 * burst of requests with it; if engines without it went too, one counts.
 */
function countCrashes(
    suspect: Suspect,
    accidents: readonly (readonly Crash[])[],
    counted: ReadonlySet<Crash>,
    maxPerAccident: number,
): number {
    const counts = accidents.map(accident => {
        const count = accident.filter(crash => counted.has(crash)).length;
        const most = accident.every(crash => crash.suspects.has(suspect)) ? maxPerAccident : 1;
        return Math.min(count, most);
    });
    return counts.reduce((sum, count) => sum + count, 0);
}

function addSuspects(crash: Crash, suspects: Suspects): void {
    for (const [position, suspect] of suspects.entries()) {
        if (crash.suspects.size < MAX_SUSPECTS_PER_CRASH || crash.suspects.has(suspect)) {
            crash.suspects.set(suspect, Math.max(position, crash.suspects.get(suspect) ?? 0));
        }
    }
}
