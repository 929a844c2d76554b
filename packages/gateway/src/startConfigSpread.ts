import { planTree, reduceSpread } from "@fulmarcleat/config";
import type { ConfigTask, SpreadEffect, SpreadMessage, SpreadState } from "@fulmarcleat/config";
import type { Metrics } from "@fulmarcleat/events";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { Hasher } from "@fulmarcleat/hashing";
import type { CancelTimer, Clock, FailureDomain, HostId } from "@fulmarcleat/ids";
import type { MembershipTask } from "@fulmarcleat/membership";
import type { PeerClient } from "@fulmarcleat/wire";

/** Settings of the task that spreads the configuration. */
export interface ConfigSpreadOptions {
    readonly host: HostId;
    readonly failureDomain: FailureDomain;
    readonly config: ConfigTask;
    readonly membership: MembershipTask;
    readonly peers: PeerClient;
    readonly clock: Clock;
    readonly hash: Hasher;
    readonly metrics: Metrics;
    readonly timeoutMs: number;
    readonly relaysPerDomain: number;
    readonly fanOut: number;
    readonly firstRepeatMs: number;
    readonly compareMs: number;
}

/** The task that spreads the configuration. */
export interface ConfigSpread {
    stop(): void;
}

const TREE_KEY = "config";
const REPEAT_GROWTH = 1.3;
const LONGEST_REPEAT_MS = 30_000;

/**
 * Starts the task that watches the key-value service or not, pushes changes on, and compares with the peers.
 *
 * @param options - Configuration, peers and times
 * @returns the task
 *
 * @example
 * const spread = startConfigSpread({ host, config, membership, peers, ...rest });
 */
export function startConfigSpread(options: ConfigSpreadOptions): ConfigSpread {
    const { clock, config, membership, metrics } = options;
    let state: SpreadState = { seq: config.snapshot.seq, peers: [] };
    let cancel: CancelTimer = () => undefined;
    let isStopped = false;
    const times = {
        firstMs: options.firstRepeatMs,
        growth: REPEAT_GROWTH,
        longestMs: LONGEST_REPEAT_MS,
        stopsOnAck: true,
    };
    const send = (message: SpreadMessage): void => {
        const step = reduceSpread(state, message, { nowMs: clock.nowMs(), times });
        state = step.state;
        step.effects.forEach(effect => void push(effect));
    };
    const push = async (effect: SpreadEffect): Promise<void> => {
        const member = membership.find(effect.host);
        const changes = config.recent.filter(change => change.seq > effect.afterSeq);
        if (member === undefined || changes.length === 0) {
            return;
        }
        metrics.count("config_pushes_total");
        try {
            const ack = await options.peers.ask(member, "configPush", { changes }, options.timeoutMs);
            send({ kind: "acked", host: effect.host, seq: ack.seq });
        }
        catch {
            metrics.count("config_push_failures_total", { peer: effect.host });
        }
    };
    const compare = (): void => {
        const self = { host: options.host, failureDomain: options.failureDomain };
        const part = planTree(self, membership.liveHosts, {
            relaysPerDomain: options.relaysPerDomain,
            fanOut: options.fanOut,
            rank: hosts => rankByRendezvous(options.hash, TREE_KEY, hosts),
        });
        config.setRelay(part.isRelay);
        send({
            kind: "targets",
            targets: part.targets.map(host => ({ host, seq: membership.find(host)?.configSeq ?? 0 })),
        });
        config.hear(Math.max(0, ...membership.members.map(member => member.configSeq)));
        send({ kind: "tick" });
    };
    const round = (): void => {
        if (isStopped) {
            return;
        }
        compare();
        cancel = clock.setTimer(options.compareMs, round);
    };
    config.subscribe(snapshot => send({ kind: "inForce", seq: snapshot.seq }));
    void membership.ready.then(() => {
        if (!isStopped) {
            compare();
            config.greeted();
        }
    });
    round();
    return {
        stop() {
            isStopped = true;
            cancel();
        },
    };
}
