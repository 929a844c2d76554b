import type { Hasher } from "@fulmarcleat/hashing";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { EngineId } from "@fulmarcleat/ids";
import type { PolicyDecisions } from "@fulmarcleat/placement";
import type { PlaceAsk } from "@fulmarcleat/wire";
import type { OfferIndex } from "./buildOfferIndex.js";

/** Chooses the engines that serve an adapter at a rate of requests. */
export type ReplicaChooser = (ask: PlaceAsk, ratePerSecond: number) => readonly EngineId[];

/** What the choice of replicas needs. */
export interface ReplicaChooserOptions {
    readonly hash: Hasher;
    readonly decisions: PolicyDecisions;
    readonly readIndex: () => OfferIndex;
    /** Requests a second that one replica is meant to carry. */
    readonly readReplicaRate: () => number;
}

/**
 * Creates the choice of replicas; it remembers how many each hot adapter has.
 *
 * @param options - Hash, decisions and configuration
 * @returns the choice
 *
 * @example
 * const chooseReplicas = createReplicaChooser(options);
 */
export function createReplicaChooser(options: ReplicaChooserOptions): ReplicaChooser {
    const counts = new Map<string, number>();
    return (ask, ratePerSecond) => {
        const index = options.readIndex();
        const adapter = index.findAdapter(ask.adapter);
        const engines = adapter === undefined
            ? [ask.engine]
            : index.listEngines(adapter.spec.baseModel).filter(entry => !entry.draining).map(entry => entry.engine);
        const model = `${ask.adapter}@${ask.version}`;
        const wanted = options.decisions.countReplicas({
            engines: engines.length,
            replicas: counts.get(model) ?? 1,
            ratePerSecond,
            replicaRate: options.readReplicaRate(),
        });
        counts.delete(model);
        if (wanted > 1) {
            counts.set(model, wanted);
        }
        return rankByRendezvous(options.hash, model, engines).slice(0, wanted);
    };
}
