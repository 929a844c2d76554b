import type { Hasher } from "@fulmarcleat/hashing";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { EngineId } from "@fulmarcleat/ids";
import type { PolicyDecisions } from "@fulmarcleat/placement";
import type { PlaceRequest } from "@fulmarcleat/wire";
import type { OfferIndex } from "./buildOfferIndex.js";

/** Returns the engines that should serve the requested adapter version at a given request rate. */
export type ReplicaChooser = (request: PlaceRequest, ratePerSecond: number) => readonly EngineId[];

/** Dependencies of the replica chooser. */
export interface ReplicaChooserOptions {
    readonly hash: Hasher;
    readonly decisions: PolicyDecisions;
    readonly readIndex: () => OfferIndex;
    /** Returns the request rate that one replica should carry, per second. */
    readonly readReplicaRate: () => number;
}

/**
 * Creates a replica chooser that remembers the replica count of each adapter version with several replicas.
 *
 * @param options - Hash function, policy decisions and configuration access
 * @returns the chooser
 *
 * @example
 * const chooseReplicas = createReplicaChooser(options);
 */
export function createReplicaChooser(options: ReplicaChooserOptions): ReplicaChooser {
    const replicaCounts = new Map<string, number>();
    return (request, ratePerSecond) => {
        const index = options.readIndex();
        const adapter = index.findAdapter(request.adapter);
        const engines = adapter === undefined
            ? [request.engine]
            : index.listEngines(adapter.spec.baseModel).filter(entry => !entry.draining).map(entry => entry.engine);
        const model = `${request.adapter}@${request.version}`;
        const replicaCount = options.decisions.countReplicas({
            engines: engines.length,
            replicas: replicaCounts.get(model) ?? 1,
            ratePerSecond,
            replicaRate: options.readReplicaRate(),
        });
        replicaCounts.delete(model);
        if (replicaCount > 1) {
            replicaCounts.set(model, replicaCount);
        }
        return rankByRendezvous(options.hash, model, engines).slice(0, replicaCount);
    };
}
