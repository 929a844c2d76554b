/** Whether a request that failed ran, as far as is known. */
export type Outcome = "ran" | "not_run" | "unknown";
