/** One answer to a keyed request. */
export interface KeyedAnswer {
    readonly requestId: string;
    readonly key: string;
    /** `whole`, `replay`, or the error's code. */
    readonly name: string;
    readonly outcome: "ran" | "not_run" | "unknown";
}

/** One run in an engine's own record. */
export interface RecordedRun {
    readonly requestId: string;
    readonly key: string;
}

/** What came of all keyed requests. */
export interface OutcomeCount {
    readonly keys: number;
    readonly requests: number;
    readonly runs: number;
    readonly maxRunsPerKey: number;
    readonly answered: Readonly<Record<KeyedAnswer["outcome"], number>>;
    readonly byName: Readonly<Record<string, number>>;
    /** Requests that were told `not_run` and ran. */
    readonly falseNotRun: number;
    /** Requests that were told `ran` although their key never ran. */
    readonly falseRan: number;
}

/**
 * Counts answers against the engines' own record.
 *
 * @param answers - What callers were told
 * @param runs - What ran
 * @returns the counts
 *
 * @example
 * const { maxRunsPerKey } = countOutcomes(answers, runs);
 */
export function countOutcomes(answers: readonly KeyedAnswer[], runs: readonly RecordedRun[]): OutcomeCount {
    const ranRequests = new Set(runs.map(run => run.requestId));
    const runsByKey = countBy(runs, run => run.key);
    const outcomes = countBy(answers, answer => answer.outcome);
    return {
        keys: new Set(answers.map(answer => answer.key)).size,
        requests: answers.length,
        runs: runs.length,
        maxRunsPerKey: Math.max(0, ...runsByKey.values()),
        answered: {
            ran: outcomes.get("ran") ?? 0,
            not_run: outcomes.get("not_run") ?? 0,
            unknown: outcomes.get("unknown") ?? 0,
        },
        byName: Object.fromEntries([...countBy(answers, answer => answer.name)].sort()),
        falseNotRun: answers.filter(answer => answer.outcome === "not_run" && ranRequests.has(answer.requestId)).length,
        falseRan: answers.filter(answer => answer.outcome === "ran" && !runsByKey.has(answer.key)).length,
    };
}

function countBy<T>(items: readonly T[], name: (item: T) => string): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const item of items) {
        counts.set(name(item), (counts.get(name(item)) ?? 0) + 1);
    }
    return counts;
}
