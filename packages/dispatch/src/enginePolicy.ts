import { ServeError } from "@fulmarcleat/errors";

/**
 * How an engine is chosen for a generation. The last two policies are baselines for comparison.
 */
export type EnginePolicy =
    /** The least expected wait, including the effect of a load on other requests. */
    | "expected_wait"
    /** The fewest requests in flight, whether or not the engine has the adapter. */
    | "least_loaded"
    /** The first available engine in the adapter's rendezvous order. */
    | "adapter_hash";

const POLICIES: readonly EnginePolicy[] = ["expected_wait", "least_loaded", "adapter_hash"];

/**
 * Parses the name of an engine policy.
 *
 * @param text - Name from the settings; undefined selects `expected_wait`
 * @returns the policy
 * @throws ServeError `settings_invalid` if the name is unknown
 *
 * @example
 * parseEnginePolicy("least_loaded"); // "least_loaded"
 */
export function parseEnginePolicy(text: string | undefined): EnginePolicy {
    const policy = text === undefined ? "expected_wait" : POLICIES.find(name => name === text);
    if (policy === undefined) {
        throw new ServeError(`"${text}" is not an engine policy; allowed are ${POLICIES.join(", ")}`, {
            code: "settings_invalid",
            step: "read policy",
            peer: "self",
            outcome: "not_run",
        });
    }
    return policy;
}
