import { toServeError } from "@fulmarcleat/errors";
import { sleep } from "@fulmarcleat/ids";
import type { RequestId } from "@fulmarcleat/ids";
import type { StreamOrigin, StreamRecord } from "@fulmarcleat/wire";
import { decodeOrigins, encodeOrigins } from "./encodeOrigins.js";
import type { FrontContext } from "./frontContext.js";
import { RESUMABLE_MS } from "./resumableTime.js";

/** Where streams began, kept in the store for the time after a loss of all hosts. */
export interface OriginStore {
    /** Adds a stream; resolves to whether its first write succeeded. A failed one is repeated under another key. */
    add(record: StreamRecord): Promise<boolean>;
    /** Finds where a stream began; undefined if the store doesn't know, or doesn't answer. */
    find(requestId: RequestId): Promise<StreamOrigin | undefined>;
    /** Whether the store has no record of a stream, in a reply to a read that begins after this call. */
    isUnrecorded(requestId: RequestId): Promise<boolean>;
}

/** Streams under one key of the store, which is written again while streams are added. */
interface Segment {
    readonly number: number;
    readonly startedMs: number;
    readonly records: StreamRecord[];
    /** Told whether the next write, which holds all records so far, succeeded. */
    readonly listeners: ((isStored: boolean) => void)[];
    /** Number of records that the store has. */
    written: number;
}

/** What the store held when it was last read. */
interface ReadOrigins {
    readonly origins: ReadonlyMap<RequestId, StreamOrigin>;
    readonly atMs: number;
}

/** Prefix of the keys; apart from those that hosts watch, since only few ever read them. */
export const ORIGIN_PREFIX = "fulmarcleat-origins/";
/** Time after which streams go under a new key, in milliseconds. */
const SEGMENT_MS = 2500;
/** Number of streams after which the next ones go under a new key, since each write holds all streams of its key. */
const FULL_SEGMENT_RECORDS = 1000;
/** Most streams under one key; the oldest ones are dropped first while the store is away. */
const MAX_SEGMENT_RECORDS = 4000;
/** Time for which a lease takes new keys, in milliseconds. */
const LEASE_USE_MS = 10_000;
/** Shortest time between two reads of what the store holds, in milliseconds. */
const READ_INTERVAL_MS = 1000;

/**
 * Creates the store's record of where streams began. Streams are written in batches, under leases that outlive the host
 * for as long as a stream may be resumed. The first stream after a pause is written at once, so that a caller that holds
 * an event until its stream is stored waits for the store's reply only.
 *
 * @param context - Store, clock, log, metrics and this host's name
 * @param readIntervalMs - Returns the shortest time between the starts of two writes of this host, in milliseconds
 * @returns the record
 *
 * @example
 * const originStore = createOriginStore(context, () => 80);
 * const isStored = await originStore.add({ requestId, service, softwareVersion });
 */
export function createOriginStore(
    { clock, deployment, incarnation, log, metrics, store }: Pick<
        FrontContext,
        "clock" | "deployment" | "incarnation" | "log" | "metrics" | "store"
    >,
    readIntervalMs: () => number,
): OriginStore {
    const createSegment = (number: number): Segment => ({
        number,
        startedMs: clock.nowMs(),
        records: [],
        listeners: [],
        written: 0,
    });
    let segment = createSegment(0);
    let isWriting = false;
    let lastWriteMs = -Infinity;
    let lease: { readonly id: number; readonly openedMs: number } | undefined;
    let last: ReadOrigins | undefined;
    let lastReadMs: number | undefined;
    let reading: Promise<ReadOrigins | undefined> | undefined;

    const readLease = async (): Promise<number> => {
        if (lease === undefined || clock.nowMs() - lease.openedMs > LEASE_USE_MS) {
            const openedMs = clock.nowMs();
            const id = await store.openLease(RESUMABLE_MS + LEASE_USE_MS + SEGMENT_MS);
            lease = { id, openedMs };
        }
        return lease.id;
    };
    /** Starts a new key, with the streams that have come since the last write, or drops an old one's oldest streams. */
    const startSegment = (): void => {
        const { number, records, listeners, written, startedMs } = segment;
        if (written >= FULL_SEGMENT_RECORDS || written > 0 && clock.nowMs() - startedMs >= SEGMENT_MS) {
            segment = { ...createSegment(number + 1), records: records.slice(written), listeners };
        }
        else if (records.length > MAX_SEGMENT_RECORDS) {
            const dropped = records.splice(0, records.length - MAX_SEGMENT_RECORDS).length;
            segment.written = Math.max(0, written - dropped);
        }
    };
    const write = async (): Promise<void> => {
        const { number, records } = segment;
        const count = records.length;
        const listeners = segment.listeners.splice(0);
        let isStored = false;
        lastWriteMs = clock.nowMs();
        const key = `${ORIGIN_PREFIX}${deployment.host}/${incarnation}.${number}`;
        try {
            const puts = [{ key, value: encodeOrigins(records), lease: await readLease() }];
            const reply = await store.change({ expect: [], puts, removes: [] });
            if (reply.kind === "written") {
                metrics.count("stream_origins_stored_total", {}, count - segment.written);
                segment.written = count;
                isStored = true;
            }
            else {
                lease = undefined;
            }
        }
        catch (err) {
            log.write("warn", 602, { step: toServeError(err, WRITE_INTERNAL).step });
            // The write may still be carried out, and must not overwrite a later one.
            segment = { ...segment, number: number + 1, written: 0 };
        }
        listeners.forEach(tell => tell(isStored));
    };
    const writeLater = (): void => {
        if (isWriting) {
            return;
        }
        isWriting = true;
        const waitMs = Math.max(0, lastWriteMs + readIntervalMs() - clock.nowMs());
        clock.setTimer(waitMs, () =>
            void write().finally(() => {
                isWriting = false;
                startSegment();
                if (segment.written < segment.records.length) {
                    writeLater();
                }
            }));
    };
    /** The next read, which begins when one may begin again. */
    let upcoming: Promise<ReadOrigins | undefined> | undefined;
    const readNext = (): Promise<ReadOrigins | undefined> => {
        const waitMs = Math.max(0, (lastReadMs ?? -Infinity) + READ_INTERVAL_MS - clock.nowMs());
        upcoming ??= sleep(clock, waitMs).then(() => {
            upcoming = undefined;
            return read();
        });
        return upcoming;
    };
    const read = async (): Promise<ReadOrigins | undefined> => {
        const atMs = clock.nowMs();
        lastReadMs = atMs;
        try {
            const { items } = await store.list(ORIGIN_PREFIX);
            const origins = new Map(items.flatMap(({ key, value }) => {
                const decoded = decodeOrigins(value);
                if (decoded === undefined) {
                    log.write("warn", 213, { key });
                }
                return [...decoded ?? []];
            }));
            last = { origins, atMs };
            return last;
        }
        catch (err) {
            log.write("warn", 603, { step: toServeError(err, READ_INTERNAL).step, prefix: ORIGIN_PREFIX });
            return undefined;
        }
        finally {
            reading = undefined;
        }
    };
    return {
        add(record) {
            segment.records.push(record);
            const stored = new Promise<boolean>(resolve => void segment.listeners.push(resolve));
            writeLater();
            return stored;
        },
        async find(requestId) {
            const known = last?.origins.get(requestId);
            if (known !== undefined || last !== undefined && clock.nowMs() - last.atMs < READ_INTERVAL_MS) {
                return known;
            }
            reading ??= read();
            return (await reading)?.origins.get(requestId);
        },
        async isUnrecorded(requestId) {
            const origins = (await readNext())?.origins;
            return origins !== undefined && !origins.has(requestId);
        },
    };
}

const WRITE_INTERNAL = {
    code: "internal",
    step: "store stream origins",
    peer: "platform store",
    outcome: "unknown",
} as const;
const READ_INTERNAL = { ...WRITE_INTERNAL, step: "read stream origins", outcome: "not_run" } as const;
