import type { Waiting } from "./engineState.js";

/**
 * Names an adapter version within an engine's state.
 *
 * @param wanted - Adapter and version
 * @returns both in one text
 *
 * @example
 * const model = formatModel(waiting);
 */
export function formatModel({ adapter, version }: Pick<Waiting, "adapter" | "version">): string {
    return `${adapter}@${version}`;
}
