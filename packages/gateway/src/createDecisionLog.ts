import type { Decision, ExplainAsk } from "@fulmarcleat/wire";

/** A bounded record of a host's decisions. */
export interface DecisionLog {
    record(decision: Decision): void;
    find(ask: ExplainAsk): readonly Decision[];
}

/**
 * Creates a record that keeps the latest decisions.
 *
 * @param limit - How many are kept
 * @returns the record
 *
 * @example
 * const decisions = createDecisionLog(10_000);
 */
export function createDecisionLog(limit: number): DecisionLog {
    const kept: Decision[] = [];
    let next = 0;
    return {
        record(decision) {
            kept[next % limit] = decision;
            next += 1;
        },
        find: ask =>
            kept
                .filter(decision => matches(decision, ask))
                .sort((a, b) => a.atMs - b.atMs),
    };
}

function matches(decision: Decision, ask: ExplainAsk): boolean {
    if (ask.requestId !== undefined) {
        return decision.requestId === ask.requestId;
    }
    return ask.adapter !== undefined && decision.adapter === ask.adapter;
}
