import type { HostId } from "@fulmarcleat/ids";

/** How often a push that is not acknowledged is sent again. */
export interface SpreadTimes {
    /** Wait before the first repeat, in milliseconds. */
    readonly firstMs: number;
    /** Factor from one wait to the next; 1 keeps the wait fixed. */
    readonly growth: number;
    /** Longest wait, in milliseconds. */
    readonly longestMs: number;
    /** Whether an acknowledgement ends the repeats. */
    readonly stopsOnAck: boolean;
}

/** What is known of one peer that gets pushes from this host. */
export interface SpreadPeer {
    readonly host: HostId;
    readonly ackedSeq: number;
    readonly waitMs: number;
    /** When to push next; undefined where it has everything. */
    readonly nextMs: number | undefined;
}

/** Pushes to peers, as one host sees them. */
export interface SpreadState {
    readonly seq: number;
    readonly peers: readonly SpreadPeer[];
}

/** What moves the pushes on. */
export type SpreadMessage =
    /** A newer configuration is in force here. */
    | { readonly kind: "inForce"; readonly seq: number }
    /** The peers that this host pushes to. */
    | { readonly kind: "targets"; readonly targets: readonly { readonly host: HostId; readonly seq: number }[] }
    | { readonly kind: "acked"; readonly host: HostId; readonly seq: number }
    | { readonly kind: "tick" };

/** Sends a peer every change after `afterSeq`. */
export interface SpreadEffect {
    readonly kind: "push";
    readonly host: HostId;
    readonly afterSeq: number;
}

/** The next state and what to send. */
export interface SpreadStep {
    readonly state: SpreadState;
    readonly effects: readonly SpreadEffect[];
}

/** Time and settings of a decision. */
export interface SpreadContext {
    readonly nowMs: number;
    readonly times: SpreadTimes;
}

/**
 * Decides which peers get which changes, and when again.
 *
 * @param state - What is known of the peers
 * @param message - What happened
 * @param context - Time and waits
 * @returns the next state and what to send
 *
 * @example
 * const { state, effects } = reduceSpread(before, { kind: "tick" }, { nowMs: clock.nowMs(), times });
 */
export function reduceSpread(state: SpreadState, message: SpreadMessage, context: SpreadContext): SpreadStep {
    switch (message.kind) {
        case "inForce": {
            const peers = state.peers.map(peer =>
                message.seq > peer.ackedSeq ? { ...peer, waitMs: 0, nextMs: context.nowMs } : peer
            );
            return sendDue({ seq: Math.max(state.seq, message.seq), peers }, context);
        }
        case "targets":
            return sendDue({ ...state, peers: message.targets.map(target => mergeTarget(state, target)) }, context);
        case "acked":
            return {
                state: {
                    ...state,
                    peers: state.peers.map(peer =>
                        peer.host === message.host ? takeAck(peer, message, state.seq, context) : peer
                    ),
                },
                effects: [],
            };
        case "tick":
            return sendDue(state, context);
    }
}

function mergeTarget(state: SpreadState, target: { readonly host: HostId; readonly seq: number }): SpreadPeer {
    const known = state.peers.find(peer => peer.host === target.host)
        ?? { host: target.host, ackedSeq: target.seq, waitMs: 0, nextMs: undefined };
    const ackedSeq = Math.max(known.ackedSeq, target.seq);
    const isBehind = ackedSeq < state.seq;
    return { ...known, ackedSeq, nextMs: isBehind ? known.nextMs ?? 0 : undefined };
}

function takeAck(
    peer: SpreadPeer,
    ack: { readonly seq: number },
    seq: number,
    context: SpreadContext,
): SpreadPeer {
    const ackedSeq = Math.max(peer.ackedSeq, ack.seq);
    const isDone = ackedSeq >= seq && context.times.stopsOnAck;
    return { ...peer, ackedSeq, nextMs: isDone ? undefined : peer.nextMs };
}

function sendDue(state: SpreadState, context: SpreadContext): SpreadStep {
    const effects: SpreadEffect[] = [];
    const peers = state.peers.map(peer => {
        if (peer.nextMs === undefined || peer.nextMs > context.nowMs) {
            return peer;
        }
        effects.push({ kind: "push", host: peer.host, afterSeq: peer.ackedSeq });
        const { firstMs, growth, longestMs } = context.times;
        const waitMs = peer.waitMs === 0 ? firstMs : Math.min(longestMs, peer.waitMs * growth);
        return { ...peer, waitMs, nextMs: context.nowMs + waitMs };
    });
    return { state: { ...state, peers }, effects };
}
