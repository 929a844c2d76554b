import type { Metrics } from "@fulmarcleat/events";
import { createPartitionState, EMPTY_PAGE, parseClaimPage, reducePartition } from "@fulmarcleat/idempotency";
import type {
    PageWriteOutcome,
    PartitionEffect,
    PartitionLimits,
    PartitionMessage,
    ReadPage,
} from "@fulmarcleat/idempotency";
import { sleep } from "@fulmarcleat/ids";
import type { CancelTimer, Clock } from "@fulmarcleat/ids";
import type { KvClient, KvOutcome } from "@fulmarcleat/kv";
import type { ClaimEnd, ClaimReply, ClaimRequest } from "@fulmarcleat/wire";

/** Options of a partition task. */
export interface PartitionTaskOptions {
    /** Key of the partition's page in the key-value service. */
    readonly key: string;
    /** Host and incarnation that write the page, as `host#incarnation`. */
    readonly writer: string;
    readonly kv: KvClient;
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Returns the limits in effect. */
    readonly readLimits: () => PartitionLimits;
    /** How long claims are batched into one write, in milliseconds. */
    readonly gatherMs: number;
    /** Maximum delay before the outcomes of claims are written, in milliseconds. */
    readonly endMs: number;
}

/** The task that commits the claims of one partition. */
export interface PartitionTask {
    /** Handles a claim request; resolves when the claim is committed or refused, or has timed out. */
    request(request: ClaimRequest): Promise<ClaimReply>;
    /** Records the outcome of a claim with a later write. */
    end(end: ClaimEnd): void;
    /** Writes the pending outcomes and waits, up to a limit, until no write is in flight. */
    stop(): Promise<void>;
}

/** Interval between two checks for expired requests, in milliseconds. */
const TICK_MS = 100;
/** Maximum wait for writes in flight during a stop, in milliseconds. */
const STOP_LIMIT_MS = 1000;
/** Interval between two checks for writes in flight during a stop, in milliseconds. */
const STOP_POLL_MS = 10;

/**
 * Starts the task of one partition. Several hosts may run it at once: the compare-and-swap orders their writes.
 *
 * @param options - Page key, key-value client and limits
 * @returns the partition task; it reads the page on first use
 *
 * @example
 * const reply = await startPartitionTask(options).request(request);
 */
export function startPartitionTask(options: PartitionTaskOptions): PartitionTask {
    const { clock, kv, metrics } = options;
    const replyHandlers = new Map<number, (reply: ClaimReply) => void>();
    let state = createPartitionState(options.writer);
    let requestCount = 0;
    let cancelFlush: CancelTimer = () => undefined;
    let isTicking = false;
    let isStopped = false;
    const dispatch = (message: PartitionMessage): void => {
        const context = { nowMs: clock.wallMs(), kvAvailable: kv.available, limits: options.readLimits() };
        const step = reducePartition(state, message, context);
        state = step.state;
        step.effects.forEach(perform);
        scheduleTick();
    };
    const perform = (effect: PartitionEffect): void => {
        switch (effect.kind) {
            case "reply":
                metrics.count("claim_replies_total", { kind: effect.reply.kind });
                replyHandlers.get(effect.pendingId)?.(effect.reply);
                replyHandlers.delete(effect.pendingId);
                return;
            case "read":
                void readPage(options).then(
                    committed => dispatch({ kind: "read", committed }),
                    () => dispatch({ kind: "readFailed" }),
                );
                return;
            case "write":
                void writePage(effect, options).then(outcome => {
                    metrics.count("claim_writes_total", { outcome: outcome.kind });
                    dispatch({ kind: "written", outcome });
                });
                return;
            case "scheduleFlush":
                cancelFlush();
                cancelFlush = clock.setTimer(toFlushDelayMs(effect.when, options), () => dispatch({ kind: "flush" }));
                return;
        }
    };
    const scheduleTick = (): void => {
        if (isStopped || isTicking || replyHandlers.size === 0 && state.ends.length === 0) {
            return;
        }
        isTicking = true;
        clock.setTimer(TICK_MS, () => {
            isTicking = false;
            dispatch({ kind: "tick" });
        });
    };
    const waitForWrites = async (): Promise<void> => {
        const limitMs = clock.nowMs() + STOP_LIMIT_MS;
        while (state.phase !== "unread" && state.phase !== "ready" && clock.nowMs() < limitMs) {
            await sleep(clock, STOP_POLL_MS);
        }
    };
    return {
        request(request) {
            requestCount += 1;
            const pendingId = requestCount;
            return new Promise(resolve => {
                replyHandlers.set(pendingId, resolve);
                const deadlineMs = clock.wallMs() + request.waitMs;
                dispatch({ kind: "ask", waiting: { pendingId, request, deadlineMs } });
            });
        },
        end: ({ key, nonce, outcome, answer }) => dispatch({ kind: "end", end: { key, nonce, outcome }, answer }),
        async stop() {
            await waitForWrites();
            if (state.ends.length > 0 && kv.available) {
                dispatch({ kind: "flush" });
                await waitForWrites();
            }
            isStopped = true;
            cancelFlush();
        },
    };
}

function toFlushDelayMs(when: "gathered" | "now" | "idle", options: PartitionTaskOptions): number {
    switch (when) {
        case "gathered":
            return options.gatherMs;
        case "now":
            return 0;
        case "idle":
            return options.endMs;
    }
}

async function readPage(options: PartitionTaskOptions): Promise<ReadPage> {
    const entry = await options.kv.read("claim", options.key);
    return toReadPage(entry);
}

function toReadPage(entry: { readonly value: string; readonly revision: number } | undefined): ReadPage {
    return entry === undefined
        ? { page: EMPTY_PAGE, revision: 0 }
        : { page: parseClaimPage(entry.value), revision: entry.revision };
}

async function writePage(
    effect: Extract<PartitionEffect, { kind: "write" }>,
    options: PartitionTaskOptions,
): Promise<PageWriteOutcome> {
    const value = JSON.stringify(effect.page);
    options.metrics.count("claim_written_bytes_total", {}, value.length);
    try {
        return toPageOutcome(
            await options.kv.write({
                purpose: "claim",
                key: options.key,
                expectedRevision: effect.expectedRevision,
                value,
                isOwn: current => parseClaimPage(current).writes.includes(effect.nonce),
            }),
        );
    }
    catch {
        return { kind: "unknown" };
    }
}

function toPageOutcome(outcome: KvOutcome): PageWriteOutcome {
    switch (outcome.kind) {
        case "applied":
            return { kind: "applied", committed: toReadPage(outcome.entry) };
        case "refused":
            return { kind: "refused", committed: toReadPage(outcome.current) };
        case "unavailable":
        case "unknown":
            return { kind: outcome.kind };
    }
}
