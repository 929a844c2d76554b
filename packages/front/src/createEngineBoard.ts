import type { EngineLoad, KnownEngine } from "@fulmarcleat/directory";
import { reduceHealth, UNKNOWN_HEALTH } from "@fulmarcleat/dispatch";
import type { EngineHealth, EngineView, HealthMessage } from "@fulmarcleat/dispatch";
import type { Clock, EngineId } from "@fulmarcleat/ids";

/** What one host sees of the engines that it sends to. */
export interface EngineBoard {
    start(engine: EngineId): void;
    /** Bytes came from an engine. */
    touch(engine: EngineId): void;
    finish(engine: EngineId): void;
    noteHealth(engine: EngineId, message: HealthMessage): void;
    noteLoad(engine: EngineId, load: EngineLoad): void;
    /** Adds prompt tokens that wait to be read, or takes them off. */
    queue(engine: EngineId, tokens: number): void;
    countQueued(engine: EngineId): number;
    view(known: KnownEngine, silentMs: number): EngineView;
    forget(engine: EngineId): void;
}

interface Row {
    inFlight: number;
    queuedTokens: number;
    /** Since when requests have been under way without a byte, in milliseconds. */
    quietSinceMs: number;
    health: EngineHealth;
    told: { readonly others: number; readonly atMs: number } | undefined;
}

/** How long an engine's word on its load counts, in milliseconds. */
const LOAD_VALID_MS = 1500;

/**
 * Creates a host's record of the engines that it sends to.
 *
 * @param clock - The clock
 * @returns the record
 *
 * @example
 * const board = createEngineBoard(clock);
 */
export function createEngineBoard(clock: Clock): EngineBoard {
    const rows = new Map<EngineId, Row>();
    const open = (engine: EngineId): Row => {
        const present = rows.get(engine);
        if (present !== undefined) {
            return present;
        }
        const row: Row = { inFlight: 0, queuedTokens: 0, quietSinceMs: 0, health: UNKNOWN_HEALTH, told: undefined };
        rows.set(engine, row);
        return row;
    };
    return {
        start(engine) {
            const row = open(engine);
            if (row.inFlight === 0) {
                row.quietSinceMs = clock.nowMs();
            }
            row.inFlight += 1;
        },
        touch(engine) {
            open(engine).quietSinceMs = clock.nowMs();
        },
        finish(engine) {
            open(engine).inFlight -= 1;
        },
        noteHealth(engine, message) {
            const row = open(engine);
            row.health = reduceHealth(row.health, message);
        },
        noteLoad(engine, load) {
            const row = open(engine);
            row.told = { others: Math.max(0, load.running + load.waiting - row.inFlight), atMs: clock.nowMs() };
        },
        queue: (engine, tokens) => void (open(engine).queuedTokens += tokens),
        countQueued: engine => rows.get(engine)?.queuedTokens ?? 0,
        view({ entry, leavesAtMs }, silentMs) {
            const row = open(entry.id);
            const atMs = clock.nowMs();
            const others = row.told !== undefined && atMs - row.told.atMs < LOAD_VALID_MS ? row.told.others : 0;
            return {
                id: entry.id,
                domain: entry.domain,
                slots: entry.slots,
                load: row.inFlight + others,
                queuedTokens: row.queuedTokens,
                health: row.health,
                isSilent: row.inFlight > 0 && atMs - row.quietSinceMs > silentMs,
                leavesInMs: leavesAtMs === undefined ? undefined : leavesAtMs - atMs,
            };
        },
        forget: engine => void rows.delete(engine),
    };
}
