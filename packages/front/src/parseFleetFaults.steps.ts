import type { FrontFleetOptions } from "./frontFleet.steps.js";

/**
 * Parses the faults of a fleet in memory, as a table of cases names them.
 *
 * @param text - The faults
 * @returns the options that they stand for
 *
 * @example
 * parseFleetFaults("messages are lost, 30 in 100").lostShare; // 0.3
 */
export function parseFleetFaults(
    text: string,
): Pick<FrontFleetOptions, "crashIntervalMs" | "keepsIds" | "lostShare" | "maxDelayMs"> {
    const read = (pattern: RegExp): number | undefined => {
        const found = pattern.exec(text)?.[1];
        return found === undefined ? undefined : Number(found);
    };
    return {
        lostShare: (read(/lost, (\d+) in 100/) ?? 0) / 100,
        maxDelayMs: read(/late by up to (\d+) ms/) ?? 5,
        keepsIds: text === "store falls silent",
        crashIntervalMs: read(/other reasons, each (\d+) ms/),
    };
}
