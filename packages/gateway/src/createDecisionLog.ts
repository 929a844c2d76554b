import type { Decision, ExplainRequest } from "@fulmarcleat/wire";

/** Bounded in-memory log of a host's decisions. */
export interface DecisionLog {
    record(decision: Decision): void;
    /** Returns the decisions about a request or, if it names none, about an adapter, oldest first. */
    find(request: ExplainRequest): readonly Decision[];
}

/**
 * Creates a decision log that holds the latest entries.
 *
 * @param limit - Maximum number of entries; the oldest are overwritten
 * @returns an empty log
 *
 * @example
 * const decisions = createDecisionLog(10_000);
 */
export function createDecisionLog(limit: number): DecisionLog {
    const entries: Decision[] = [];
    let nextIndex = 0;
    return {
        record(decision) {
            entries[nextIndex % limit] = decision;
            nextIndex += 1;
        },
        find: request =>
            entries
                .filter(decision => matches(decision, request))
                .sort((a, b) => a.atMs - b.atMs),
    };
}

function matches(decision: Decision, request: ExplainRequest): boolean {
    if (request.requestId !== undefined) {
        return decision.requestId === request.requestId;
    }
    return request.adapter !== undefined && decision.adapter === request.adapter;
}
