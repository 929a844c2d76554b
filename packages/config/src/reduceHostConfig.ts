import { applyChanges, createSnapshot, EMPTY_SNAPSHOT } from "@fulmarcleat/resources";
import type { ConfigChange, ConfigSnapshot, Resource } from "@fulmarcleat/resources";
import type { ConfigLog } from "./configLog.js";
import { readLastSeq } from "./readLastSeq.js";

/** What a host holds of the configuration. */
export interface HostConfigState {
    readonly snapshot: ConfigSnapshot;
    /** Whether the snapshot holds every resource as of its `seq`. */
    readonly complete: boolean;
    /** Whether the host may serve; stays true once it is. */
    readonly ready: boolean;
    /** Newest change that any other host said it has. */
    readonly heardSeq: number;
    /** Whether the key-value service gave the log once. */
    readonly sawLog: boolean;
    /** Whether every listed peer was asked once. */
    readonly greeted: boolean;
    /** Whether everything is being read from the key-value service. */
    readonly loading: boolean;
    /** The latest changes, for peers that lag. */
    readonly recent: readonly ConfigChange[];
}

/** What reaches a host's configuration. */
export type HostConfigMessage =
    /** The log as the key-value service holds it. */
    | { readonly kind: "log"; readonly log: ConfigLog }
    /** Changes from a peer. */
    | { readonly kind: "pushed"; readonly changes: readonly ConfigChange[] }
    /** Every resource, from the key-value service or a peer. */
    | { readonly kind: "loaded"; readonly seq: number; readonly resources: readonly Resource[] }
    | { readonly kind: "loadFailed" }
    /** A peer's word about what it holds. */
    | { readonly kind: "heard"; readonly seq: number }
    | { readonly kind: "greeted" };

/** What a host does next. */
export type HostConfigEffect =
    /** Read the log and every page. */
    | { readonly kind: "load" }
    /** Ask a peer for what is missing. */
    | { readonly kind: "fetch"; readonly afterSeq: number }
    /** A newer configuration is in force; `changes` is undefined where everything was replaced. */
    | { readonly kind: "inForce"; readonly changes: readonly ConfigChange[] | undefined };

/** The next state and what to do. */
export interface HostConfigStep {
    readonly state: HostConfigState;
    readonly effects: readonly HostConfigEffect[];
}

/** A host that knows nothing yet. */
export const INITIAL_HOST_CONFIG: HostConfigState = {
    snapshot: EMPTY_SNAPSHOT,
    complete: false,
    ready: false,
    heardSeq: 0,
    sawLog: false,
    greeted: false,
    loading: false,
    recent: [],
};

const RECENT_CHANGES = 1000;

/**
 * Decides how a host's configuration moves on; it never moves back.
 *
 * @param state - What the host holds
 * @param message - What reached it
 * @returns the next state and what to do
 *
 * @example
 * const { state, effects } = reduceHostConfig(before, { kind: "pushed", changes });
 */
export function reduceHostConfig(state: HostConfigState, message: HostConfigMessage): HostConfigStep {
    const step = take(state, message);
    const { complete, ready, snapshot, heardSeq, sawLog, greeted } = step.state;
    const mayServe = complete && (sawLog || greeted) && snapshot.seq >= heardSeq;
    return { ...step, state: { ...step.state, ready: ready || mayServe } };
}

function take(state: HostConfigState, message: HostConfigMessage): HostConfigStep {
    switch (message.kind) {
        case "log":
            return takeLog(state, message.log);
        case "pushed":
            return takePush(state, message.changes);
        case "loaded":
            return takeAll(state, message);
        case "loadFailed":
            return { state: { ...state, loading: false }, effects: [] };
        case "heard":
            return takeWord(state, message.seq);
        case "greeted":
            return { state: { ...state, greeted: true }, effects: [] };
    }
}

function takeLog(state: HostConfigState, log: ConfigLog): HostConfigStep {
    const seq = readLastSeq(log);
    if (state.complete && seq <= state.snapshot.seq) {
        return { state: { ...state, sawLog: true, recent: widenRecent(state, log.changes) }, effects: [] };
    }
    const firstKept = log.changes[0]?.seq ?? log.baseSeq + 1;
    const isCovered = state.complete ? firstKept <= state.snapshot.seq + 1 : firstKept === 1;
    if (isCovered) {
        return advance({ ...state, sawLog: true, complete: true }, log.changes);
    }
    return state.loading
        ? { state, effects: [] }
        : { state: { ...state, loading: true }, effects: [{ kind: "load" }] };
}

function takePush(state: HostConfigState, changes: readonly ConfigChange[]): HostConfigStep {
    const first = changes[0];
    if (first === undefined || !state.complete) {
        return { state, effects: [] };
    }
    if (first.seq > state.snapshot.seq + 1) {
        return { state, effects: [{ kind: "fetch", afterSeq: state.snapshot.seq }] };
    }
    return advance(state, changes);
}

function takeAll(
    state: HostConfigState,
    all: { readonly seq: number; readonly resources: readonly Resource[] },
): HostConfigStep {
    const settled = { ...state, loading: false };
    if (state.complete && all.seq <= state.snapshot.seq) {
        return { state: settled, effects: [] };
    }
    const snapshot = createSnapshot(all.seq, all.resources);
    return {
        state: { ...settled, snapshot, complete: true, recent: [] },
        effects: [{ kind: "inForce", changes: undefined }],
    };
}

function takeWord(state: HostConfigState, seq: number): HostConfigStep {
    const isBehind = seq > state.snapshot.seq || !state.complete;
    return {
        state: { ...state, heardSeq: Math.max(state.heardSeq, seq) },
        effects: isBehind ? [{ kind: "fetch", afterSeq: state.complete ? state.snapshot.seq : -1 }] : [],
    };
}

function advance(state: HostConfigState, changes: readonly ConfigChange[]): HostConfigStep {
    const fresh = changes.filter(change => change.seq > state.snapshot.seq);
    const snapshot = applyChanges(state.snapshot, changes);
    const recent = [...state.recent, ...fresh].slice(-RECENT_CHANGES);
    return { state: { ...state, snapshot, recent }, effects: [{ kind: "inForce", changes: fresh }] };
}

function widenRecent(state: HostConfigState, changes: readonly ConfigChange[]): readonly ConfigChange[] {
    const firstKept = state.recent[0]?.seq ?? state.snapshot.seq + 1;
    const older = changes.filter(change => change.seq < firstKept);
    return older.at(-1)?.seq === firstKept - 1 ? [...older, ...state.recent] : state.recent;
}
