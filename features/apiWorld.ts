import type { Api } from "@fulmarcleat/api";

/** What an operator got back. */
export interface ApiAnswer {
    readonly status: number;
    readonly headers: Headers;
    readonly body: unknown;
}

/** The API and the last answer of one scenario. */
export interface ApiWorld {
    api?: Api;
    apiAnswer?: ApiAnswer;
    /** Last change before the step under test. */
    acceptedSeq?: number;
}

/** Whether a value holds every member of a part, at every depth. */
export function matchesSubset(value: unknown, part: unknown): boolean {
    if (typeof part !== "object" || part === null) {
        return value === part;
    }
    if (typeof value !== "object" || value === null) {
        return false;
    }
    return Object.entries(part).every(([key, wanted]) =>
        matchesSubset((value as Readonly<Record<string, unknown>>)[key], wanted)
    );
}
