import type { HostListDriver, ListedHost } from "@fulmarcleat/drivers";
import type { HostId } from "@fulmarcleat/ids";
import type { ExplainReply, ExplainRequest, PeerClient, StatusReply } from "@fulmarcleat/wire";

/** Status replies of all hosts in the host list. */
export interface GatheredStatus {
    readonly hosts: readonly StatusReply[];
    /** Hosts of the host list that did not answer. */
    readonly unresponsive: readonly HostId[];
}

/** Hosts to send requests to, and how. */
export interface GatherOptions {
    readonly hostList: HostListDriver;
    readonly peers: PeerClient;
    readonly timeoutMs: number;
}

/**
 * Requests the status of every host in the host list.
 *
 * @param options - Host list, client of the hosts and the timeout of a request in milliseconds
 * @returns the replies, and the hosts that did not answer in time
 * @throws ServeError if the host list can't be read
 *
 * @example
 * const { hosts, unresponsive } = await gatherStatus({ hostList, peers, timeoutMs: 1000 });
 */
export async function gatherStatus(options: GatherOptions): Promise<GatheredStatus> {
    const listed = await options.hostList.list();
    const replies = await requestAll(
        listed,
        host => options.peers.request(host, "status", { detail: "engines" }, options.timeoutMs),
    );
    return {
        hosts: replies.flatMap(reply => reply.answer === undefined ? [] : [reply.answer]),
        unresponsive: replies.filter(reply => reply.answer === undefined).map(reply => reply.host),
    };
}

/**
 * Collects the recorded decisions about a request or an adapter from every host in the host list.
 *
 * @param options - Host list, client of the hosts and the timeout of a request in milliseconds
 * @param request - Request id or adapter name that the decisions are about
 * @returns the decisions sorted by time, and the hosts that did not answer in time
 * @throws ServeError if the host list can't be read
 *
 * @example
 * const { decisions } = await gatherDecisions(options, { requestId, adapter: undefined });
 */
export async function gatherDecisions(
    options: GatherOptions,
    request: ExplainRequest,
): Promise<ExplainReply & { readonly silent: readonly HostId[] }> {
    const listed = await options.hostList.list();
    const replies = await requestAll(
        listed,
        host => options.peers.request(host, "explain", request, options.timeoutMs),
    );
    return {
        decisions: replies.flatMap(reply => reply.answer?.decisions ?? []).sort((a, b) => a.atMs - b.atMs),
        silent: replies.filter(reply => reply.answer === undefined).map(reply => reply.host),
    };
}

interface HostAnswer<Reply> {
    readonly host: HostId;
    readonly answer: Reply | undefined;
}

async function requestAll<Reply>(
    listed: readonly ListedHost[],
    request: (host: ListedHost) => Promise<Reply>,
): Promise<readonly HostAnswer<Reply>[]> {
    return Promise.all(
        listed.map(async host => ({ host: host.host, answer: await request(host).catch(() => undefined) })),
    );
}
