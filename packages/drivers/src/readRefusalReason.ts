import type { StreamResult } from "./engineDriver.js";

/** Why an engine refused a request that it did not run. */
type RefusalReason = Extract<StreamResult, { kind: "refused" }>["reason"];

const REASON_BY_STATUS: ReadonlyMap<number, RefusalReason> = new Map([
    [404, "not_loaded"],
    [410, "leaving"],
    [429, "overloaded"],
    [503, "overloaded"],
]);

/**
 * Tells which statuses of an engine say that a request did not run.
 *
 * @param status - HTTP status of the engine's answer
 * @returns the reason, or undefined where the request may have run
 *
 * @example
 * readRefusalReason(404); // "not_loaded"
 */
export function readRefusalReason(status: number): RefusalReason | undefined {
    return REASON_BY_STATUS.get(status);
}
