import { parseJson } from "@fulmarcleat/http";
import type {
    EngineId,
    FailureDomain,
    HostId,
    Incarnation,
    ServiceName,
    SoftwareVersion,
    Suspect,
} from "@fulmarcleat/ids";
import { brandId } from "@fulmarcleat/ids";
import { isCarriable, textSchema } from "@fulmarcleat/platform";
import type { OwnerClaim } from "@fulmarcleat/residency";
import type { AdapterLoadRequest } from "@fulmarcleat/wire";
import * as z from "zod";

/** Prefix of the keys that the system stores for itself. */
export const SYSTEM_PREFIX = "fulmarcleat/";
const MEMBER_PREFIX = `${SYSTEM_PREFIX}member/`;
const LOAD_REQUEST_PREFIX = `${SYSTEM_PREFIX}want/`;
const QUARANTINE_PREFIX = `${SYSTEM_PREFIX}quarantine/`;
const VERSION_PREFIX = `${SYSTEM_PREFIX}version/`;
const ORIGIN_RULE_PREFIX = `${SYSTEM_PREFIX}origin-rules/`;
const OWNER_PREFIX = `${SYSTEM_PREFIX}owner/`;
/** Key of the secret with which hosts authenticate to each other. */
export const PEER_SECRET_KEY = `${SYSTEM_PREFIX}peer-secret`;

/** A live host as listed in the store. */
export interface Member {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly ip: string;
    readonly port: number;
    /** Failure domain of the host; undefined if a former version has written the entry. */
    readonly domain?: FailureDomain | undefined;
    /** Port on which the host serves other hosts' requests; undefined if a former version has written the entry. */
    readonly forwardPort?: number | undefined;
    /** Whether the host answers others that follow its view of the store; hosts of former versions don't. */
    readonly canBeFollowed?: boolean | undefined;
    /** Whether streams begin by the origin rules here while the store takes no records; hosts of former versions lack it. */
    readonly followsOriginRules?: boolean | undefined;
    /** Rate of the host's link, in Mbit/s; undefined if it is unknown, or a former version has written the entry. */
    readonly linkMbps?: number | undefined;
    readonly isLeaving: boolean;
}

/** Value of an engine's owner key. */
export interface OwnerValue {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly isReleased: boolean;
    /** Whether the host gave the engine up because it had lost its path to it. */
    readonly hasLostPath: boolean;
    /** Why the host waits before its first order; undefined once it may order. */
    readonly waitsFor?: OwnerClaim["waitsFor"];
    /** Hosts that may still have the right to order while the host waits for its end. */
    readonly formerHosts?: OwnerClaim["formerHosts"];
}

/** Highest TCP port number. */
const MAX_PORT = 65535;
/** Longest wait that a host asks for in a load request, in milliseconds. */
const MAX_WAIT_MS = 600_000;

const portSchema = z.number().int().min(1).max(MAX_PORT);
const memberSchema = z.object({
    incarnation: textSchema,
    ip: z.ipv4(),
    port: portSchema,
    domain: textSchema.optional(),
    forwardPort: portSchema.optional(),
    canBeFollowed: z.boolean().optional(),
    followsOriginRules: z.boolean().optional(),
    linkMbps: z.number().positive().optional(),
    isLeaving: z.boolean(),
});
const ownerSchema = z.object({
    host: textSchema,
    incarnation: textSchema,
    isReleased: z.boolean(),
    hasLostPath: z.boolean().default(false),
    waitsFor: z.enum(["order_lease", "order_right"]).optional(),
    formerHosts: z.array(textSchema).optional(),
});
const loadRequestsSchema = z.object({
    asks: z.array(z.object({
        engine: textSchema,
        model: textSchema,
        adapter: textSchema,
        version: z.number().int().optional(),
        dueInMs: z.number().max(MAX_WAIT_MS),
        waitMs: z.number().max(MAX_WAIT_MS),
        isMissing: z.boolean(),
    })),
});

/** A software version that a service's engines have. */
export interface ServiceVersion {
    readonly service: ServiceName;
    /** Undefined if the engines state none. */
    readonly softwareVersion: SoftwareVersion | undefined;
}

/** A software version that the store has on record. */
export interface RecordedVersion extends ServiceVersion {
    /** Revision at which the store recorded it; 0 if the store has lost it since. */
    readonly revision: number;
}

/** A quarantine as the store holds it. */
export interface StoredQuarantine {
    /** Revision of its key. */
    readonly revision: number;
    /** Clock reading when this host learned of it, in milliseconds. */
    readonly sinceMs: number;
}

/** What a key of the system refers to. */
export type HostKey =
    | { readonly kind: "member"; readonly host: HostId }
    | { readonly kind: "owner"; readonly engine: EngineId }
    | { readonly kind: "wants"; readonly host: HostId }
    | { readonly kind: "quarantine"; readonly suspect: Suspect }
    | { readonly kind: "version"; readonly version: ServiceVersion }
    | { readonly kind: "origin_rules"; readonly route: string }
    | { readonly kind: "other" };

/**
 * Parses a key of the system.
 *
 * @param key - Full key with the system's prefix
 * @returns its kind and the host or engine that it refers to
 *
 * @example
 * parseHostKey("fulmarcleat/member/front-1"); // { kind: "member", host: "front-1" }
 */
export function parseHostKey(key: string): HostKey {
    if (!isCarriable(key)) {
        return { kind: "other" };
    }
    if (key.startsWith(MEMBER_PREFIX)) {
        return { kind: "member", host: brandId(key.slice(MEMBER_PREFIX.length)) };
    }
    if (key.startsWith(OWNER_PREFIX)) {
        return { kind: "owner", engine: brandId(key.slice(OWNER_PREFIX.length)) };
    }
    if (key.startsWith(LOAD_REQUEST_PREFIX)) {
        return { kind: "wants", host: brandId(key.slice(LOAD_REQUEST_PREFIX.length)) };
    }
    if (key.startsWith(QUARANTINE_PREFIX)) {
        return { kind: "quarantine", suspect: brandId<Suspect>(key.slice(QUARANTINE_PREFIX.length)) };
    }
    if (key.startsWith(VERSION_PREFIX)) {
        const version = parseVersionKey(key.slice(VERSION_PREFIX.length));
        return version === undefined ? { kind: "other" } : { kind: "version", version };
    }
    if (key.startsWith(ORIGIN_RULE_PREFIX)) {
        const route = decodeKeyPart(key.slice(ORIGIN_RULE_PREFIX.length));
        return route === undefined ? { kind: "other" } : { kind: "origin_rules", route };
    }
    return { kind: "other" };
}

/** Decodes an encoded part of a key; undefined if another writer has put it there. */
function decodeKeyPart(text: string): string | undefined {
    try {
        return decodeURIComponent(text);
    }
    catch {
        return undefined;
    }
}

/** Parses the part of a version's key after its prefix; undefined if another writer has put it there. */
function parseVersionKey(text: string): ServiceVersion | undefined {
    const [service, softwareVersion] = text.split("/").map(decodeKeyPart);
    const isReadable = service !== undefined && (softwareVersion !== undefined || !text.includes("/"));
    return isReadable
        ? {
            service: brandId(service),
            softwareVersion: softwareVersion === undefined ? undefined : brandId(softwareVersion),
        }
        : undefined;
}

/**
 * Formats the key of a host's entry.
 *
 * @param host - Name of the host
 * @returns the full key
 *
 * @example
 * formatMemberKey(brandId("front-1")); // "fulmarcleat/member/front-1"
 */
export function formatMemberKey(host: HostId): string {
    return MEMBER_PREFIX + host;
}

/**
 * Formats the key that holds an engine's owner.
 *
 * @param engine - Id of the engine
 * @returns the full key
 *
 * @example
 * formatOwnerKey(brandId("i-1")); // "fulmarcleat/owner/i-1"
 */
export function formatOwnerKey(engine: EngineId): string {
    return OWNER_PREFIX + engine;
}

/**
 * Formats the key that marks a prompt part or a request as quarantined.
 *
 * @param suspect - Id of the prompt part or digest of the request
 * @returns the full key
 *
 * @example
 * formatQuarantineKey(brandId<PromptPart>("91bd3f06")); // "fulmarcleat/quarantine/91bd3f06"
 */
export function formatQuarantineKey(suspect: Suspect): string {
    return QUARANTINE_PREFIX + suspect;
}

/**
 * Formats the key that says that a software version of a service is in use, or was until lately.
 *
 * @param version - Service and software version
 * @returns the full key
 *
 * @example
 * formatVersionKey({ service: brandId("models"), softwareVersion: brandId("v2") }); // "fulmarcleat/version/models/v2"
 */
export function formatVersionKey({ service, softwareVersion }: ServiceVersion): string {
    const parts = softwareVersion === undefined ? [service] : [service, softwareVersion];
    return VERSION_PREFIX + parts.map(encodeURIComponent).join("/");
}

/**
 * Formats the key that holds the origin rules of a route.
 *
 * @param route - Name of the route
 * @returns the full key
 *
 * @example
 * formatOriginRuleKey("answers"); // "fulmarcleat/origin-rules/answers"
 */
export function formatOriginRuleKey(route: string): string {
    return ORIGIN_RULE_PREFIX + encodeURIComponent(route);
}

/**
 * Serializes a host's entry.
 *
 * @param member - Address and state of the host, without its name, which is in the key
 * @returns the value as JSON
 *
 * @example
 * formatMember({ incarnation, ip: "10.0.0.1", port: 7000, domain: brandId("a"), isLeaving: false });
 */
export function formatMember(member: Omit<Member, "host">): Buffer {
    const { incarnation, ip, port, domain, forwardPort, canBeFollowed, followsOriginRules, linkMbps, isLeaving } =
        member;
    const value = {
        incarnation,
        ip,
        port,
        domain,
        forwardPort,
        canBeFollowed,
        followsOriginRules,
        linkMbps,
        isLeaving,
    };
    return Buffer.from(JSON.stringify(value));
}

/**
 * Serializes the value of an engine's owner key.
 *
 * @param owner - The owner, and whether and how it has given the engine up
 * @returns the value as JSON
 *
 * @example
 * formatOwner({ host, incarnation, isReleased: false, hasLostPath: false });
 */
export function formatOwner({ host, incarnation, isReleased, hasLostPath, waitsFor, formerHosts }: OwnerValue): Buffer {
    return Buffer.from(JSON.stringify({ host, incarnation, isReleased, hasLostPath, waitsFor, formerHosts }));
}

/**
 * Formats the key of the load requests that a host passes to owners through the store.
 *
 * @param host - Name of the requesting host
 * @returns the full key
 *
 * @example
 * formatLoadRequestKey(brandId("front-1")); // "fulmarcleat/want/front-1"
 */
export function formatLoadRequestKey(host: HostId): string {
    return LOAD_REQUEST_PREFIX + host;
}

/**
 * Parses the load requests that a host passes to owners through the store.
 *
 * @param value - Stored value, JSON
 * @returns the load requests; none if the value is invalid
 *
 * @example
 * parseLoadRequests(item.value).forEach(handleLoadRequest);
 */
export function parseLoadRequests(value: Buffer): readonly AdapterLoadRequest[] {
    const parsed = loadRequestsSchema.safeParse(parseJson(value.toString("utf8")));
    return parsed.success
        ? parsed.data.asks.map(loadRequest => ({
            ...loadRequest,
            engine: brandId(loadRequest.engine),
            model: brandId(loadRequest.model),
            adapter: brandId(loadRequest.adapter),
            version: loadRequest.version,
            isRelayed: true,
        }))
        : [];
}

/**
 * Parses a host's entry.
 *
 * @param host - Name of the host, from the key
 * @param value - Stored value, JSON
 * @returns the entry; undefined if the value is invalid
 *
 * @example
 * parseMember(brandId("front-1"), item.value);
 */
export function parseMember(host: HostId, value: Buffer): Member | undefined {
    const parsed = memberSchema.safeParse(parseJson(value.toString("utf8")));
    if (!parsed.success) {
        return undefined;
    }
    const { incarnation, ip, port, domain, forwardPort, canBeFollowed, followsOriginRules, linkMbps, isLeaving } =
        parsed.data;
    return {
        host,
        incarnation: brandId(incarnation),
        ip,
        port,
        domain: domain === undefined ? undefined : brandId(domain),
        forwardPort,
        canBeFollowed,
        followsOriginRules,
        linkMbps,
        isLeaving,
    };
}

/**
 * Parses the value of an engine's owner key.
 *
 * @param value - Stored value, JSON
 * @returns the owner; undefined if the value is invalid
 *
 * @example
 * parseOwner(item.value)?.host;
 */
export function parseOwner(value: Buffer): OwnerValue | undefined {
    const parsed = ownerSchema.safeParse(parseJson(value.toString("utf8")));
    return parsed.success
        ? {
            host: brandId(parsed.data.host),
            incarnation: brandId(parsed.data.incarnation),
            isReleased: parsed.data.isReleased,
            hasLostPath: parsed.data.hasLostPath,
            waitsFor: parsed.data.waitsFor,
            formerHosts: parsed.data.formerHosts?.map(host => brandId<HostId>(host)),
        }
        : undefined;
}
