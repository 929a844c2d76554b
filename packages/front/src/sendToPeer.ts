import { toServeError } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import type { ExchangeName, PeerClient, ReplyOf, RequestOf } from "@fulmarcleat/wire";
import type { Member } from "./hostKeys.js";

/** Client and metrics for requests to other hosts. */
export interface PeerContext {
    readonly metrics: Metrics;
    /** Returns the client; undefined until it is connected. */
    readonly readPeers: () => Pick<PeerClient, "request"> | undefined;
}

/** Longest wait for a peer that answers at once, in milliseconds. */
const PEER_TIMEOUT_MS = 200;

/**
 * Sends a request to a peer; failures are counted, never thrown, since other peers know the same.
 *
 * @param context - Client and metrics
 * @param member - Peer to send to
 * @param name - Name of the exchange
 * @param body - The request
 * @param timeoutMs - Longest wait for the reply, in milliseconds
 * @returns the reply; undefined if there is none in time
 *
 * @example
 * const reply = await sendToPeer(context, member, "streamOrigin", { requestId });
 */
export async function sendToPeer<Name extends ExchangeName>(
    { metrics, readPeers }: PeerContext,
    { host, ip, port }: Member,
    name: Name,
    body: RequestOf<Name>,
    timeoutMs: number = PEER_TIMEOUT_MS,
): Promise<ReplyOf<Name> | undefined> {
    try {
        return await readPeers()?.request({ host, address: ip, port }, name, body, timeoutMs);
    }
    catch (err) {
        metrics.count("peer_failures_total", { step: toServeError(err, INTERNAL).step });
        return undefined;
    }
}

const INTERNAL = { code: "internal", step: "ask peer", peer: "self", outcome: "unknown" } as const;
