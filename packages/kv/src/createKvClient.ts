import type { KvDriver, KvEntry, KvSwap, LeaseId } from "@fulmarcleat/drivers";
import { ServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import type { Clock } from "@fulmarcleat/ids";
import type { KvOutcome } from "./kvOutcome.js";

/** Why a call is made; the calls are counted by it. */
export type KvPurpose = "config" | "claim" | "owner" | "session";

/** A write whose lost reply can be resolved by reading back. */
export interface KvWrite extends KvSwap {
    readonly purpose: KvPurpose;
    /** Whether a value holds this very write, also beneath later ones. */
    readonly isOwn: (value: string) => boolean;
}

/** Settings of a client. */
export interface KvClientOptions {
    readonly driver: KvDriver;
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** How long a write in doubt is pursued, in milliseconds. */
    readonly resolveMs: number;
}

/** The key-value service with typed outcomes. */
export interface KvClient {
    /** Reads a key; throws ServeError `kv_unavailable`. */
    read(purpose: KvPurpose, key: string): Promise<KvEntry | undefined>;
    write(write: KvWrite): Promise<KvOutcome>;
    grantLease(ttlMs: number): Promise<LeaseId>;
    keepAlive(lease: LeaseId): Promise<boolean>;
    revokeLease(lease: LeaseId): Promise<void>;
    /** Calls `notify` with each state of a key until `signal` ends; reconnects by itself. */
    watch(purpose: KvPurpose, key: string, notify: (entry: KvEntry) => void, signal: AbortSignal): void;
    /** Whether the last call was answered. */
    readonly available: boolean;
    close(): Promise<void>;
}

const RETRY_MS = 100;

/**
 * Creates a client that resolves writes in doubt by repeating and reading back.
 *
 * @param options - Driver, clock and counters
 * @returns the client
 *
 * @example
 * const kv = createKvClient({ driver, clock, metrics, log, resolveMs: 2000 });
 */
export function createKvClient(options: KvClientOptions): KvClient {
    const { driver, clock, metrics, log } = options;
    let available = true;
    const note = (isAvailable: boolean): void => {
        if (isAvailable !== available) {
            available = isAvailable;
            log.write(isAvailable ? "info" : "warn", isAvailable ? 601 : 600);
        }
    };
    const call = async <T>(purpose: KvPurpose, kind: string, run: () => Promise<T>): Promise<T> => {
        metrics.count("kv_calls_total", { purpose, kind });
        try {
            const result = await run();
            note(true);
            return result;
        }
        catch (err) {
            note(false);
            throw err;
        }
    };
    const attempt = async (write: KvWrite): Promise<KvOutcome> => {
        try {
            const result = await call(write.purpose, "swap", () => driver.swap(write));
            if (result.kind === "applied") {
                return { kind: "applied", entry: { value: write.value, revision: result.revision } };
            }
            const { current } = result;
            return current !== undefined && write.isOwn(current.value)
                ? { kind: "applied", entry: current }
                : { kind: "refused", current };
        }
        catch (err) {
            const isUnsent = err instanceof ServeError && err.outcome === "not_run";
            return { kind: isUnsent ? "unavailable" : "unknown" };
        }
    };
    return {
        read: (purpose, key) => call(purpose, "get", () => driver.get(key)),
        async write(write) {
            const deadlineMs = clock.nowMs() + options.resolveMs;
            let outcome = await attempt(write);
            let isInDoubt = outcome.kind === "unknown";
            while (isInDoubt && isUndecided(outcome) && clock.nowMs() < deadlineMs) {
                metrics.count("kv_doubts_total", { purpose: write.purpose });
                await pause(clock, RETRY_MS);
                outcome = await attempt(write);
            }
            isInDoubt = isInDoubt && isUndecided(outcome);
            return isInDoubt ? { kind: "unknown" } : outcome;
        },
        grantLease: ttlMs => call("session", "grant", () => driver.grantLease(ttlMs)),
        keepAlive: lease => call("session", "keepalive", () => driver.keepAlive(lease)),
        revokeLease: lease => call("session", "revoke", () => driver.revokeLease(lease)),
        watch(purpose, key, notify, signal) {
            void watchForever({ driver, clock, call, purpose, key, notify, signal });
        },
        get available() {
            return available;
        },
        close: () => driver.close(),
    };
}

function isUndecided(outcome: KvOutcome): boolean {
    return outcome.kind === "unknown" || outcome.kind === "unavailable";
}

function pause(clock: Clock, ms: number): Promise<void> {
    return new Promise(resolve => clock.setTimer(ms, resolve));
}

interface WatchContext {
    readonly driver: KvDriver;
    readonly clock: Clock;
    readonly call: <T>(purpose: KvPurpose, kind: string, run: () => Promise<T>) => Promise<T>;
    readonly purpose: KvPurpose;
    readonly key: string;
    readonly notify: (entry: KvEntry) => void;
    readonly signal: AbortSignal;
}

async function watchForever(context: WatchContext): Promise<void> {
    let revision = 0;
    while (!context.signal.aborted) {
        try {
            const current = await context.call(context.purpose, "get", () => context.driver.get(context.key));
            revision = deliver(context, current, revision);
            await context.call(context.purpose, "watch", async () => {
                for await (const event of context.driver.watch(context.key, revision, context.signal)) {
                    revision = deliver(context, event.kind === "put" ? event.entry : undefined, revision);
                }
            });
        }
        catch {
            await pause(context.clock, RETRY_MS);
        }
    }
}

function deliver(context: WatchContext, entry: KvEntry | undefined, revision: number): number {
    if (entry === undefined || entry.revision <= revision) {
        return revision;
    }
    context.notify(entry);
    return entry.revision;
}
