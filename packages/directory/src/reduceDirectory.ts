import type { EngineId } from "@fulmarcleat/ids";
import type { EngineEntry } from "./engineEntry.js";

/** State of an engine as known by a host. */
export interface KnownEngine {
    readonly entry: EngineEntry;
    /** Whether the engine can receive new requests. */
    readonly isUsable: boolean;
    /** Whether another engine answers at its address. */
    readonly isReplaced: boolean;
    /** When the engine is removed unless its entry returns, in milliseconds; undefined while the entry exists. */
    readonly missingUntilMs: number | undefined;
    /** When the engine stops as announced, in milliseconds; undefined if it announced nothing. */
    readonly leavesAtMs: number | undefined;
}

/** All engines that a host knows. */
export interface DirectoryState {
    readonly engines: ReadonlyMap<EngineId, KnownEngine>;
    /** Until when removed entries may return after a store outage, in milliseconds. */
    readonly graceUntilMs: number;
    /** Engines that were removed lately, by their id. */
    readonly gone: ReadonlyMap<EngineId, GoneEngine>;
}

/** An engine that was removed. */
export interface GoneEngine {
    readonly bornMs: number | undefined;
    readonly atMs: number;
}

/** Event that changes the known engines. */
export type DirectoryMessage =
    | { readonly kind: "entry"; readonly entry: EngineEntry; readonly atMs: number }
    | { readonly kind: "removed"; readonly engine: EngineId; readonly atMs: number }
    /** The complete list of entries in the store. */
    | {
        readonly kind: "listed";
        readonly entries: readonly EngineEntry[];
        /** Whether the entries are of a copy, so that an engine's last word is what this host has heard since. */
        readonly isRestored: boolean;
        readonly atMs: number;
    }
    /** The store answers again after an outage. */
    | { readonly kind: "store_returned"; readonly atMs: number }
    /** Another engine answered at the address of this engine's incarnation. */
    | { readonly kind: "replaced"; readonly engine: EngineId; readonly bornMs: number | undefined }
    | { readonly kind: "tick"; readonly atMs: number };

/** Time after a store outage for expired entries to return, in milliseconds; the platform states about two seconds. */
const RETURN_GRACE_MS = 2300;
/** Time for which removed engines are remembered, in milliseconds; longer than the age of any copy of the store. */
const REMEMBER_GONE_MS = 60_000;

/**
 * Updates the known engines with an event.
 *
 * @param state - Engines known so far
 * @param message - Event from the store, from an exchange or from the clock
 * @returns the updated state
 *
 * @example
 * const next = reduceDirectory(state, { kind: "entry", entry, atMs: clock.nowMs() });
 */
export function reduceDirectory(state: DirectoryState, message: DirectoryMessage): DirectoryState {
    switch (message.kind) {
        case "entry":
            return { ...state, engines: putEntry(state.engines, message.entry, message.atMs) };
        case "removed":
            return rememberGone(state, markMissing(state, [message.engine], message.atMs), message.atMs);
        case "listed": {
            const present = new Set(message.entries.map(entry => entry.id));
            const missing = [...state.engines.keys()].filter(id => !present.has(id));
            const entries = message.isRestored
                ? message.entries.map(entry => correctEntry(state, entry)).filter(entry => entry !== undefined)
                : message.entries;
            const engines = entries.reduce(
                (all, entry) => putEntry(all, entry, message.atMs),
                markMissing(state, missing, message.atMs),
            );
            return rememberGone(state, engines, message.atMs);
        }
        case "store_returned":
            return { ...state, graceUntilMs: message.atMs + RETURN_GRACE_MS };
        case "replaced":
            return { ...state, engines: markReplaced(state.engines, message.engine, message.bornMs) };
        case "tick":
            return removeExpired(state, message.atMs);
    }
}

function putEntry(
    engines: ReadonlyMap<EngineId, KnownEngine>,
    entry: EngineEntry,
    atMs: number,
): ReadonlyMap<EngineId, KnownEngine> {
    const previous = engines.get(entry.id);
    if (previous !== undefined && isOlder(entry, previous.entry)) {
        return engines;
    }
    const isSameIncarnation = previous !== undefined && previous.entry.bornMs === entry.bornMs;
    const isReplaced = isSameIncarnation && previous.isReplaced;
    const leavesAtMs = entry.leavesInMs === undefined
        ? undefined
        : Math.min(atMs + entry.leavesInMs, isSameIncarnation ? previous.leavesAtMs ?? Infinity : Infinity);
    return new Map(engines).set(entry.id, {
        entry,
        isUsable: !entry.isDraining && !isReplaced,
        isReplaced,
        missingUntilMs: undefined,
        leavesAtMs,
    });
}

function isOlder(entry: EngineEntry, known: EngineEntry): boolean {
    return entry.bornMs !== undefined && known.bornMs !== undefined && entry.bornMs < known.bornMs;
}

function markReplaced(
    engines: ReadonlyMap<EngineId, KnownEngine>,
    id: EngineId,
    bornMs: number | undefined,
): ReadonlyMap<EngineId, KnownEngine> {
    const known = engines.get(id);
    return known === undefined || known.entry.bornMs !== bornMs
        ? engines
        : new Map(engines).set(id, { ...known, isUsable: false, isReplaced: true });
}

function markMissing(
    state: DirectoryState,
    ids: readonly EngineId[],
    atMs: number,
): ReadonlyMap<EngineId, KnownEngine> {
    const engines = new Map(state.engines);
    const isInGracePeriod = atMs < state.graceUntilMs;
    for (const id of ids) {
        const known = engines.get(id);
        if (known === undefined) {
            continue;
        }
        if (isInGracePeriod) {
            engines.set(id, { ...known, missingUntilMs: known.missingUntilMs ?? state.graceUntilMs });
        }
        else if (known.missingUntilMs === undefined || known.missingUntilMs <= atMs) {
            engines.delete(id);
        }
    }
    return engines;
}

function removeExpired(state: DirectoryState, atMs: number): DirectoryState {
    const expired = [...state.engines].filter(([, known]) =>
        (known.missingUntilMs !== undefined && known.missingUntilMs <= atMs)
        || (known.leavesAtMs !== undefined && known.leavesAtMs <= atMs && known.missingUntilMs !== undefined)
    );
    if (expired.length === 0) {
        return state;
    }
    const engines = new Map(state.engines);
    expired.forEach(([id]) => engines.delete(id));
    return rememberGone(state, engines, atMs);
}

/** Corrects an entry of a copy by what was heard of the engine's incarnation since; undefined if it was removed. */
function correctEntry(state: DirectoryState, entry: EngineEntry): EngineEntry | undefined {
    const gone = state.gone.get(entry.id);
    if (gone !== undefined && gone.bornMs === entry.bornMs) {
        return undefined;
    }
    const known = state.engines.get(entry.id);
    return known?.entry.isDraining === true && known.entry.bornMs === entry.bornMs ? known.entry : entry;
}

/** Replaces the engines, and remembers those that are no longer among them. */
function rememberGone(
    state: DirectoryState,
    engines: ReadonlyMap<EngineId, KnownEngine>,
    atMs: number,
): DirectoryState {
    const removed = [...state.engines].filter(([id]) => !engines.has(id));
    if (removed.length === 0) {
        return { ...state, engines };
    }
    const kept = [...state.gone].filter(([, gone]) => atMs - gone.atMs < REMEMBER_GONE_MS);
    const gone = new Map([
        ...kept,
        ...removed.map(([id, { entry }]) => [id, { bornMs: entry.bornMs, atMs }] as const),
    ]);
    return { ...state, engines, gone };
}
