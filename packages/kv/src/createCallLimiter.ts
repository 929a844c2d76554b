import { ServeError } from "@fulmarcleat/errors";
import type { EventLog, Metrics } from "@fulmarcleat/events";
import { sleep } from "@fulmarcleat/ids";
import type { Clock } from "@fulmarcleat/ids";
import type { KvPurpose } from "./createKvClient.js";
import { decideAvailable } from "./decideAvailable.js";
import { takeCallToken } from "./takeCallToken.js";
import type { CallBudget } from "./takeCallToken.js";

/** Kind of a call; a label of the call metrics. */
export type KvCallKind = "get" | "swap" | "watch" | "grant" | "keepalive" | "revoke";

/** Dependencies and settings of a call limiter. */
export interface CallLimiterOptions {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly log: EventLog;
    /** Rate of calls that this process may make; calls beyond it are delayed. */
    readonly budget: CallBudget;
    /** Longest wait for an answer before the service counts as unavailable, in milliseconds. */
    readonly slowMs: number;
}

/** Counts calls, limits them to the budget and tracks whether the service answers. */
export interface CallLimiter {
    /** Makes one call, after a delay if the budget is used up; calls for the session are never delayed. */
    run<T>(purpose: KvPurpose, kind: KvCallKind, call: () => Promise<T>): Promise<T>;
    /** Runs a watch; it stays open, so only its failure counts towards the availability. */
    runWatch(purpose: KvPurpose, call: () => Promise<void>): Promise<void>;
    /** Whether the last call was answered and no call has been pending for too long. */
    readonly available: boolean;
}

/**
 * Creates the limiter through which every call to the key-value service is made.
 *
 * @param options - Budget, clock, metrics and log
 * @returns the limiter
 *
 * @example
 * const entry = await limiter.run("config", "get", () => driver.get(key));
 */
export function createCallLimiter(options: CallLimiterOptions): CallLimiter {
    const { clock, metrics, log, budget } = options;
    const pendingSinceMs = new Map<number, number>();
    let lastCallId = 0;
    let lastAnswered = true;
    let tokens = { tokens: budget.burst, atMs: clock.nowMs() };
    const recordAnswer = (isAnswered: boolean): void => {
        if (isAnswered !== lastAnswered) {
            lastAnswered = isAnswered;
            log.write(isAnswered ? "info" : "warn", isAnswered ? 601 : 600);
        }
    };
    const waitForToken = async (purpose: KvPurpose, kind: KvCallKind): Promise<void> => {
        const taken = takeCallToken(tokens, budget, clock.nowMs());
        tokens = taken.tokens;
        metrics.count("kv_calls_total", { purpose, kind });
        if (taken.waitMs > 0 && purpose !== "session") {
            metrics.count("kv_calls_delayed_total", { purpose, kind });
            await sleep(clock, taken.waitMs);
        }
    };
    return {
        async run(purpose, kind, call) {
            await waitForToken(purpose, kind);
            lastCallId += 1;
            const id = lastCallId;
            pendingSinceMs.set(id, clock.nowMs());
            try {
                const result = await call();
                recordAnswer(true);
                return result;
            }
            catch (err) {
                recordAnswer(false);
                throw err;
            }
            finally {
                pendingSinceMs.delete(id);
            }
        },
        async runWatch(purpose, call) {
            await waitForToken(purpose, "watch");
            try {
                await call();
            }
            catch (err) {
                recordAnswer(err instanceof ServeError && err.code !== "kv_unavailable" ? lastAnswered : false);
                throw err;
            }
        },
        get available() {
            const [oldestPendingMs] = pendingSinceMs.values();
            return decideAvailable({ lastAnswered, oldestPendingMs }, options.slowMs, clock.nowMs());
        },
    };
}
