import type { ServiceAnswer, ServiceDriver } from "@fulmarcleat/drivers";
import { ServeError, toServeError } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";
import type { Clock } from "@fulmarcleat/ids";
import { mayRetryService } from "./mayRetryService.js";

/** A validated call to a plain service. */
export interface ValidatedServiceCall {
    readonly method: string;
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: Uint8Array;
    /** URLs of the service, in the order in which they are tried. */
    readonly urls: readonly string[];
    /** Whether the call may run at most once; it is then sent on new connections only. */
    readonly isAtMostOnce: boolean;
    /** Time limit for all attempts together, in milliseconds. */
    readonly timeoutMs: number;
}

/** Dependencies of a service call. */
export interface CallServiceContext {
    readonly clock: Clock;
    readonly metrics: Metrics;
    /** Returns the driver of the service at a URL. */
    readonly findService: (url: string) => ServiceDriver;
}

/**
 * Calls a plain service; after a failure, its next URL is tried if the call may be sent again.
 *
 * @param call - Method, path, headers, body and URLs to call
 * @param context - Service drivers, clock and metrics
 * @returns the complete response of the service
 * @throws ServeError with outcome `not_run` only if no attempt reached the service
 *
 * @example
 * const answer = await callService(call, context);
 */
export async function callService(call: ValidatedServiceCall, context: CallServiceContext): Promise<ServiceAnswer> {
    const { clock, metrics } = context;
    const timeout = new AbortController();
    const cancelTimer = clock.setTimer(call.timeoutMs, () => timeout.abort());
    const { method, path, headers, body, isAtMostOnce } = call;
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
                    freshConnection: isAtMostOnce,
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
                if (!mayRetryService({ isAtMostOnce, wasSent, urlsLeft, isExpired: timeout.signal.aborted })) {
                    throw createCallError(failure, wasSent);
                }
                metrics.count("retries_total", { reason: failure.code });
            }
        }
    }
    finally {
        cancelTimer();
    }
}

function createCallError(failure: ServeError, wasSent: boolean): ServeError {
    return new ServeError(failure.message, {
        code: failure.code,
        step: failure.step,
        peer: failure.peer,
        outcome: wasSent ? "unknown" : "not_run",
        cause: failure,
    });
}
