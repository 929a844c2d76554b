import type { EventLog } from "@fulmarcleat/events";
import { createId } from "@fulmarcleat/ids";
import type { Clock, EngineId, HostId, Incarnation, Nonce } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import { formatOwnerKey, formatSessionKey, ownerRecordSchema } from "./ownerRecord.js";
import type { OwnerRecord } from "./ownerRecord.js";

/** Settings of the client for owner records. */
export interface OwnerRecordsOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly kv: KvClient;
    readonly clock: Clock;
    readonly log: EventLog;
}

/** Client for the owner records and host sessions in the key-value service. */
export interface OwnerRecords {
    read(engine: EngineId): Promise<{ readonly record: OwnerRecord | undefined; readonly revision: number }>;
    /** Reads the incarnation in a host's session; undefined if its lease has expired. */
    readSession(host: HostId): Promise<Incarnation | undefined>;
    /** Writes this host as the owner; true only if the write is known to be applied. */
    claim(engine: EngineId, expectedRevision: number, fence: number): Promise<boolean>;
    /** Marks the record as released if this host still owns the engine under this fence. */
    release(engine: EngineId, fence: number, holders: readonly HostId[]): Promise<void>;
    /** Returns an engine's owner from a short-lived cache; undefined if there is none or the read failed. */
    lookUpOwner(engine: EngineId): Promise<HostId | undefined>;
}

/** A cached look-up; concurrent callers share its promise. */
interface CachedOwner {
    /** When the entry expires, in milliseconds. */
    readonly untilMs: number;
    readonly owner: Promise<HostId | undefined>;
}

/** Time for which a looked-up owner is cached, in milliseconds. */
const OWNER_CACHE_MS = 1000;

/**
 * Creates the client for the owner records.
 *
 * @param options - Identity of this host and client of the key-value service
 * @returns the client
 *
 * @example
 * const records = createOwnerRecords({ host, incarnation, kv, clock, log });
 */
export function createOwnerRecords(options: OwnerRecordsOptions): OwnerRecords {
    const { host, incarnation, kv, clock, log } = options;
    const cachedOwners = new Map<EngineId, CachedOwner>();
    const read: OwnerRecords["read"] = async engine => {
        const entry = await kv.read("owner", formatOwnerKey(engine));
        return {
            record: entry === undefined ? undefined : ownerRecordSchema.parse(JSON.parse(entry.value)),
            revision: entry?.revision ?? 0,
        };
    };
    const write = async (
        engine: EngineId,
        expectedRevision: number,
        record: Omit<OwnerRecord, "host" | "incarnation" | "nonce">,
    ): Promise<boolean> => {
        const nonce = createId<Nonce>();
        const value: OwnerRecord = { host, incarnation, ...record, nonce };
        const outcome = await kv.write({
            purpose: "owner",
            key: formatOwnerKey(engine),
            expectedRevision,
            value: JSON.stringify(value),
            isOwn: text => text.includes(nonce),
        });
        return outcome.kind === "applied";
    };
    const readOwner = async (engine: EngineId): Promise<HostId | undefined> => {
        const { record } = await read(engine);
        return record === undefined || record.released ? undefined : record.host;
    };
    return {
        read,
        async readSession(owner) {
            const entry = await kv.read("session", formatSessionKey(owner));
            return entry === undefined ? undefined : entry.value as Incarnation;
        },
        claim: (engine, expectedRevision, fence) => write(engine, expectedRevision, { fence, released: false }),
        async release(engine, fence, holders) {
            const { record, revision } = await read(engine);
            if (record?.host === host && record.incarnation === incarnation && record.fence === fence) {
                await write(engine, revision, { fence, released: true, holders });
            }
            log.write("info", 301, { engine, fence });
        },
        lookUpOwner(engine) {
            const cached = cachedOwners.get(engine);
            if (cached !== undefined && cached.untilMs > clock.nowMs()) {
                return cached.owner;
            }
            const owner = readOwner(engine).catch(() => undefined);
            cachedOwners.set(engine, { untilMs: clock.nowMs() + OWNER_CACHE_MS, owner });
            return owner;
        },
    };
}
