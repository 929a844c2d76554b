import type { HostId } from "@fulmarcleat/ids";
import type { MembershipTask } from "@fulmarcleat/membership";
import type { ConfigFetch, ConfigFetchReply, PeerClient } from "@fulmarcleat/wire";

/** Options of a configuration fetch. */
export interface FetchConfigOptions {
    readonly membership: MembershipTask;
    readonly peers: PeerClient;
    readonly host: HostId;
    /** Last change that this host has. */
    readonly request: ConfigFetch;
    /** Time limit for the peer's reply, in milliseconds. */
    readonly timeoutMs: number;
}

/**
 * Fetches missing configuration changes from the responsive peer with the latest configuration.
 *
 * @param options - Peers, own host and the last change that this host has
 * @returns the peer's reply, or undefined if no peer has later changes
 * @throws ServeError `peer_failed` if the peer does not reply
 *
 * @example
 * const reply = await fetchConfig({ membership, peers, host, request: { afterSeq: 41 }, timeoutMs: 1000 });
 */
export async function fetchConfig(options: FetchConfigOptions): Promise<ConfigFetchReply | undefined> {
    const newest = options.membership.members
        .filter(member => member.host !== options.host && member.state !== "silent")
        .filter(member => member.configSeq > options.request.afterSeq)
        .sort((a, b) => b.configSeq - a.configSeq)[0];
    return newest === undefined
        ? undefined
        : await options.peers.request(newest, "configFetch", options.request, options.timeoutMs);
}
