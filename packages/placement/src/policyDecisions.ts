import type { OrderWaitingOptions, WaitingOrder } from "@fulmarcleat/admission";
import type { EngineId, InstanceName } from "@fulmarcleat/ids";
import type { EngineCandidate } from "./chooseEngine.js";
import type { ResidentInstance } from "./chooseVictim.js";
import type { ReplicaState } from "./countReplicas.js";
import type { LoadCandidate } from "./orderLoads.js";

/**
 * The decisions that a policy may vary. Each sees only what safety allows: an instance that is held
 * is never among the residents, and a choice that is not among those offered is ignored.
 */
export interface PolicyDecisions {
    readonly name: string;
    /** Chooses the engine to ask; candidates come in the order of the adapter's homes. */
    chooseEngine(candidates: readonly EngineCandidate[]): EngineId | undefined;
    /** Chooses the instance that makes room. */
    chooseVictim(residents: readonly ResidentInstance[]): InstanceName | undefined;
    /** Orders the adapters that wait to be loaded. */
    orderLoads<T extends LoadCandidate>(candidates: readonly T[]): readonly T[];
    /** Orders the requests that wait for a place. */
    orderWaiting<T extends WaitingOrder>(waiting: readonly T[], options: OrderWaitingOptions): readonly T[];
    /** Counts the engines that should hold an adapter. */
    countReplicas(state: ReplicaState): number;
}
