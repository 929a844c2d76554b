import type { EventLog } from "@fulmarcleat/events";
import { createId } from "@fulmarcleat/ids";
import type { Clock, EngineId, HostId, Incarnation, Nonce } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import { formatOwnerKey, formatSessionKey, ownerRecordSchema } from "./ownerRecord.js";
import type { OwnerRecord } from "./ownerRecord.js";

/** Settings of the owner records' client. */
export interface OwnerRecordsOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly kv: KvClient;
    readonly clock: Clock;
    readonly log: EventLog;
}

/** Owner records and sessions in the key-value service. */
export interface OwnerRecords {
    read(engine: EngineId): Promise<{ readonly record: OwnerRecord | undefined; readonly revision: number }>;
    /** Incarnation in a host's session; undefined where its lease has lapsed. */
    session(host: HostId): Promise<Incarnation | undefined>;
    /** Whether the claim is known to be applied. */
    claim(engine: EngineId, expectedRevision: number, fence: number): Promise<boolean>;
    giveUp(engine: EngineId, fence: number, holders: readonly HostId[]): Promise<void>;
    /** An engine's owner, read at most once in a while. */
    lookUp(engine: EngineId): Promise<HostId | undefined>;
}

interface CachedOwner {
    readonly untilMs: number;
    readonly owner: Promise<HostId | undefined>;
}

const CACHE_MS = 1000;

/**
 * Creates the client of the owner records.
 *
 * @param options - This host and the key-value service
 * @returns the client
 *
 * @example
 * const records = createOwnerRecords({ host, incarnation, kv, clock, log });
 */
export function createOwnerRecords(options: OwnerRecordsOptions): OwnerRecords {
    const { host, incarnation, kv, clock, log } = options;
    const cached = new Map<EngineId, CachedOwner>();
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
        async session(owner) {
            const entry = await kv.read("session", formatSessionKey(owner));
            return entry === undefined ? undefined : entry.value as Incarnation;
        },
        claim: (engine, expectedRevision, fence) => write(engine, expectedRevision, { fence, released: false }),
        async giveUp(engine, fence, holders) {
            const { record, revision } = await read(engine);
            if (record?.host === host && record.incarnation === incarnation && record.fence === fence) {
                await write(engine, revision, { fence, released: true, holders });
            }
            log.write("info", 301, { engine, fence });
        },
        lookUp(engine) {
            const present = cached.get(engine);
            if (present !== undefined && present.untilMs > clock.nowMs()) {
                return present.owner;
            }
            const owner = readOwner(engine).catch(() => undefined);
            cached.set(engine, { untilMs: clock.nowMs() + CACHE_MS, owner });
            return owner;
        },
    };
}
