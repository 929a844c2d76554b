/** What is known of a request that was not answered: whether it ran. */
export type Outcome = "ran" | "not_run" | "unknown";
