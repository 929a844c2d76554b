import { brandId } from "@fulmarcleat/ids";
import type { EngineId, HostId, Incarnation, Nonce } from "@fulmarcleat/ids";
import { z } from "zod";

/** Who owns an engine; lies in the key-value service and outlives its owner. */
export interface OwnerRecord {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly fence: number;
    /** The owner gave the engine up and orders nothing more. */
    readonly released: boolean;
    /** Hosts that held places when the engine was given up. */
    readonly holders?: readonly HostId[] | undefined;
    /** Tells the write apart from another's. */
    readonly nonce: Nonce;
}

/** How an owner record lies in the key-value service. */
export const ownerRecordSchema = z.object({
    host: z.string().transform(text => brandId<HostId>(text)),
    incarnation: z.string().transform(text => brandId<Incarnation>(text)),
    fence: z.int(),
    released: z.boolean(),
    holders: z.array(z.string().transform(text => brandId<HostId>(text))).optional(),
    nonce: z.string().transform(text => brandId<Nonce>(text)),
});

/**
 * Gives the key of an engine's owner record.
 *
 * @param engine - The engine
 * @returns the key
 *
 * @example
 * await kv.read("owner", formatOwnerKey(engine));
 */
export function formatOwnerKey(engine: EngineId): string {
    return `owner/${engine}`;
}

/**
 * Gives the key that a host holds while its session lease stands.
 *
 * @param host - The host
 * @returns the key
 *
 * @example
 * await kv.read("session", formatSessionKey(host));
 */
export function formatSessionKey(host: HostId): string {
    return `session/${host}`;
}
