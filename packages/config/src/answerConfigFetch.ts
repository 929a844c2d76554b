import { listAllResources } from "@fulmarcleat/resources";
import type { ConfigFetch, ConfigFetchReply } from "@fulmarcleat/wire";
import type { HostConfigState } from "./reduceHostConfig.js";

/**
 * Answers a peer that lacks part of the configuration.
 *
 * @param state - What this host holds
 * @param ask - The last change that the peer has; -1 where it has nothing
 * @returns the missing changes where all are kept, else everything
 *
 * @example
 * const reply = answerConfigFetch(state, { afterSeq: 41 });
 */
export function answerConfigFetch(state: HostConfigState, ask: ConfigFetch): ConfigFetchReply {
    if (!state.complete) {
        return { kind: "incomplete" };
    }
    const { seq } = state.snapshot;
    const firstKept = state.recent[0]?.seq ?? seq + 1;
    if (ask.afterSeq >= 0 && firstKept <= ask.afterSeq + 1) {
        return { kind: "changes", changes: state.recent.filter(change => change.seq > ask.afterSeq) };
    }
    return { kind: "snapshot", seq, resources: listAllResources(state.snapshot) };
}
