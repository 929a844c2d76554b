import type { ErrorCode } from "@fulmarcleat/errors";

/** State of the queue that a request would join. */
export interface QueueState {
    readonly waiting: number;
    /** Number of waiting requests of the same caller. */
    readonly waitingOfCaller: number;
    readonly queueLimit: number;
    readonly callerQueueLimit: number;
    /** Expected wait of the request, in milliseconds. */
    readonly expectedWaitMs: number;
    /** Time that the request can still wait, in milliseconds. */
    readonly waitLeftMs: number;
}

/** Whether a request is admitted to a queue. */
export type AdmissionDecision =
    | { readonly kind: "admit" }
    | {
        readonly kind: "refuse";
        readonly code: Extract<ErrorCode, "queue_full" | "caller_limit" | "deadline_unreachable">;
        readonly retryAfterMs: number;
    };

/**
 * Decides whether a request may join a queue; one that can't be served in time is refused at once.
 *
 * @param queue - Length, limits and expected wait of the queue
 * @returns the decision, with the delay before a retry if the request is refused
 *
 * @example
 * const decision = decideAdmission(queue);
 */
export function decideAdmission(queue: QueueState): AdmissionDecision {
    const retryAfterMs = Math.max(1000, queue.expectedWaitMs);
    if (queue.waiting >= queue.queueLimit) {
        return { kind: "refuse", code: "queue_full", retryAfterMs };
    }
    if (queue.waitingOfCaller >= queue.callerQueueLimit) {
        return { kind: "refuse", code: "caller_limit", retryAfterMs };
    }
    if (queue.expectedWaitMs > queue.waitLeftMs) {
        return { kind: "refuse", code: "deadline_unreachable", retryAfterMs };
    }
    return { kind: "admit" };
}
