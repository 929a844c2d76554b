/** What one of the hosts that may have owned an engine says; `holding` ones carry what the asker needs to reach them. */
export type FormerOwnerReply<Holder> =
    | { readonly kind: "stopped"; readonly lastOrderAgoMs: number }
    | { readonly kind: "unknown" }
    | { readonly kind: "holding"; readonly holder: Holder };

/** What else counts beside the hosts' replies. */
export interface JoinOptions {
    /**
     * Whether the last owner was still waiting for the order lease of one before it, so that an order may be younger than
     * its own last one.
     */
    readonly wasWaiting: boolean;
}

/**
 * Joins what the hosts say that may have owned an engine; the one that may still do most counts.
 *
 * @param replies - Reply of each host
 * @param options - Whether the last owner was still waiting itself
 * @returns the joined reply; unknown without any
 *
 * @example
 * const replies = [{ kind: "stopped", lastOrderAgoMs: 100 }, { kind: "unknown" }];
 * joinFormerOwners(replies, { wasWaiting: false }); // { kind: "unknown" }
 */
export function joinFormerOwners<Holder>(
    replies: readonly FormerOwnerReply<Holder>[],
    { wasWaiting }: JoinOptions,
): FormerOwnerReply<Holder> {
    const holding = replies.find(reply => reply.kind === "holding");
    if (holding !== undefined) {
        return holding;
    }
    const stopped = replies.filter(reply => reply.kind === "stopped");
    return stopped.length === 0 || stopped.length < replies.length
        ? { kind: "unknown" }
        : { kind: "stopped", lastOrderAgoMs: wasWaiting ? 0 : Math.min(...stopped.map(reply => reply.lastOrderAgoMs)) };
}
