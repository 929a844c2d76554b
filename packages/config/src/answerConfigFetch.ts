import { listAllResources } from "@fulmarcleat/resources";
import type { ConfigFetch, ConfigFetchReply } from "@fulmarcleat/wire";
import type { HostConfigState } from "./reduceHostConfig.js";

/**
 * Builds the reply to a peer that lacks part of the configuration.
 *
 * @param state - Configuration state of this host
 * @param request - Sequence number of the peer's last change; -1 if the peer has no configuration
 * @returns the missing changes if all are in memory, else a snapshot, or `incomplete` while this host has neither
 *
 * @example
 * const reply = answerConfigFetch(state, { afterSeq: 41 });
 */
export function answerConfigFetch(state: HostConfigState, request: ConfigFetch): ConfigFetchReply {
    if (!state.complete) {
        return { kind: "incomplete" };
    }
    const { seq } = state.snapshot;
    const firstKept = state.recent[0]?.seq ?? seq + 1;
    if (request.afterSeq >= 0 && firstKept <= request.afterSeq + 1) {
        return { kind: "changes", changes: state.recent.filter(change => change.seq > request.afterSeq) };
    }
    return { kind: "snapshot", seq, resources: listAllResources(state.snapshot) };
}
