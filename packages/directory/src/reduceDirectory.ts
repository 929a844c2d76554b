import type { EngineId } from "@fulmarcleat/ids";
import type { EngineEntry } from "./engineEntry.js";

/** An engine as a host knows it. */
export interface KnownEngine {
    readonly entry: EngineEntry;
    /** Whether it may be given new requests. */
    readonly isUsable: boolean;
    /** Another engine has its address. */
    readonly isReplaced: boolean;
    /** When it counts as gone although its entry may still come back; undefined while the entry is there. */
    readonly missingUntilMs: number | undefined;
    /** When its announced time runs out; undefined where it announced none. */
    readonly leavesAtMs: number | undefined;
}

/** Every engine that a host knows. */
export interface DirectoryState {
    readonly engines: ReadonlyMap<EngineId, KnownEngine>;
    /** Until when removed entries may still come back, since the store was away. */
    readonly graceUntilMs: number;
}

/** What changes a host's knowledge of engines. */
export type DirectoryMessage =
    | { readonly kind: "entry"; readonly entry: EngineEntry; readonly atMs: number }
    | { readonly kind: "removed"; readonly engine: EngineId; readonly atMs: number }
    /** Everything that the store lists. */
    | { readonly kind: "listed"; readonly entries: readonly EngineEntry[]; readonly atMs: number }
    /** The store answers again after a time without. */
    | { readonly kind: "store_returned"; readonly atMs: number }
    /** Another engine answered at the address of an engine's incarnation. */
    | { readonly kind: "replaced"; readonly engine: EngineId; readonly bornMs: number | undefined }
    | { readonly kind: "tick"; readonly atMs: number };

/** How long after the store's return lapsed entries may take to come back, in milliseconds; the platform states about two seconds. */
const RETURN_GRACE_MS = 2300;

/**
 * Takes news of engines into a host's knowledge of them.
 *
 * @param state - What the host knows
 * @param message - The news
 * @returns what the host knows now
 *
 * @example
 * const next = reduceDirectory(state, { kind: "entry", entry, atMs: clock.nowMs() });
 */
export function reduceDirectory(state: DirectoryState, message: DirectoryMessage): DirectoryState {
    switch (message.kind) {
        case "entry":
            return { ...state, engines: put(state.engines, message.entry, message.atMs) };
        case "removed":
            return { ...state, engines: markMissing(state, [message.engine], message.atMs) };
        case "listed": {
            const present = new Set(message.entries.map(entry => entry.id));
            const missing = [...state.engines.keys()].filter(id => !present.has(id));
            const engines = message.entries.reduce(
                (all, entry) => put(all, entry, message.atMs),
                markMissing(state, missing, message.atMs),
            );
            return { ...state, engines };
        }
        case "store_returned":
            return { ...state, graceUntilMs: message.atMs + RETURN_GRACE_MS };
        case "replaced":
            return { ...state, engines: markReplaced(state.engines, message.engine, message.bornMs) };
        case "tick":
            return dropGone(state, message.atMs);
    }
}

function put(
    engines: ReadonlyMap<EngineId, KnownEngine>,
    entry: EngineEntry,
    atMs: number,
): ReadonlyMap<EngineId, KnownEngine> {
    const former = engines.get(entry.id);
    if (former !== undefined && isOlder(entry, former.entry)) {
        return engines;
    }
    const isSameLife = former !== undefined && former.entry.bornMs === entry.bornMs;
    const isReplaced = isSameLife && former.isReplaced;
    const leavesAtMs = entry.leavesInMs === undefined
        ? undefined
        : Math.min(atMs + entry.leavesInMs, isSameLife ? former.leavesAtMs ?? Infinity : Infinity);
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
    const isGrace = atMs < state.graceUntilMs;
    for (const id of ids) {
        const known = engines.get(id);
        if (known === undefined) {
            continue;
        }
        if (isGrace) {
            engines.set(id, { ...known, missingUntilMs: known.missingUntilMs ?? state.graceUntilMs });
        }
        else if (known.missingUntilMs === undefined || known.missingUntilMs <= atMs) {
            engines.delete(id);
        }
    }
    return engines;
}

function dropGone(state: DirectoryState, atMs: number): DirectoryState {
    const gone = [...state.engines].filter(([, known]) =>
        (known.missingUntilMs !== undefined && known.missingUntilMs <= atMs)
        || (known.leavesAtMs !== undefined && known.leavesAtMs <= atMs && known.missingUntilMs !== undefined)
    );
    if (gone.length === 0) {
        return state;
    }
    const engines = new Map(state.engines);
    gone.forEach(([id]) => engines.delete(id));
    return { ...state, engines };
}
