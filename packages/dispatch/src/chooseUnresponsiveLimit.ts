/** Time without a byte after which an engine without a model counts as unresponsive, in milliseconds. */
const PLAIN_UNRESPONSIVE_MS = 400;
/** Time without a byte after which a model engine counts as unresponsive, in milliseconds; long prompts take time. */
const MODEL_UNRESPONSIVE_MS = 900;

/**
 * Chooses after which time without a byte an engine with requests in flight counts as unresponsive.
 *
 * @param isModel - Whether the engine runs a model
 * @returns the time in milliseconds
 *
 * @example
 * chooseUnresponsiveLimit(true); // 900
 */
export function chooseUnresponsiveLimit(isModel: boolean): number {
    return isModel ? MODEL_UNRESPONSIVE_MS : PLAIN_UNRESPONSIVE_MS;
}
