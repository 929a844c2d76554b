import type { OrderWaitingOptions, WaitingRequest } from "@fulmarcleat/admission";
import type { EngineId, InstanceName } from "@fulmarcleat/ids";
import type { EngineCandidate } from "./chooseEngine.js";
import type { ResidentInstance } from "./chooseVictim.js";
import type { ReplicaState } from "./countReplicas.js";
import type { LoadCandidate } from "./orderLoads.js";

/**
 * Decisions that a policy may replace. Safety doesn't depend on them: an instance that is in use is never among
 * the residents, and a choice that is not among the candidates is ignored.
 */
export interface PolicyDecisions {
    readonly name: string;
    /** Chooses the engine for a request; candidates come in the adapter's preferred order. */
    chooseEngine(candidates: readonly EngineCandidate[]): EngineId | undefined;
    /** Chooses the instance to evict. */
    chooseVictim(residents: readonly ResidentInstance[]): InstanceName | undefined;
    /** Orders the adapters to load. */
    orderLoads<T extends LoadCandidate>(candidates: readonly T[]): readonly T[];
    /** Orders the requests that wait for a batch slot. */
    orderWaiting<T extends WaitingRequest>(waiting: readonly T[], options: OrderWaitingOptions): readonly T[];
    /** Computes how many engines should hold an adapter. */
    countReplicas(state: ReplicaState): number;
}
