import { applyChanges, createSnapshot, EMPTY_SNAPSHOT } from "@fulmarcleat/resources";
import type { ConfigChange, ConfigSnapshot, Resource } from "@fulmarcleat/resources";
import type { ConfigLog } from "./configLog.js";
import { readLastSeq } from "./readLastSeq.js";

/** A host's copy of the configuration and its progress in reading it. */
export interface HostConfigState {
    readonly snapshot: ConfigSnapshot;
    /** Whether the snapshot includes every resource as of its `seq`. */
    readonly complete: boolean;
    /** Whether the host may serve; never returns to false. */
    readonly ready: boolean;
    /** Highest sequence number that a peer reported. */
    readonly highestPeerSeq: number;
    /** Whether the log was read from the key-value service at least once. */
    readonly hasReadLog: boolean;
    /** Whether every listed peer was asked at least once. */
    readonly hasAskedPeers: boolean;
    /** Whether a full read from the key-value service is in flight. */
    readonly loading: boolean;
    /** The latest changes, in order and without gaps, for peers that lag. */
    readonly recent: readonly ConfigChange[];
}

/** An event that `reduceHostConfig` handles. */
export type HostConfigMessage =
    /** The log, as stored in the key-value service. */
    | { readonly kind: "log"; readonly log: ConfigLog }
    /** Changes received from a peer. */
    | { readonly kind: "pushed"; readonly changes: readonly ConfigChange[] }
    /** Every resource, from the key-value service or a peer. */
    | { readonly kind: "loaded"; readonly seq: number; readonly resources: readonly Resource[] }
    | { readonly kind: "loadFailed" }
    /** Sequence number that a peer reported. */
    | { readonly kind: "heard"; readonly seq: number }
    /** Every listed peer was asked once. */
    | { readonly kind: "greeted" };

/** An action that the caller of `reduceHostConfig` carries out. */
export type HostConfigEffect =
    /** Read the log and every page. */
    | { readonly kind: "load" }
    /** Request the missing changes from a peer. */
    | { readonly kind: "fetch"; readonly afterSeq: number }
    /** A newer configuration took effect; `changes` is undefined if the whole snapshot was replaced. */
    | { readonly kind: "inForce"; readonly changes: readonly ConfigChange[] | undefined };

/** The next state and the effects to carry out. */
export interface HostConfigStep {
    readonly state: HostConfigState;
    readonly effects: readonly HostConfigEffect[];
}

/** State of a host that has no configuration yet. */
export const INITIAL_HOST_CONFIG: HostConfigState = {
    snapshot: EMPTY_SNAPSHOT,
    complete: false,
    ready: false,
    highestPeerSeq: 0,
    hasReadLog: false,
    hasAskedPeers: false,
    loading: false,
    recent: [],
};

/** Limit on the changes that are kept for peers that lag. */
const MAX_RECENT_CHANGES = 1000;

/**
 * Computes the next state of a host's configuration. Its sequence number never decreases.
 *
 * @param state - Configuration state of the host
 * @param message - Event to handle
 * @returns the next state and the effects to carry out
 *
 * @example
 * const { state, effects } = reduceHostConfig(before, { kind: "pushed", changes });
 */
export function reduceHostConfig(state: HostConfigState, message: HostConfigMessage): HostConfigStep {
    const step = applyMessage(state, message);
    const { complete, ready, snapshot, highestPeerSeq, hasReadLog, hasAskedPeers } = step.state;
    const mayServe = complete && (hasReadLog || hasAskedPeers) && snapshot.seq >= highestPeerSeq;
    return { ...step, state: { ...step.state, ready: ready || mayServe } };
}

function applyMessage(state: HostConfigState, message: HostConfigMessage): HostConfigStep {
    switch (message.kind) {
        case "log":
            return applyLog(state, message.log);
        case "pushed":
            return applyPush(state, message.changes);
        case "loaded":
            return replaceSnapshot(state, message);
        case "loadFailed":
            return { state: { ...state, loading: false }, effects: [] };
        case "heard":
            return recordPeerSeq(state, message.seq);
        case "greeted":
            return { state: { ...state, hasAskedPeers: true }, effects: [] };
    }
}

function applyLog(state: HostConfigState, log: ConfigLog): HostConfigStep {
    const seq = readLastSeq(log);
    if (state.complete && seq <= state.snapshot.seq) {
        return { state: { ...state, hasReadLog: true, recent: prependRecent(state, log.changes) }, effects: [] };
    }
    const firstKept = log.changes[0]?.seq ?? log.baseSeq + 1;
    const isCovered = state.complete ? firstKept <= state.snapshot.seq + 1 : firstKept === 1;
    if (isCovered) {
        return appendChanges({ ...state, hasReadLog: true, complete: true }, log.changes);
    }
    return state.loading
        ? { state, effects: [] }
        : { state: { ...state, loading: true }, effects: [{ kind: "load" }] };
}

function applyPush(state: HostConfigState, changes: readonly ConfigChange[]): HostConfigStep {
    const first = changes[0];
    if (first === undefined || !state.complete) {
        return { state, effects: [] };
    }
    if (first.seq > state.snapshot.seq + 1) {
        return { state, effects: [{ kind: "fetch", afterSeq: state.snapshot.seq }] };
    }
    return appendChanges(state, changes);
}

function replaceSnapshot(
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

function recordPeerSeq(state: HostConfigState, seq: number): HostConfigStep {
    const isBehind = seq > state.snapshot.seq || !state.complete;
    return {
        state: { ...state, highestPeerSeq: Math.max(state.highestPeerSeq, seq) },
        effects: isBehind ? [{ kind: "fetch", afterSeq: state.complete ? state.snapshot.seq : -1 }] : [],
    };
}

function appendChanges(state: HostConfigState, changes: readonly ConfigChange[]): HostConfigStep {
    const fresh = changes.filter(change => change.seq > state.snapshot.seq);
    const snapshot = applyChanges(state.snapshot, changes);
    const recent = [...state.recent, ...fresh].slice(-MAX_RECENT_CHANGES);
    return { state: { ...state, snapshot, recent }, effects: [{ kind: "inForce", changes: fresh }] };
}

function prependRecent(state: HostConfigState, changes: readonly ConfigChange[]): readonly ConfigChange[] {
    const firstKept = state.recent[0]?.seq ?? state.snapshot.seq + 1;
    const older = changes.filter(change => change.seq < firstKept);
    return older.at(-1)?.seq === firstKept - 1 ? [...older, ...state.recent] : state.recent;
}
