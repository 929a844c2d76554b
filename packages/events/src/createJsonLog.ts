import type { EventFields, EventLevel, EventLog } from "./createEventLog.js";
import type { EventNumber } from "./eventCatalogue.js";
import { EVENT_CATALOGUE } from "./eventCatalogue.js";

/** Output of a log, such as a writable stream. */
export interface LineSink {
    /** Writes text; returns false if its buffer is full, until `drain` is emitted. */
    write(text: string): boolean;
    once(event: "drain", listener: () => void): unknown;
}

/** Settings of a log of JSON lines. */
export interface JsonLogOptions {
    /** Name of the process, written in every line. */
    readonly process: string;
    readonly sink: LineSink;
    /** Reads the wall time in milliseconds since the epoch. */
    readonly readWallMs: () => number;
    /** Maximum number of info lines of one event per second; twice as many for warnings and errors. */
    readonly linesPerSecond: number;
    /** Maximum number of lines that are buffered while the sink is full; info lines may use half of it. */
    readonly capacity: number;
}

const MS_PER_S = 1000;
/** Event that reports how many lines of another event were dropped. */
const DROPPED_EVENT: EventNumber = 107;

/**
 * Creates a log of JSON lines that never blocks on a slow reader and uses bounded memory. Lines above its limits are
 * dropped, and event 107 reports their number.
 *
 * @param options - Output, clock and limits
 * @returns the log
 *
 * @example
 * const log = createJsonLog({ process: "front", sink, readWallMs, linesPerSecond: 50, capacity: 1000 });
 */
export function createJsonLog(options: JsonLogOptions): EventLog {
    const waiting: string[] = [];
    const writtenCounts = new Map<EventNumber, number>();
    const droppedCounts = new Map<EventNumber, number>();
    let currentSecond = 0;
    let isBlocked = false;
    const emit = (line: string): void => {
        if (!isBlocked) {
            isBlocked = !options.sink.write(line);
            if (isBlocked) {
                options.sink.once("drain", drain);
            }
            return;
        }
        waiting.push(line);
    };
    const drain = (): void => {
        isBlocked = false;
        while (!isBlocked && waiting.length > 0) {
            emit(waiting.shift() ?? "");
        }
    };
    const format = (level: EventLevel, event: EventNumber, fields: EventFields): string =>
        `${
            JSON.stringify({
                t: options.readWallMs(),
                level,
                process: options.process,
                event,
                message: EVENT_CATALOGUE[event],
                ...fields,
            })
        }\n`;
    const startSecond = (nowSecond: number): void => {
        currentSecond = nowSecond;
        writtenCounts.clear();
        if (isBlocked) {
            return;
        }
        droppedCounts.forEach((count, event) => emit(format("warn", DROPPED_EVENT, { dropped: event, count })));
        droppedCounts.clear();
    };
    return {
        write(level, event, fields = {}) {
            const nowSecond = Math.floor(options.readWallMs() / MS_PER_S);
            if (nowSecond !== currentSecond) {
                startSecond(nowSecond);
            }
            const limit = level === "info" ? options.linesPerSecond : options.linesPerSecond * 2;
            const count = writtenCounts.get(event) ?? 0;
            const maxWaiting = level === "info" ? options.capacity / 2 : options.capacity;
            if (count >= limit || waiting.length >= maxWaiting) {
                droppedCounts.set(event, (droppedCounts.get(event) ?? 0) + 1);
                return;
            }
            writtenCounts.set(event, count + 1);
            emit(format(level, event, fields));
        },
    };
}
