import type { WaitingRequest } from "./engineState.js";

/**
 * Formats an adapter version as a key for comparisons and maps.
 *
 * @param model - Anything that names an adapter and a version
 * @returns the key, such as `levy@7`
 *
 * @example
 * const model = formatModel(waiting);
 */
export function formatModel({ adapter, version }: Pick<WaitingRequest, "adapter" | "version">): string {
    return `${adapter}@${version}`;
}
