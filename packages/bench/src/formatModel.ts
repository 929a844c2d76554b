/** Number of versions of each adapter. */
const VERSIONS_PER_ADAPTER = 64;

/**
 * Formats the name of the adapter to which a model belongs.
 *
 * @param model - Number of the model, from 0
 * @returns the adapter's name
 *
 * @example
 * formatAdapter(65); // "adapter-1"
 */
export function formatAdapter(model: number): string {
    return `adapter-${Math.floor(model / VERSIONS_PER_ADAPTER)}`;
}

/**
 * Formats the name of a model; each model is an adapter version with its own weights.
 *
 * @param model - Number of the model, from 0
 * @returns the adapter and its version
 *
 * @example
 * formatModel(65); // "adapter-1@v1"
 */
export function formatModel(model: number): string {
    return `${formatAdapter(model)}@v${model % VERSIONS_PER_ADAPTER}`;
}
