import type { ConsolaInstance, LogLevel } from "consola";
import { createConsola } from "consola";
import type { EventNumber } from "./eventCatalogue.js";
import { EVENT_CATALOGUE } from "./eventCatalogue.js";

/** Plain data that goes with a log event; never a secret. */
export type EventFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Severity of a log event. */
export type EventLevel = "info" | "warn" | "error";

/** Writes numbered log events. */
export interface EventLog {
    write(level: EventLevel, event: EventNumber, fields?: EventFields): void;
}

/** Settings of a log. */
export interface EventLogOptions {
    /** Name of the process. */
    readonly process: string;
    /** Most verbose level that is written. */
    readonly level?: LogLevel;
}

/**
 * Creates a log that writes numbered events.
 *
 * @param options - Name of the process and the level
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
