import { ServeError } from "@fulmarcleat/errors";

/**
 * How a generation's engine is chosen. Two simple policies stand beside the one in use, to compare it with.
 */
export type EnginePolicy =
    /** The least expected wait, with what a load takes from others. */
    | "expected_wait"
    /** The least requests under way, wherever the adapter is. */
    | "least_loaded"
    /** The first engine in the adapter's own order that can be used. */
    | "adapter_hash";

const POLICIES: readonly EnginePolicy[] = ["expected_wait", "least_loaded", "adapter_hash"];

/**
 * Reads the name of a policy.
 *
 * @param text - The name; undefined for the usual one
 * @returns the policy
 * @throws ServeError `settings_invalid` for a name that is none
 *
 * @example
 * parseEnginePolicy("least_loaded"); // "least_loaded"
 */
export function parseEnginePolicy(text: string | undefined): EnginePolicy {
    const policy = text === undefined ? "expected_wait" : POLICIES.find(name => name === text);
    if (policy === undefined) {
        throw new ServeError(`${text} is no policy; allowed are ${POLICIES.join(", ")}`, {
            code: "settings_invalid",
            step: "read policy",
            peer: "self",
            outcome: "not_run",
        });
    }
    return policy;
}
