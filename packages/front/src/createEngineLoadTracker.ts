import type { EngineLoad, KnownEngine } from "@fulmarcleat/directory";
import { reduceHealth, UNKNOWN_HEALTH } from "@fulmarcleat/dispatch";
import type { EngineHealth, EngineView, HealthMessage } from "@fulmarcleat/dispatch";
import type { Clock, EngineId } from "@fulmarcleat/ids";
import type { PerformanceTracker } from "./performance/createPerformanceTracker.js";

/** Load and health of the engines that one host sends requests to. */
export interface EngineLoadTracker {
    /** Speed of the engines. */
    readonly performance: PerformanceTracker;
    /** Records that a request was sent to an engine, in whose memory it holds so many tokens at most. */
    startRequest(engine: EngineId, heldTokens?: number): void;
    /** Records that bytes arrived from an engine. */
    recordBytes(engine: EngineId): void;
    /** Records that a request on an engine ended. */
    finishRequest(engine: EngineId, heldTokens?: number): void;
    recordHealth(engine: EngineId, message: HealthMessage): void;
    /** Records the load that an engine reported with an answer. */
    recordLoad(engine: EngineId, load: EngineLoad): void;
    /** Adds prompt tokens that wait for processing; a negative number removes them. */
    addQueuedTokens(engine: EngineId, tokens: number): void;
    countQueuedTokens(engine: EngineId): number;
    /** Tokens that this host's requests in flight hold at most in an engine's memory. */
    countHeldTokens(engine: EngineId): number;
    /** Describes an engine's load and health; it counts as unresponsive after the given time without a byte. */
    describeEngine(known: KnownEngine, unresponsiveAfterMs: number): EngineView;
    remove(engine: EngineId): void;
}

interface EngineRecord {
    inFlight: number;
    queuedTokens: number;
    heldTokens: number;
    /** Clock reading of the last byte, or of the first request in flight if none has arrived since, in milliseconds. */
    noBytesSinceMs: number;
    health: EngineHealth;
    reportedLoad: { readonly others: number; readonly atMs: number } | undefined;
}

/** How long a load that an engine reported is used, in milliseconds. */
const LOAD_REPORT_VALID_MS = 1500;

/**
 * Creates a tracker for the load and health of engines.
 *
 * @param clock - Source of the monotonic time
 * @param performance - Speed of the engines
 * @returns the tracker, empty at first
 *
 * @example
 * const loadTracker = createEngineLoadTracker(clock, createPerformanceTracker(context));
 */
export function createEngineLoadTracker(clock: Clock, performance: PerformanceTracker): EngineLoadTracker {
    const records = new Map<EngineId, EngineRecord>();
    const getOrCreateRecord = (engine: EngineId): EngineRecord => {
        const existing = records.get(engine);
        if (existing !== undefined) {
            return existing;
        }
        const record: EngineRecord = {
            inFlight: 0,
            queuedTokens: 0,
            heldTokens: 0,
            noBytesSinceMs: 0,
            health: UNKNOWN_HEALTH,
            reportedLoad: undefined,
        };
        records.set(engine, record);
        return record;
    };
    return {
        performance,
        startRequest(engine, heldTokens = 0) {
            const record = getOrCreateRecord(engine);
            if (record.inFlight === 0) {
                record.noBytesSinceMs = clock.nowMs();
            }
            record.inFlight += 1;
            record.heldTokens += heldTokens;
        },
        recordBytes(engine) {
            getOrCreateRecord(engine).noBytesSinceMs = clock.nowMs();
        },
        finishRequest(engine, heldTokens = 0) {
            const record = getOrCreateRecord(engine);
            record.inFlight -= 1;
            record.heldTokens -= heldTokens;
        },
        recordHealth(engine, message) {
            const record = getOrCreateRecord(engine);
            record.health = reduceHealth(record.health, message);
        },
        recordLoad(engine, load) {
            const record = getOrCreateRecord(engine);
            record.reportedLoad = {
                others: Math.max(0, load.running + load.waiting - record.inFlight),
                atMs: clock.nowMs(),
            };
        },
        addQueuedTokens: (engine, tokens) => void (getOrCreateRecord(engine).queuedTokens += tokens),
        countHeldTokens: engine => records.get(engine)?.heldTokens ?? 0,
        countQueuedTokens: engine => records.get(engine)?.queuedTokens ?? 0,
        describeEngine({ entry, leavesAtMs }, unresponsiveAfterMs) {
            const record = getOrCreateRecord(entry.id);
            const atMs = clock.nowMs();
            const others = record.reportedLoad !== undefined && atMs - record.reportedLoad.atMs < LOAD_REPORT_VALID_MS
                ? record.reportedLoad.others
                : 0;
            const pace = performance.readPace(entry);
            return {
                id: entry.id,
                domain: entry.domain,
                slots: entry.slots,
                load: record.inFlight + others,
                queuedTokens: record.queuedTokens,
                health: record.health,
                isUnresponsive: record.inFlight > 0 && atMs - record.noBytesSinceMs > unresponsiveAfterMs,
                leavesInMs: leavesAtMs === undefined ? undefined : leavesAtMs - atMs,
                ...(pace === undefined ? {} : { pace }),
            };
        },
        remove(engine) {
            records.delete(engine);
            performance.remove(engine);
        },
    };
}
