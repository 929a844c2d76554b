import type { ConsolaInstance, LogLevel } from "consola";
import { createConsola } from "consola";
import type { EventNumber } from "./eventCatalogue.js";
import { EVENT_CATALOGUE } from "./eventCatalogue.js";

/** Fields of a log event; they must not contain secrets. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Severity of a log event. */
export type EventLevel = "info" | "warn" | "error";

/** Log of numbered events. */
export interface EventLog {
    /** Writes an event; fields that are undefined are left out. */
    write(level: EventLevel, event: EventNumber, fields?: EventFields): void;
}

/** Settings of a log. */
export interface EventLogOptions {
    /** Name of the process, shown on every line. */
    readonly process: string;
    /** Most verbose level that is written, as a log level of consola; defaults to 3 (info). */
    readonly level?: LogLevel;
}

/**
 * Creates a log that writes numbered events to the console.
 *
 * @param options - Name of the process and the most verbose level
 * @returns the log
 *
 * @example
 * createEventLog({ process: "gateway" }).write("info", 100, { host: "entry-1" });
 */
export function createEventLog(options: EventLogOptions): EventLog {
    const consola: ConsolaInstance = createConsola({ level: options.level ?? 3, formatOptions: { date: true } })
        .withTag(options.process);
    return {
        write(level, event, fields = {}) {
            consola[level](`${event} ${EVENT_CATALOGUE[event]} ${formatFields(fields)}`);
        },
    };
}

function formatFields(fields: EventFields): string {
    return Object.entries(fields).filter(([, value]) => value !== undefined).map(([key, value]) =>
        `${key}=${String(value)}`
    ).join(" ");
}
