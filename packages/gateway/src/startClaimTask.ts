import { ServeError } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { Hasher } from "@fulmarcleat/hashing";
import { mergeClaimReply } from "@fulmarcleat/idempotency";
import type { PartitionLimits } from "@fulmarcleat/idempotency";
import type { CallerName, Clock, HostId, Incarnation, Nonce, RequestId } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import { hashSecret } from "@fulmarcleat/resources";
import type { ClaimAsk, ClaimEnd, ClaimReply, KeptAnswer } from "@fulmarcleat/wire";
import { startPartitionTask } from "./startPartitionTask.js";
import type { PartitionTask } from "./startPartitionTask.js";

/** Settings of the task that claims keys. */
export interface ClaimTaskOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly kv: KvClient;
    readonly hash: Hasher;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly partitions: number;
    readonly gatherMs: number;
    readonly endMs: number;
    /** Longest wait for a claim, in milliseconds. */
    readonly waitMs: number;
    readonly readLimits: () => PartitionLimits;
    /** Hosts that may group the claims of a partition, this one among them. */
    readonly listHosts: () => readonly HostId[];
    readonly askPeer: (host: HostId, ask: ClaimAsk, timeoutMs: number) => Promise<ClaimReply>;
    readonly endPeer: (host: HostId, end: ClaimEnd) => Promise<unknown>;
}

/** What a keyed request claims. */
export interface KeyedNeed {
    readonly caller: CallerName;
    readonly key: string;
    readonly requestHash: string;
    readonly requestId: RequestId;
    readonly deadlineMs: number;
}

/** One attempt's claim on its key. */
export interface KeyedClaims {
    ask(mode: ClaimAsk["mode"], need: KeyedNeed, nonce: Nonce): Promise<ClaimReply>;
    /** Resolves once the end is known to the partition's host, or cannot be told. */
    end(need: KeyedNeed, nonce: Nonce, outcome: ClaimEnd["outcome"], answer: KeptAnswer | undefined): Promise<void>;
}

/** The task that claims keys, for this host's requests and for peers. */
export interface ClaimTask extends KeyedClaims {
    handleAsk(ask: ClaimAsk): Promise<ClaimReply>;
    handleEnd(end: ClaimEnd): void;
    stop(): Promise<void>;
}

const KEY_LENGTH = 32;
const MIN_WAIT_MS = 1;
const RADIX = 16;
const PARTITION_DIGITS = 8;

/**
 * Starts the task that claims keys through the host that groups their partition.
 *
 * @param options - Client, hosts and limits
 * @returns the task
 *
 * @example
 * const claims = startClaimTask(options);
 */
export function startClaimTask(options: ClaimTaskOptions): ClaimTask {
    const { clock, host, metrics } = options;
    const tasks = new Map<number, PartitionTask>();
    const ensureTask = (partition: number): PartitionTask => {
        const present = tasks.get(partition);
        if (present !== undefined) {
            return present;
        }
        const created = startPartitionTask({
            ...options,
            key: `claims/${partition}`,
            writer: `${host}#${options.incarnation}`,
        });
        tasks.set(partition, created);
        return created;
    };
    const findOwner = (partition: number): HostId =>
        rankByRendezvous(options.hash, `claims/${partition}`, options.listHosts())[0] ?? host;
    const handleAsk = (ask: ClaimAsk): Promise<ClaimReply> => ensureTask(ask.partition).ask(ask);
    const askOwner = async (ask: ClaimAsk): Promise<ClaimReply> => {
        const owner = findOwner(ask.partition);
        if (owner === host) {
            return await handleAsk(ask);
        }
        let wasLost = false;
        try {
            const halfMs = Math.max(MIN_WAIT_MS, ask.waitMs / 2);
            return await options.askPeer(owner, { ...ask, waitMs: halfMs }, halfMs);
        }
        catch (err) {
            wasLost = !(err instanceof ServeError && err.outcome === "not_run");
            metrics.count("claim_fallbacks_total", { reason: wasLost ? "lost" : "unsent" });
        }
        return mergeClaimReply(await handleAsk({ ...ask, waitMs: Math.max(MIN_WAIT_MS, ask.waitMs / 2) }), wasLost);
    };
    return {
        handleAsk,
        handleEnd: end => ensureTask(end.partition).end(end),
        ask(mode, need, nonce) {
            const { requestHash, requestId } = need;
            const waitMs = Math.max(MIN_WAIT_MS, Math.min(options.waitMs, need.deadlineMs - clock.nowMs()));
            return askOwner({ mode, ...locateKey(need, options.partitions), requestHash, nonce, requestId, waitMs });
        },
        async end(need, nonce, outcome, answer) {
            const end: ClaimEnd = { ...locateKey(need, options.partitions), nonce, outcome, answer };
            const owner = findOwner(end.partition);
            if (owner === host) {
                ensureTask(end.partition).end(end);
                return;
            }
            try {
                await options.endPeer(owner, end);
            }
            catch {
                metrics.count("claim_end_failures_total", { outcome });
                ensureTask(end.partition).end(end);
            }
        },
        async stop() {
            await Promise.all([...tasks.values()].map(task => task.stop()));
        },
    };
}

function locateKey(need: KeyedNeed, partitions: number): { readonly partition: number; readonly key: string } {
    const key = hashSecret(`${need.caller}\u0000${need.key}`).slice(0, KEY_LENGTH);
    return { partition: parseInt(key.slice(0, PARTITION_DIGITS), RADIX) % partitions, key };
}
