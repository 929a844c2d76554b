import type { HostId } from "@fulmarcleat/ids";

/** Timing of repeated pushes to a peer that has not acknowledged. */
export interface PropagationTimes {
    /** Wait before the first repeat, in milliseconds. */
    readonly firstMs: number;
    /** Factor by which each wait grows; 1 keeps it fixed. */
    readonly growth: number;
    /** Longest wait, in milliseconds. */
    readonly longestMs: number;
    /** Whether an acknowledgement stops the repeats. */
    readonly stopsOnAck: boolean;
}

/** Progress of one peer that this host pushes to. */
export interface PropagationPeer {
    readonly host: HostId;
    /** Last change that the peer acknowledged or reported. */
    readonly ackedSeq: number;
    /** Current wait between two pushes, in milliseconds; 0 until the first push of a change. */
    readonly waitMs: number;
    /** Time of the next push, in milliseconds; undefined if the peer is up to date. */
    readonly nextMs: number | undefined;
}

/** Progress of the pushes from this host to its peers. */
export interface PropagationState {
    readonly seq: number;
    readonly peers: readonly PropagationPeer[];
}

/** An event that `reducePropagation` handles. */
export type PropagationMessage =
    /** A newer configuration took effect on this host. */
    | { readonly kind: "inForce"; readonly seq: number }
    /** The peers that this host pushes to, with the last change that each reported. */
    | { readonly kind: "targets"; readonly targets: readonly { readonly host: HostId; readonly seq: number }[] }
    | { readonly kind: "acked"; readonly host: HostId; readonly seq: number }
    | { readonly kind: "tick" };

/** Pushes every change after `afterSeq` to a peer. */
export interface PropagationEffect {
    readonly kind: "push";
    readonly host: HostId;
    readonly afterSeq: number;
}

/** The next state and the pushes to send. */
export interface PropagationStep {
    readonly state: PropagationState;
    readonly effects: readonly PropagationEffect[];
}

/** Current time and repeat timing. */
export interface PropagationContext {
    readonly nowMs: number;
    readonly times: PropagationTimes;
}

/**
 * Computes which changes to push to which peers, and when to repeat a push.
 *
 * @param state - Progress of the pushes
 * @param message - Event to handle
 * @param context - Current time and repeat timing
 * @returns the next state and the pushes to send
 *
 * @example
 * const { state, effects } = reducePropagation(before, { kind: "tick" }, { nowMs: clock.nowMs(), times });
 */
export function reducePropagation(
    state: PropagationState,
    message: PropagationMessage,
    context: PropagationContext,
): PropagationStep {
    switch (message.kind) {
        case "inForce": {
            const peers = state.peers.map(peer =>
                message.seq > peer.ackedSeq ? { ...peer, waitMs: 0, nextMs: context.nowMs } : peer
            );
            return pushDueChanges({ seq: Math.max(state.seq, message.seq), peers }, context);
        }
        case "targets":
            return pushDueChanges(
                { ...state, peers: message.targets.map(target => mergeTarget(state, target)) },
                context,
            );
        case "acked":
            return {
                state: {
                    ...state,
                    peers: state.peers.map(peer =>
                        peer.host === message.host ? recordAck(peer, message, state.seq, context) : peer
                    ),
                },
                effects: [],
            };
        case "tick":
            return pushDueChanges(state, context);
    }
}

function mergeTarget(
    state: PropagationState,
    target: { readonly host: HostId; readonly seq: number },
): PropagationPeer {
    const known = state.peers.find(peer => peer.host === target.host)
        ?? { host: target.host, ackedSeq: target.seq, waitMs: 0, nextMs: undefined };
    const ackedSeq = Math.max(known.ackedSeq, target.seq);
    const isBehind = ackedSeq < state.seq;
    return { ...known, ackedSeq, nextMs: isBehind ? known.nextMs ?? 0 : undefined };
}

function recordAck(
    peer: PropagationPeer,
    ack: { readonly seq: number },
    seq: number,
    context: PropagationContext,
): PropagationPeer {
    const ackedSeq = Math.max(peer.ackedSeq, ack.seq);
    const isDone = ackedSeq >= seq && context.times.stopsOnAck;
    return { ...peer, ackedSeq, nextMs: isDone ? undefined : peer.nextMs };
}

function pushDueChanges(state: PropagationState, context: PropagationContext): PropagationStep {
    const effects: PropagationEffect[] = [];
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
