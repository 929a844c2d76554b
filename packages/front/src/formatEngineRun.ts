import type { EngineId } from "@fulmarcleat/ids";

/**
 * Formats the name of one run of an engine, which may start again under its id.
 *
 * @param engine - Id of the engine
 * @param bornMs - Start time that it reported, in milliseconds; undefined if it reported none
 * @returns the name
 *
 * @example
 * formatEngineRun(brandId("i-1"), 1700000000000); // "i-1/1700000000000"
 */
export function formatEngineRun(engine: EngineId, bornMs: number | undefined): string {
    return `${engine}/${bornMs ?? ""}`;
}
