import { orderWaiting } from "@fulmarcleat/admission";
import { chooseEngine, FULMARCLEAT_DECISIONS, orderLoads } from "@fulmarcleat/placement";
import type { EngineCandidate, PolicyDecisions, ResidentInstance } from "@fulmarcleat/placement";

/** Names of the policies that a run can use. */
export const RUN_POLICY_NAMES = ["fulmarcleat", "least-loaded+LRU", "hash+LRU"] as const;

/** Names a policy that a run can use. */
export type RunPolicyName = typeof RUN_POLICY_NAMES[number];

/**
 * Creates the decisions of a policy by name.
 *
 * @param name - Name of the policy
 * @returns decisions of the policy, for the gateways
 *
 * @example
 * const decisions = createBaseline("hash+LRU");
 */
export function createPolicyDecisions(name: RunPolicyName): PolicyDecisions {
    switch (name) {
        case "fulmarcleat":
            return FULMARCLEAT_DECISIONS;
        case "least-loaded+LRU":
            return { ...LRU_DECISIONS, name, chooseEngine: chooseLeastLoaded, countReplicas: state => state.engines };
        case "hash+LRU":
            return {
                ...LRU_DECISIONS,
                name,
                chooseEngine: candidates => chooseEngine(candidates.map(entry => ({ ...entry, isReplica: false }))),
                countReplicas: () => 1,
            };
    }
}

const LRU_DECISIONS = {
    chooseVictim: (residents: readonly ResidentInstance[]) =>
        residents.filter(resident => resident.pins === 0 && resident.waiting === 0)
            .sort((a, b) => a.lastUsedMs - b.lastUsedMs)[0]?.instance,
    orderLoads,
    orderWaiting,
};

function chooseLeastLoaded(candidates: readonly EngineCandidate[]): EngineCandidate["engine"] | undefined {
    const [leastLoaded] = [...candidates].sort((a, b) =>
        Number(a.isAvoided) - Number(b.isAvoided) || a.outstanding - b.outstanding
    );
    return leastLoaded?.engine;
}
