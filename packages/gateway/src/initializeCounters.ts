import { listErrorCodes } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Metrics } from "@fulmarcleat/events";

/** Label values of the retry counters. */
const RETRY_REASONS: readonly (ErrorCode | "old_fence")[] = [
    "old_fence",
    "upstream_failed",
    "upstream_refused",
    "upstream_silent",
    "stream_broken",
    "peer_failed",
    "queue_full",
    "load_failed",
    "load_backoff",
    "no_owner",
];
/** Counters without labels. */
const PLAIN_COUNTERS = [
    "stream_resumes_total",
    "adapter_mismatches_total",
    "batch_places_used_total",
    "batch_places_offered_total",
] as const;
const CLASSES = ["urgent", "normal", "bulk"] as const;

/**
 * Sets a gateway's counters to 0, so that each refusal and retry reason is exported before it first occurs.
 *
 * @param metrics - Metrics of a gateway that is starting
 * @returns nothing
 *
 * @example
 * initializeCounters(metrics);
 */
export function initializeCounters(metrics: Metrics): void {
    listErrorCodes().forEach(reason => metrics.count("refusals_total", { reason, outcome: "not_run" }, 0));
    RETRY_REASONS.forEach(reason => metrics.count("retries_total", { reason }, 0));
    RETRY_REASONS.forEach(reason => metrics.count("requests_run_again_total", { reason }, 0));
    PLAIN_COUNTERS.forEach(name => metrics.count(name, {}, 0));
    CLASSES.forEach(name => metrics.count("requests_total", { class: name }, 0));
}
