import type { EventFields, EventLevel, EventLog } from "./createEventLog.js";
import type { EventNumber } from "./eventCatalogue.js";
import { EVENT_CATALOGUE } from "./eventCatalogue.js";

/** Where lines go; gives false while it can't take more. */
export interface LineSink {
    write(text: string): boolean;
    once(event: "drain", listener: () => void): unknown;
}

/** Settings of a log of JSON lines. */
export interface JsonLogOptions {
    /** Name of the process. */
    readonly process: string;
    readonly sink: LineSink;
    /** Wall time in milliseconds since the epoch. */
    readonly readWallMs: () => number;
    /** Info lines of one event that are written in a second; warnings and errors have twice as many. */
    readonly linesPerSecond: number;
    /** Lines that wait while the sink takes none. */
    readonly capacity: number;
}

const MS_PER_S = 1000;
const DROPPED_EVENT: EventNumber = 107;

/**
 * Creates a log of JSON lines that never waits for its reader: what it can't write it drops, counts and says.
 *
 * @param options - Sink and limits
 * @returns the log
 *
 * @example
 * const log = createJsonLog({ process: "front", sink: process.stdout, readWallMs, linesPerSecond: 50, capacity: 1000 });
 */
export function createJsonLog(options: JsonLogOptions): EventLog {
    const waiting: string[] = [];
    const written = new Map<EventNumber, number>();
    const dropped = new Map<EventNumber, number>();
    let second = 0;
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
        second = nowSecond;
        written.clear();
        if (isBlocked) {
            return;
        }
        dropped.forEach((count, event) => emit(format("warn", DROPPED_EVENT, { dropped: event, count })));
        dropped.clear();
    };
    return {
        write(level, event, fields = {}) {
            const nowSecond = Math.floor(options.readWallMs() / MS_PER_S);
            if (nowSecond !== second) {
                startSecond(nowSecond);
            }
            const limit = level === "info" ? options.linesPerSecond : options.linesPerSecond * 2;
            const count = written.get(event) ?? 0;
            const room = level === "info" ? options.capacity / 2 : options.capacity;
            if (count >= limit || waiting.length >= room) {
                dropped.set(event, (dropped.get(event) ?? 0) + 1);
                return;
            }
            written.set(event, count + 1);
            emit(format(level, event, fields));
        },
    };
}
