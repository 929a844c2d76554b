import type { ServiceAnswer, ServiceDriver } from "@fulmarcleat/drivers";
import { ServeError, toServeError } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import type { Clock } from "@fulmarcleat/ids";
import { mayRetryService } from "./mayRetryService.js";

/** A checked call to a plain service. */
export interface CheckedServiceCall {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    readonly urls: readonly string[];
    /** The call may run at most once: it goes out on new connections only. */
    readonly isOnce: boolean;
    readonly timeoutMs: number;
}

/** What the call needs. */
export interface CallServiceContext {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly findService: (url: string) => ServiceDriver;
}

/**
 * Calls a plain service; another url is tried only where the call may be sent again.
 *
 * @param call - The call
 * @param context - Drivers and counters
 * @returns the service's whole answer
 * @throws ServeError with the call's true outcome
 *
 * @example
 * const answer = await callService(call, context);
 */
export async function callService(call: CheckedServiceCall, context: CallServiceContext): Promise<ServiceAnswer> {
    const { clock, metrics } = context;
    const timeout = new AbortController();
    const cancelTimer = clock.setTimer(call.timeoutMs, () => timeout.abort());
    const { method, path, headers, body, isOnce } = call;
    let wasSent = false;
    try {
        for (let attempt = 0;; attempt += 1) {
            const url = call.urls[attempt % call.urls.length] ?? "";
            try {
                return await context.findService(url).call({
                    method,
                    path,
                    headers,
                    body,
                    freshConnection: isOnce,
                    signal: timeout.signal,
                });
            }
            catch (err) {
                const failure = toServeError(err, {
                    code: "upstream_failed",
                    step: "call service",
                    peer: url,
                    outcome: "unknown",
                });
                wasSent = wasSent || failure.outcome !== "not_run";
                const urlsLeft = call.urls.length - attempt - 1;
                if (!mayRetryService({ isOnce, wasSent, urlsLeft, isExpired: timeout.signal.aborted })) {
                    throw describeEnd(failure, wasSent);
                }
                metrics.count("retries_total", { reason: failure.code });
            }
        }
    }
    finally {
        cancelTimer();
    }
}

function describeEnd(failure: ServeError, wasSent: boolean): ServeError {
    return new ServeError(failure.message, {
        code: failure.code,
        step: failure.step,
        peer: failure.peer,
        outcome: wasSent ? "unknown" : "not_run",
        cause: failure,
    });
}
