import type { KvDriver, KvEntry, KvSwap, LeaseId } from "@fulmarcleat/drivers";
import { ServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import { sleep } from "@fulmarcleat/ids";
import type { CancelTimer, Clock } from "@fulmarcleat/ids";
import { createCallLimiter } from "./createCallLimiter.js";
import type { CallLimiter } from "./createCallLimiter.js";
import { createSharedWatches } from "./createSharedWatches.js";
import type { KvOutcome } from "./kvOutcome.js";
import { resolveSwap } from "./resolveSwap.js";
import type { SwapAttempt } from "./resolveSwap.js";
import type { CallBudget } from "./takeCallToken.js";

/** What a call is made for; a label of the call metrics. */
export type KvPurpose = "config" | "claim" | "owner" | "session" | "probe";

/** A write whose lost reply can be resolved by reading back. */
export interface KvWrite extends KvSwap {
    readonly purpose: KvPurpose;
    /** Whether a value contains this write, even if later writes were added to it. */
    readonly isOwn: (value: string) => boolean;
}

/** Dependencies and settings of a client. */
export interface KvClientOptions {
    readonly driver: KvDriver;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** Time for which a write with an unknown result is retried and read back, in milliseconds. */
    readonly resolveMs: number;
    /** Longest wait for an answer before the service counts as unavailable, in milliseconds. */
    readonly slowMs?: number;
    /** Rate of calls that this process may make; calls beyond it are delayed. */
    readonly budget?: CallBudget;
}

/** Client of the key-value service. */
export interface KvClient {
    /** Reads a key; throws ServeError `kv_unavailable`. */
    read(purpose: KvPurpose, key: string): Promise<KvEntry | undefined>;
    /** Writes a key by compare-and-swap; resolves lost replies and never throws for them. */
    write(write: KvWrite): Promise<KvOutcome>;
    /** Grants a lease with a time to live in milliseconds. */
    grantLease(ttlMs: number): Promise<LeaseId>;
    /** Renews a lease; false if it no longer exists. */
    keepAlive(lease: LeaseId): Promise<boolean>;
    /** Revokes a lease and deletes its keys. */
    revokeLease(lease: LeaseId): Promise<void>;
    /** Calls `notify` with the current and each later value of a key until `signal` aborts; reconnects on failure. */
    watch(purpose: KvPurpose, key: string, notify: (entry: KvEntry) => void, signal: AbortSignal): void;
    /** Whether calls are answered in time. */
    readonly available: boolean;
    /** Stops the probes and closes the driver. */
    close(): Promise<void>;
}

/** Time between two reads that check an open watch, in milliseconds. */
const WATCH_CHECK_INTERVAL_MS = 3000;
/** Delay before an unresolved write is repeated or an interrupted watch is reopened, in milliseconds. */
const RETRY_DELAY_MS = 100;
/** Interval at which an unavailable service is probed, in milliseconds. */
const PROBE_INTERVAL_MS = 250;
/** Key that a probe reads. */
const PROBE_KEY = "probe";
/** Default of `slowMs`, in milliseconds. */
const DEFAULT_SLOW_CALL_MS = 1000;
/** Default rate of calls of one process, per second, and its burst. */
const DEFAULT_BUDGET: CallBudget = { callsPerSecond: 200, burst: 400 };

/**
 * Creates a client that resolves writes with a lost reply by repeating them and reading them back.
 *
 * @param options - Driver, clock, metrics and budget
 * @returns the client
 *
 * @example
 * const kv = createKvClient({ driver, clock, metrics, log, resolveMs: 2000 });
 */
export function createKvClient(options: KvClientOptions): KvClient {
    const { driver, clock, metrics, log } = options;
    const limiter = createCallLimiter({
        clock,
        metrics,
        log,
        budget: options.budget ?? DEFAULT_BUDGET,
        slowMs: options.slowMs ?? DEFAULT_SLOW_CALL_MS,
    });
    const watches = createSharedWatches({
        driver,
        limiter,
        clock,
        retryDelayMs: RETRY_DELAY_MS,
        checkIntervalMs: WATCH_CHECK_INTERVAL_MS,
    });
    let isClosed = false;
    let cancelProbe: CancelTimer = () => undefined;
    const probe = async (): Promise<void> => {
        if (!limiter.available) {
            await limiter.run("probe", "get", () => driver.get(PROBE_KEY)).catch(() => undefined);
        }
        if (!isClosed) {
            cancelProbe = clock.setTimer(PROBE_INTERVAL_MS, () => void probe());
        }
    };
    cancelProbe = clock.setTimer(PROBE_INTERVAL_MS, () => void probe());
    return {
        read: (purpose, key) => limiter.run(purpose, "get", () => driver.get(key)),
        write: write => writeUntilResolved(write, options, limiter),
        grantLease: ttlMs => limiter.run("session", "grant", () => driver.grantLease(ttlMs)),
        keepAlive: lease => limiter.run("session", "keepalive", () => driver.keepAlive(lease)),
        revokeLease: lease => limiter.run("session", "revoke", () => driver.revokeLease(lease)),
        watch: (purpose, key, notify, signal) => watches.add(purpose, key, notify, signal),
        get available() {
            return limiter.available;
        },
        close() {
            isClosed = true;
            cancelProbe();
            return driver.close();
        },
    };
}

async function writeUntilResolved(write: KvWrite, options: KvClientOptions, limiter: CallLimiter): Promise<KvOutcome> {
    const { clock, metrics, log } = options;
    const deadlineMs = clock.nowMs() + options.resolveMs;
    let wasLost = false;
    for (;;) {
        const attempt = await attemptSwap(write, options.driver, limiter);
        const resolution = resolveSwap(attempt, { value: write.value, isOwn: write.isOwn, wasLost });
        if (resolution.kind !== "undecided") {
            return resolution;
        }
        if (!wasLost) {
            log.write("warn", 602, { purpose: write.purpose, key: write.key });
        }
        wasLost = true;
        metrics.count("kv_doubts_total", { purpose: write.purpose });
        if (clock.nowMs() + RETRY_DELAY_MS >= deadlineMs) {
            return { kind: "unknown" };
        }
        const readBack = await readBackOwnWrite(write, options.driver, limiter);
        if (readBack !== undefined) {
            return { kind: "applied", entry: readBack };
        }
        await sleep(clock, RETRY_DELAY_MS);
    }
}

async function readBackOwnWrite(write: KvWrite, driver: KvDriver, limiter: CallLimiter): Promise<KvEntry | undefined> {
    const entry = await limiter.run(write.purpose, "get", () => driver.get(write.key)).catch(() => undefined);
    return entry !== undefined && write.isOwn(entry.value) ? entry : undefined;
}

async function attemptSwap(write: KvWrite, driver: KvDriver, limiter: CallLimiter): Promise<SwapAttempt> {
    try {
        return {
            kind: "answered",
            result: await limiter.run(write.purpose, "swap", () => driver.compareAndSwap(write)),
        };
    }
    catch (err) {
        return err instanceof ServeError && err.outcome === "not_run" ? { kind: "unsent" } : { kind: "lost" };
    }
}
