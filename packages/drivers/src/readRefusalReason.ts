import type { StreamResult } from "./engineDriver.js";

/** Why an engine refused a request that it did not run. */
type RefusalReason = Extract<StreamResult, { kind: "refused" }>["reason"];

/** Reasons of refusals by the HTTP status of the reply. */
const REASON_BY_STATUS: ReadonlyMap<number, RefusalReason> = new Map([
    [404, "not_loaded"],
    [410, "leaving"],
    [429, "overloaded"],
    [503, "overloaded"],
]);

/**
 * Maps the HTTP status of an engine's reply to the reason why the engine did not run the request.
 *
 * @param status - HTTP status of the engine's reply
 * @returns the reason, or undefined if the request may have run
 *
 * @example
 * readRefusalReason(404); // "not_loaded"
 */
export function readRefusalReason(status: number): RefusalReason | undefined {
    return REASON_BY_STATUS.get(status);
}
