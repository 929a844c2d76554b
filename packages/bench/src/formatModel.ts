const VERSIONS_PER_ADAPTER = 64;

/** Name of the adapter that holds a model's version. */
export function formatAdapter(model: number): string {
    return `adapter-${Math.floor(model / VERSIONS_PER_ADAPTER)}`;
}

/**
 * Names a model of a trace; each is an adapter version with weights of its own.
 *
 * @param model - Number of the model, from 0
 * @returns adapter and version
 *
 * @example
 * formatModel(65); // "adapter-1@v1"
 */
export function formatModel(model: number): string {
    return `${formatAdapter(model)}@v${model % VERSIONS_PER_ADAPTER}`;
}
