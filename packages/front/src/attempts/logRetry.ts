import type { EventLog } from "@fulmarcleat/events";
import type { EngineId, RequestId } from "@fulmarcleat/ids";
import type { ExchangeResult } from "../runExchange.js";

/** The attempt that is logged. */
export interface LoggedAttempt {
    readonly id: RequestId;
    readonly engine: EngineId;
    /** Number of attempts so far that may have reached an engine. */
    readonly sends: number;
}

/**
 * Logs an attempt after which a request may be tried again.
 *
 * @param log - Receives the event
 * @param attempt - Request, target and number of the attempt
 * @param result - How the attempt ended
 * @returns nothing
 *
 * @example
 * logRetry(log, { id: requestId, engine, sends: 1 }, { kind: "unsent", reason: "ECONNREFUSED" });
 */
export function logRetry(log: EventLog, attempt: LoggedAttempt, result: ExchangeResult): void {
    switch (result.kind) {
        case "not_run":
            log.write("info", 402, { ...attempt, status: result.status });
            return;
        case "unsent":
            log.write("info", 402, { ...attempt, reason: result.reason });
            return;
        case "broken":
            log.write("info", 402, { ...attempt, reason: result.reason, framing: result.framing });
            return;
        case "discarded":
            log.write("info", 402, { ...attempt, reason: "the store has not taken the record of its stream" });
            return;
        case "answer":
        case "relayed":
        case "cancelled":
            return;
    }
}
