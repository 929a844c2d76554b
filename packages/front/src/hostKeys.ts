import { parseJson } from "@fulmarcleat/http";
import type { EngineId, HostId, Incarnation } from "@fulmarcleat/ids";
import { brandId } from "@fulmarcleat/ids";
import type { AdapterLoadAsk } from "@fulmarcleat/wire";
import * as z from "zod";

/** Keys below which the system keeps what must last. */
export const SYSTEM_PREFIX = "fulmarcleat/";
const MEMBER_PREFIX = `${SYSTEM_PREFIX}member/`;
const WANT_PREFIX = `${SYSTEM_PREFIX}want/`;
const OWNER_PREFIX = `${SYSTEM_PREFIX}owner/`;
/** Key of the secret that hosts prove to each other. */
export const PEER_SECRET_KEY = `${SYSTEM_PREFIX}peer-secret`;

/** A live host as the store lists it. */
export interface Member {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly ip: string;
    readonly port: number;
    readonly isLeaving: boolean;
}

/** Value of an engine's owner key. */
export interface OwnerValue {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly isReleased: boolean;
}

const memberSchema = z.object({
    incarnation: z.string(),
    ip: z.string(),
    port: z.number(),
    isLeaving: z.boolean(),
});
const ownerSchema = z.object({ host: z.string(), incarnation: z.string(), isReleased: z.boolean() });
const wantsSchema = z.object({
    asks: z.array(z.object({
        engine: z.string(),
        model: z.string(),
        adapter: z.string(),
        version: z.number().optional(),
        dueInMs: z.number(),
        waitMs: z.number(),
        isMissing: z.boolean(),
    })),
});

/** What a key of the system holds. */
export type HostKey =
    | { readonly kind: "member"; readonly host: HostId }
    | { readonly kind: "owner"; readonly engine: EngineId }
    | { readonly kind: "wants"; readonly host: HostId }
    | { readonly kind: "other" };

/**
 * Tells what a key of the system holds.
 *
 * @param key - The key
 * @returns its kind and whom it is about
 *
 * @example
 * parseHostKey("fulmarcleat/member/front-1"); // { kind: "member", host: "front-1" }
 */
export function parseHostKey(key: string): HostKey {
    if (key.startsWith(MEMBER_PREFIX)) {
        return { kind: "member", host: brandId(key.slice(MEMBER_PREFIX.length)) };
    }
    if (key.startsWith(OWNER_PREFIX)) {
        return { kind: "owner", engine: brandId(key.slice(OWNER_PREFIX.length)) };
    }
    if (key.startsWith(WANT_PREFIX)) {
        return { kind: "wants", host: brandId(key.slice(WANT_PREFIX.length)) };
    }
    return { kind: "other" };
}

/** Gives the key of a host's entry. */
export function formatMemberKey(host: HostId): string {
    return MEMBER_PREFIX + host;
}

/** Gives the key of an engine's owner. */
export function formatOwnerKey(engine: EngineId): string {
    return OWNER_PREFIX + engine;
}

/** Writes the value of a host's entry. */
export function formatMember({ incarnation, ip, port, isLeaving }: Omit<Member, "host">): Buffer {
    return Buffer.from(JSON.stringify({ incarnation, ip, port, isLeaving }));
}

/** Writes the value of an engine's owner key. */
export function formatOwner({ host, incarnation, isReleased }: OwnerValue): Buffer {
    return Buffer.from(JSON.stringify({ host, incarnation, isReleased }));
}

/** Gives the key of the load asks that a host has left for owners. */
export function formatWantKey(host: HostId): string {
    return WANT_PREFIX + host;
}

/** Reads the load asks that a host has left; none where they can't be read. */
export function parseWants(value: Buffer): readonly AdapterLoadAsk[] {
    const parsed = wantsSchema.safeParse(parseJson(value.toString("utf8")));
    return parsed.success
        ? parsed.data.asks.map(ask => ({
            ...ask,
            engine: brandId(ask.engine),
            model: brandId(ask.model),
            adapter: brandId(ask.adapter),
            version: ask.version,
            isRelayed: true,
        }))
        : [];
}

/** Reads a host's entry; undefined where it can't be read. */
export function parseMember(host: HostId, value: Buffer): Member | undefined {
    const parsed = memberSchema.safeParse(parseJson(value.toString("utf8")));
    return parsed.success ? { ...parsed.data, host, incarnation: brandId(parsed.data.incarnation) } : undefined;
}

/** Reads an engine's owner; undefined where it can't be read. */
export function parseOwner(value: Buffer): OwnerValue | undefined {
    const parsed = ownerSchema.safeParse(parseJson(value.toString("utf8")));
    return parsed.success
        ? {
            host: brandId(parsed.data.host),
            incarnation: brandId(parsed.data.incarnation),
            isReleased: parsed.data.isReleased,
        }
        : undefined;
}
