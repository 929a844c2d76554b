import { ServeError } from "@fulmarcleat/errors";
import type { ErrorCode } from "@fulmarcleat/errors";
import type { Clock } from "@fulmarcleat/ids";
import type { ServerResponse } from "node:http";

/** The end of a request before its answer is whole. */
export interface CallEnding {
    /** Aborts with a ServeError when the deadline passes or the caller goes away. */
    readonly signal: AbortSignal;
    /** Stops watching. */
    clear(): void;
}

/**
 * Watches for a request's deadline and for the caller going away.
 *
 * @param res - The response
 * @param clock - Source of time
 * @param deadlineMs - The deadline, in milliseconds of the clock
 * @returns the ending
 *
 * @example
 * const ending = endWithCaller(res, clock, clock.nowMs() + 1000);
 */
export function endWithCaller(res: ServerResponse, clock: Clock, deadlineMs: number): CallEnding {
    const controller = new AbortController();
    const end = (code: ErrorCode, message: string): void =>
        controller.abort(
            new ServeError(message, { code, step: "wait for answer", peer: "caller", outcome: "unknown" }),
        );
    const cancelTimer = clock.setTimer(
        Math.max(0, deadlineMs - clock.nowMs()),
        () => end("deadline_passed", "the deadline has passed"),
    );
    const onClose = (): void => {
        if (!res.writableFinished) {
            end("caller_gone", "the caller went away");
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
