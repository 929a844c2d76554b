import type { ResourceKind } from "@fulmarcleat/resources";
import type { ApiClient } from "./createApiClient.js";

/** How a command ends. */
export const CTL_EXIT = {
    done: 0,
    refused: 1,
    usage: 2,
    conflict: 3,
    /** The API can't be reached, or whether the change was accepted is not known. */
    unknown: 4,
    timeout: 5,
    /** `diff` found differences. */
    different: 6,
} as const;

/** Exit code of the command. */
export type CtlExit = (typeof CTL_EXIT)[keyof typeof CTL_EXIT];

/** What every command works with. */
export interface CtlContext {
    readonly client: ApiClient;
    readonly output: "json" | "table";
    /** Writes a line of the result. */
    readonly write: (line: string) => void;
    /** Writes a line of progress or of an error. */
    readonly tell: (line: string) => void;
    readonly nowMs: () => number;
    readonly pause: (ms: number) => Promise<void>;
}

/** What a command names. */
export interface CtlTarget {
    readonly kind: ResourceKind;
    readonly name: string;
}
