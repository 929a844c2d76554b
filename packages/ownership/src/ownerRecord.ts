import { brandId } from "@fulmarcleat/ids";
import type { EngineId, HostId, Incarnation, Nonce } from "@fulmarcleat/ids";
import { z } from "zod";

/** Record of an engine's owner in the key-value service; it outlives the owner's lease. */
export interface OwnerRecord {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly fence: number;
    /** Whether the owner released the engine and sends it no more orders. */
    readonly released: boolean;
    /** Hosts that held places when the engine was released. */
    readonly holders?: readonly HostId[] | undefined;
    /** Identifies the write, so that a lost reply can be resolved by reading back. */
    readonly nonce: Nonce;
}

/** Schema of the stored owner record. */
export const ownerRecordSchema = z.object({
    host: z.string().transform(text => brandId<HostId>(text)),
    incarnation: z.string().transform(text => brandId<Incarnation>(text)),
    fence: z.int(),
    released: z.boolean(),
    holders: z.array(z.string().transform(text => brandId<HostId>(text))).optional(),
    nonce: z.string().transform(text => brandId<Nonce>(text)),
});

/**
 * Formats the key of an engine's owner record.
 *
 * @param engine - Id of the engine
 * @returns the key
 *
 * @example
 * await kv.read("owner", formatOwnerKey(engine));
 */
export function formatOwnerKey(engine: EngineId): string {
    return `owner/${engine}`;
}

/**
 * Formats the key that a host holds while its session lease is valid.
 *
 * @param host - Id of the host
 * @returns the key
 *
 * @example
 * await kv.read("session", formatSessionKey(host));
 */
export function formatSessionKey(host: HostId): string {
    return `session/${host}`;
}
