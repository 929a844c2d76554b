import type { ResourceKind } from "@fulmarcleat/resources";
import type { ApiClient } from "./createApiClient.js";

/** Exit codes of the command line. */
export const CTL_EXIT = {
    done: 0,
    refused: 1,
    usage: 2,
    conflict: 3,
    /** The API can't be reached, or it is unknown whether the change was accepted. */
    unknown: 4,
    timeout: 5,
    /** `diff` found differences. */
    different: 6,
} as const;

/** Exit code of a command. */
export type CtlExit = (typeof CTL_EXIT)[keyof typeof CTL_EXIT];

/** Dependencies of every command. */
export interface CtlContext {
    readonly client: ApiClient;
    readonly output: "json" | "table";
    /** Writes a line of the result to standard output. */
    readonly write: (line: string) => void;
    /** Writes a line of progress or an error to standard error. */
    readonly writeMessage: (line: string) => void;
    /** Monotonic time, in milliseconds. */
    readonly nowMs: () => number;
    readonly sleep: (ms: number) => Promise<void>;
}

/** Resource that a command acts on. */
export interface CtlTarget {
    readonly kind: ResourceKind;
    readonly name: string;
}
