import type { ErrorCode } from "@fulmarcleat/errors";

/** The queue that a request would join. */
export interface QueueState {
    readonly waiting: number;
    /** Waiting requests of the same caller. */
    readonly waitingOfCaller: number;
    readonly queueLimit: number;
    readonly callerQueueLimit: number;
    /** Wait that the request would see, in milliseconds. */
    readonly expectedWaitMs: number;
    /** Wait that the request has left, in milliseconds. */
    readonly waitLeftMs: number;
}

/** Whether a request may join a queue. */
export type AdmissionDecision =
    | { readonly kind: "admit" }
    | {
        readonly kind: "refuse";
        readonly code: Extract<ErrorCode, "queue_full" | "caller_limit" | "deadline_unreachable">;
        readonly retryAfterMs: number;
    };

/**
 * Decides whether a request may wait; one that can't be served in time is refused at once.
 *
 * @param queue - State of the queue
 * @returns the decision, with when to come back
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
