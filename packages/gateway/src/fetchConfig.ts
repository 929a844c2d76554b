import type { HostId } from "@fulmarcleat/ids";
import type { MembershipTask } from "@fulmarcleat/membership";
import type { ConfigFetch, ConfigFetchReply, PeerClient } from "@fulmarcleat/wire";

/** What a fetch of the configuration needs. */
export interface FetchConfigOptions {
    readonly membership: MembershipTask;
    readonly peers: PeerClient;
    readonly host: HostId;
    readonly ask: ConfigFetch;
    readonly timeoutMs: number;
}

/**
 * Fetches the missing part of the configuration from the peer that has most of it.
 *
 * @param options - Peers and what is missing
 * @returns the peer's reply, or undefined where no peer has more
 * @throws ServeError `peer_failed`
 *
 * @example
 * const reply = await fetchConfig({ membership, peers, host, ask: { afterSeq: 41 }, timeoutMs: 1000 });
 */
export async function fetchConfig(options: FetchConfigOptions): Promise<ConfigFetchReply | undefined> {
    const newest = options.membership.members
        .filter(member => member.host !== options.host && member.state !== "silent")
        .filter(member => member.configSeq > options.ask.afterSeq)
        .sort((a, b) => b.configSeq - a.configSeq)[0];
    return newest === undefined
        ? undefined
        : await options.peers.ask(newest, "configFetch", options.ask, options.timeoutMs);
}
