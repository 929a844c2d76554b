import { ServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Clock } from "@fulmarcleat/ids";
import type { ServerResponse } from "node:http";

/** Cancellation of a request before its answer is complete. */
export interface RequestCancellation {
    /** Aborts with a ServeError when the deadline passes or the caller disconnects. */
    readonly signal: AbortSignal;
    /** Removes the deadline timer and the listener on the response. */
    clear(): void;
}

/**
 * Cancels a request when its deadline passes or its caller disconnects.
 *
 * @param res - Response; if it closes before it is finished, the caller has disconnected
 * @param clock - Clock for the deadline's timer
 * @param deadlineMs - Deadline of the request, in milliseconds of the clock
 * @returns the abort signal and a function to stop watching
 *
 * @example
 * const cancellation = watchCancellation(res, clock, clock.nowMs() + 1000);
 */
export function watchCancellation(res: ServerResponse, clock: Clock, deadlineMs: number): RequestCancellation {
    const controller = new AbortController();
    const abort = (code: ErrorCode, message: string): void =>
        controller.abort(
            new ServeError(message, { code, step: "wait for answer", peer: "caller", outcome: "unknown" }),
        );
    const cancelTimer = clock.setTimer(
        Math.max(0, deadlineMs - clock.nowMs()),
        () => abort("deadline_passed", "the deadline has passed"),
    );
    const onClose = (): void => {
        if (!res.writableFinished) {
            abort("caller_gone", "the caller disconnected");
        }
    };
    res.on("close", onClose);
    return {
        signal: controller.signal,
        clear() {
            cancelTimer();
            res.removeListener("close", onClose);
        },
    };
}
