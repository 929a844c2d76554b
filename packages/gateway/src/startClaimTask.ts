import { ServeError } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import { rankByRendezvous } from "@fulmarcleat/hashing";
import type { Hasher } from "@fulmarcleat/hashing";
import { mergeClaimReply } from "@fulmarcleat/idempotency";
import type { PartitionLimits } from "@fulmarcleat/idempotency";
import type { CallerName, Clock, HostId, Incarnation, Nonce, RequestId } from "@fulmarcleat/ids";
import type { KvClient } from "@fulmarcleat/kv";
import { hashSecret } from "@fulmarcleat/resources";
import type { ClaimEnd, ClaimReply, ClaimRequest, StoredAnswer } from "@fulmarcleat/wire";
import { startPartitionTask } from "./startPartitionTask.js";
import type { PartitionTask } from "./startPartitionTask.js";

/** Options of the claim task. */
export interface ClaimTaskOptions {
    readonly host: HostId;
    readonly incarnation: Incarnation;
    readonly kv: KvClient;
    readonly hash: Hasher;
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Number of partitions; the same on all hosts. */
    readonly partitions: number;
    /** How long claims are batched into one write, in milliseconds. */
    readonly gatherMs: number;
    /** Maximum delay before the outcomes of claims are written, in milliseconds. */
    readonly endMs: number;
    /** Maximum wait for the reply to a claim, in milliseconds. */
    readonly waitMs: number;
    readonly readLimits: () => PartitionLimits;
    /** Lists the hosts that may batch the claims of a partition, this host included. */
    readonly listHosts: () => readonly HostId[];
    /** Sends a claim request to another host. */
    readonly requestFromPeer: (host: HostId, request: ClaimRequest, timeoutMs: number) => Promise<ClaimReply>;
    /** Reports the outcome of a claim to another host. */
    readonly endOnPeer: (host: HostId, end: ClaimEnd) => Promise<unknown>;
}

/** The fields of a keyed request that its claim uses. */
export interface KeyedRequest {
    readonly caller: CallerName;
    readonly key: string;
    readonly requestHash: string;
    readonly requestId: RequestId;
    /** Deadline of the request, in milliseconds of the host's clock. */
    readonly deadlineMs: number;
}

/** Claims idempotency keys for this host's requests. */
export interface KeyedClaims {
    /** Looks a key up or claims it; the nonce identifies the attempt. */
    request(mode: ClaimRequest["mode"], keyed: KeyedRequest, nonce: Nonce): Promise<ClaimReply>;
    /** Reports the outcome of a claim; resolves when the partition's owner, or else this host, has recorded it. */
    end(
        keyed: KeyedRequest,
        nonce: Nonce,
        outcome: ClaimEnd["outcome"],
        answer: StoredAnswer | undefined,
    ): Promise<void>;
}

/** The task that claims keys for this host's requests and for other hosts. */
export interface ClaimTask extends KeyedClaims {
    /** Handles a claim request from another host. */
    handleRequest(request: ClaimRequest): Promise<ClaimReply>;
    /** Records the outcome of a claim reported by another host. */
    handleEnd(end: ClaimEnd): void;
    /** Stops all partition tasks after their pending writes. */
    stop(): Promise<void>;
}

/** Length of a key's hash, in hexadecimal digits. */
const KEY_HASH_LENGTH = 32;
/** Minimum wait for the reply to a claim, in milliseconds. */
const MIN_WAIT_MS = 1;
const HEX_RADIX = 16;
/** Leading digits of a key's hash that determine its partition. */
const PARTITION_DIGITS = 8;

/**
 * Starts the task that claims keys through the host that batches the claims of their partition.
 *
 * @param options - Key-value client, host list, peer functions and limits
 * @returns the claim task; partition tasks are started on first use
 *
 * @example
 * const claims = startClaimTask(options);
 */
export function startClaimTask(options: ClaimTaskOptions): ClaimTask {
    const { clock, host, metrics } = options;
    const tasks = new Map<number, PartitionTask>();
    const ensureTask = (partition: number): PartitionTask => {
        const existing = tasks.get(partition);
        if (existing !== undefined) {
            return existing;
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
    const handleRequest = (request: ClaimRequest): Promise<ClaimReply> =>
        ensureTask(request.partition).request(request);
    const requestFromOwner = async (request: ClaimRequest): Promise<ClaimReply> => {
        const owner = findOwner(request.partition);
        if (owner === host) {
            return await handleRequest(request);
        }
        let mayHaveArrived = false;
        try {
            const halfMs = Math.max(MIN_WAIT_MS, request.waitMs / 2);
            return await options.requestFromPeer(owner, { ...request, waitMs: halfMs }, halfMs);
        }
        catch (err) {
            mayHaveArrived = !(err instanceof ServeError && err.outcome === "not_run");
            metrics.count("claim_fallbacks_total", { reason: mayHaveArrived ? "lost" : "unsent" });
        }
        return mergeClaimReply(
            await handleRequest({ ...request, waitMs: Math.max(MIN_WAIT_MS, request.waitMs / 2) }),
            mayHaveArrived,
        );
    };
    return {
        handleRequest,
        handleEnd: end => ensureTask(end.partition).end(end),
        request(mode, keyed, nonce) {
            const { requestHash, requestId } = keyed;
            const waitMs = Math.max(MIN_WAIT_MS, Math.min(options.waitMs, keyed.deadlineMs - clock.nowMs()));
            return requestFromOwner({
                mode,
                ...locateKey(keyed, options.partitions),
                requestHash,
                nonce,
                requestId,
                waitMs,
            });
        },
        async end(keyed, nonce, outcome, answer) {
            const end: ClaimEnd = { ...locateKey(keyed, options.partitions), nonce, outcome, answer };
            const owner = findOwner(end.partition);
            if (owner === host) {
                ensureTask(end.partition).end(end);
                return;
            }
            try {
                await options.endOnPeer(owner, end);
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

function locateKey(keyed: KeyedRequest, partitions: number): { readonly partition: number; readonly key: string } {
    const key = hashSecret(`${keyed.caller}\u0000${keyed.key}`).slice(0, KEY_HASH_LENGTH);
    return { partition: parseInt(key.slice(0, PARTITION_DIGITS), HEX_RADIX) % partitions, key };
}
