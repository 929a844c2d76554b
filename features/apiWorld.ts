import type { Api } from "@fulmarcleat/api";

/** Holds an answer of the operator API. */
export interface ApiAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly body: unknown;
}

/** Holds the operator API and its last answer in one scenario. */
export interface ApiWorld {
    api?: Api;
    apiAnswer?: ApiAnswer;
    /** Sequence number of the last change before the step under test. */
    acceptedSeq?: number;
}

/**
 * Checks whether a value contains every member of another one, at every depth.
 *
 * @param value - Value to check, parsed from JSON
 * @param part - Expected members
 * @returns whether each member of `part` is in `value`
 *
 * @example
 * matchesSubset({ a: 1, b: { c: 2, d: 3 } }, { b: { c: 2 } }); // true
 */
export function matchesSubset(value: unknown, part: unknown): boolean {
    if (typeof part !== "object" || part === null) {
        return value === part;
    }
    if (typeof value !== "object" || value === null) {
        return false;
    }
    return Object.entries(part).every(([key, expected]) =>
        matchesSubset((value as Readonly<Record<string, unknown>>)[key], expected)
    );
}
