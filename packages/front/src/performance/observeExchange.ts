import type { EngineAnswerHead, EngineEntry, EngineTransport } from "@fulmarcleat/directory";
import type { Clock } from "@fulmarcleat/ids";
import { countEventEnds } from "./countEventEnds.js";
import type { PerformanceTracker } from "./createPerformanceTracker.js";

/** One exchange whose durations are observed. */
export interface ObservedExchange {
    readonly entry: EngineEntry;
    readonly isModel: boolean;
    /** Whether the answer is a stream of events. */
    readonly isStream: boolean;
    /** Whether the request goes on with a stream that another exchange began, of which the engine reads more. */
    readonly isResumed: boolean;
    /** Prompt tokens of the request and of those that were queued ahead of it. */
    readonly tokens: number;
    readonly clock: Clock;
}

/** Statuses of answers that took the usual work. */
const OK_STATUSES = { from: 200, to: 300 } as const;

/**
 * Wraps the transport so that the durations of an exchange are recorded: at a model service the first byte of a stream's
 * body and the gaps between its events, at a plain service the whole exchange.
 *
 * @param transport - Transport to engines
 * @param exchange - What is sent, and where
 * @param performance - Gets the durations
 * @returns the transport that records them
 *
 * @example
 * const observed = observeExchange(transport, { entry, isModel, isStream, isResumed, tokens, clock }, performance);
 */
export function observeExchange(
    transport: Pick<EngineTransport, "send">,
    { entry, isModel, isStream, isResumed, tokens, clock }: ObservedExchange,
    performance: PerformanceTracker,
): Pick<EngineTransport, "send"> {
    return {
        send(req, sink) {
            const sentMs = clock.nowMs();
            let head: EngineAnswerHead | undefined;
            let hasBody = false;
            let lastEventMs: number | undefined;
            return transport.send(req, {
                ...sink,
                head(next) {
                    head = isUsable(next) && (next.instance ?? entry.id) === entry.id ? next : undefined;
                    sink.head(next);
                },
                piece(bytes) {
                    const atMs = clock.nowMs();
                    if (head !== undefined && isModel && isStream) {
                        if (!hasBody && !isResumed && !isFull(head)) {
                            performance.recordSample(entry, { kind: "first_byte", ms: atMs - sentMs, tokens });
                        }
                        const ends = countEventEnds(bytes);
                        if (ends > 0) {
                            if (lastEventMs !== undefined) {
                                performance.recordGap(entry, (atMs - lastEventMs) / ends);
                            }
                            lastEventMs = atMs;
                        }
                    }
                    hasBody = true;
                    const canTakeMore = sink.piece(bytes);
                    if (!canTakeMore) {
                        // The next gap depends on the client, which takes nothing now.
                        lastEventMs = undefined;
                    }
                    return canTakeMore;
                },
                end() {
                    if (head !== undefined && !isModel && !isFull(head)) {
                        performance.recordSample(entry, { kind: "work", ms: clock.nowMs() - sentMs, tokens: 0 });
                    }
                    sink.end();
                },
            });
        },
    };
}

function isUsable({ status, isNotRun }: EngineAnswerHead): boolean {
    return !isNotRun && status >= OK_STATUSES.from && status < OK_STATUSES.to;
}

/** Whether requests wait at the engine, so that the time of the answer says more of the queue than of the work. */
function isFull({ load }: EngineAnswerHead): boolean {
    return load !== undefined && load.waiting > 0 && load.running >= load.slots;
}
