import { planPropagationTree, reducePropagation } from "@fulmarcleat/config";
import type { ConfigTask, PropagationEffect, PropagationMessage, PropagationState } from "@fulmarcleat/config";
import type { Metrics } from "@fulmarcleat/events";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { Hasher } from "@fulmarcleat/hashing";
import type { CancelTimer, Clock, FailureDomain, HostId } from "@fulmarcleat/ids";
import type { MembershipTask } from "@fulmarcleat/membership";
import type { PeerClient } from "@fulmarcleat/wire";

/** Options of the configuration propagation task. */
export interface ConfigPropagationOptions {
    readonly host: HostId;
    readonly failureDomain: FailureDomain;
    readonly config: ConfigTask;
    readonly membership: MembershipTask;
    readonly peers: PeerClient;
    readonly clock: Clock;
    readonly hash: Hasher;
    readonly metrics: Metrics;
    /** Time limit for the acknowledgement of a push, in milliseconds. */
    readonly timeoutMs: number;
    /** Number of hosts per failure domain that watch the key-value service. */
    readonly relaysPerDomain: number;
    /** Number of peers that each host pushes changes to. */
    readonly fanOut: number;
    /** Delay before an unacknowledged push is first repeated, in milliseconds. */
    readonly firstRepeatMs: number;
    /** Interval between two comparisons with the peers, in milliseconds. */
    readonly compareMs: number;
}

/** The task that propagates configuration changes to peers. */
export interface ConfigPropagation {
    /** Stops the periodic comparison. */
    stop(): void;
}

/** Key of the rendezvous ranking that orders the hosts of the tree. */
const TREE_KEY = "config";
/** Factor by which the delay grows with each repeat of a push. */
const REPEAT_BACKOFF_FACTOR = 1.3;
/** Maximum delay between two repeats of a push, in milliseconds. */
const MAX_REPEAT_MS = 30_000;

/**
 * Starts the task that decides whether this host watches the key-value service, pushes changes along a tree of
 * hosts, and compares change numbers with the peers.
 *
 * @param options - Configuration task, peers, tree shape and intervals
 * @returns the running task
 *
 * @example
 * const propagation = startConfigPropagation({ host, config, membership, peers, ...rest });
 */
export function startConfigPropagation(options: ConfigPropagationOptions): ConfigPropagation {
    const { clock, config, membership, metrics } = options;
    let state: PropagationState = { seq: config.snapshot.seq, peers: [] };
    let cancelRound: CancelTimer = () => undefined;
    let isStopped = false;
    const times = {
        firstMs: options.firstRepeatMs,
        growth: REPEAT_BACKOFF_FACTOR,
        longestMs: MAX_REPEAT_MS,
        stopsOnAck: true,
    };
    const dispatch = (message: PropagationMessage): void => {
        const step = reducePropagation(state, message, { nowMs: clock.nowMs(), times });
        state = step.state;
        step.effects.forEach(effect => void pushChanges(effect));
    };
    const pushChanges = async (effect: PropagationEffect): Promise<void> => {
        const member = membership.find(effect.host);
        const changes = config.recent.filter(change => change.seq > effect.afterSeq);
        if (member === undefined || changes.length === 0) {
            return;
        }
        metrics.count("config_pushes_total");
        try {
            const ack = await options.peers.request(member, "configPush", { changes }, options.timeoutMs);
            dispatch({ kind: "acked", host: effect.host, seq: ack.seq });
        }
        catch {
            metrics.count("config_push_failures_total", { peer: effect.host });
        }
    };
    const compareWithPeers = (): void => {
        const self = { host: options.host, failureDomain: options.failureDomain };
        const role = planPropagationTree(self, membership.liveHosts, {
            relaysPerDomain: options.relaysPerDomain,
            fanOut: options.fanOut,
            rank: hosts => rankByRendezvous(options.hash, TREE_KEY, hosts),
        });
        config.setRelay(role.isRelay);
        dispatch({
            kind: "targets",
            targets: role.targets.map(host => ({ host, seq: membership.find(host)?.configSeq ?? 0 })),
        });
        config.recordPeerSeq(Math.max(0, ...membership.members.map(member => member.configSeq)));
        dispatch({ kind: "tick" });
    };
    const runRound = (): void => {
        if (isStopped) {
            return;
        }
        compareWithPeers();
        cancelRound = clock.setTimer(options.compareMs, runRound);
    };
    config.subscribe(snapshot => dispatch({ kind: "inForce", seq: snapshot.seq }));
    void membership.ready.then(() => {
        if (!isStopped) {
            compareWithPeers();
            config.markPeersAsked();
        }
    });
    runRound();
    return {
        stop() {
            isStopped = true;
            cancelRound();
        },
    };
}
