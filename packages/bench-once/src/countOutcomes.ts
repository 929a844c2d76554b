/** Holds one answer to a request with an idempotency key. */
export interface KeyedAnswer {
    readonly requestId: string;
    readonly key: string;
    /** `whole`, `replay` or the error code. */
    readonly name: string;
    readonly outcome: "ran" | "not_run" | "unknown";
}

/** Holds one run as recorded by an engine. */
export interface RecordedRun {
    readonly requestId: string;
    readonly key: string;
}

/** Holds the counts over all keyed requests. */
export interface OutcomeCount {
    readonly keys: number;
    readonly requests: number;
    readonly runs: number;
    /** Highest number of runs of one key; above 1, a request ran more than once. */
    readonly maxRunsPerKey: number;
    /** Answers by outcome. */
    readonly answered: Readonly<Record<KeyedAnswer["outcome"], number>>;
    /** Answers by name. */
    readonly byName: Readonly<Record<string, number>>;
    /** Requests that ran although their answer was `not_run`. */
    readonly falseNotRun: number;
    /** Requests answered with `ran` although their key never ran. */
    readonly falseRan: number;
}

/**
 * Compares answers with the engines' records and counts both.
 *
 * @param answers - Answers that the callers received
 * @param runs - Runs recorded by the engines
 * @returns the counts, with the answers that contradict the records
 *
 * @example
 * const { maxRunsPerKey } = countOutcomes(answers, runs);
 */
export function countOutcomes(answers: readonly KeyedAnswer[], runs: readonly RecordedRun[]): OutcomeCount {
    const ranRequests = new Set(runs.map(run => run.requestId));
    const runsByKey = countBy(runs, run => run.key);
    const countByOutcome = countBy(answers, answer => answer.outcome);
    return {
        keys: new Set(answers.map(answer => answer.key)).size,
        requests: answers.length,
        runs: runs.length,
        maxRunsPerKey: Math.max(0, ...runsByKey.values()),
        answered: {
            ran: countByOutcome.get("ran") ?? 0,
            not_run: countByOutcome.get("not_run") ?? 0,
            unknown: countByOutcome.get("unknown") ?? 0,
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
