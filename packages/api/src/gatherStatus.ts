import type { HostListDriver, ListedHost } from "@fulmarcleat/drivers";
import type { HostId } from "@fulmarcleat/ids";
import type { ExplainAsk, ExplainReply, PeerClient, StatusReply } from "@fulmarcleat/wire";

/** What the hosts said. */
export interface GatheredStatus {
    readonly hosts: readonly StatusReply[];
    /** Listed hosts that did not answer. */
    readonly silent: readonly HostId[];
}

/** Whom to ask. */
export interface GatherOptions {
    readonly hostList: HostListDriver;
    readonly peers: PeerClient;
    readonly timeoutMs: number;
}

/**
 * Asks every listed host for its state.
 *
 * @param options - Host list, peers and the longest wait
 * @returns the replies, and who did not answer
 * @throws ServeError where the host list can't be read
 *
 * @example
 * const { hosts, silent } = await gatherStatus({ hostList, peers, timeoutMs: 1000 });
 */
export async function gatherStatus(options: GatherOptions): Promise<GatheredStatus> {
    const listed = await options.hostList.list();
    const replies = await askAll(
        listed,
        host => options.peers.ask(host, "status", { detail: "engines" }, options.timeoutMs),
    );
    return {
        hosts: replies.flatMap(reply => reply.answer === undefined ? [] : [reply.answer]),
        silent: replies.filter(reply => reply.answer === undefined).map(reply => reply.host),
    };
}

/**
 * Gathers the recorded decisions of every listed host.
 *
 * @param options - Host list, peers and the longest wait
 * @param ask - The request or the adapter
 * @returns the decisions in the order of their times, and who did not answer
 * @throws ServeError where the host list can't be read
 *
 * @example
 * const { decisions } = await gatherDecisions(options, { requestId, adapter: undefined });
 */
export async function gatherDecisions(
    options: GatherOptions,
    ask: ExplainAsk,
): Promise<ExplainReply & { readonly silent: readonly HostId[] }> {
    const listed = await options.hostList.list();
    const replies = await askAll(listed, host => options.peers.ask(host, "explain", ask, options.timeoutMs));
    return {
        decisions: replies.flatMap(reply => reply.answer?.decisions ?? []).sort((a, b) => a.atMs - b.atMs),
        silent: replies.filter(reply => reply.answer === undefined).map(reply => reply.host),
    };
}

interface HostAnswer<Reply> {
    readonly host: HostId;
    readonly answer: Reply | undefined;
}

async function askAll<Reply>(
    listed: readonly ListedHost[],
    ask: (host: ListedHost) => Promise<Reply>,
): Promise<readonly HostAnswer<Reply>[]> {
    return Promise.all(
        listed.map(async host => ({ host: host.host, answer: await ask(host).catch(() => undefined) })),
    );
}
