import type { EventLog } from "@fulmarcleat/events";

/**
 * Runs a step for each item. An item that throws is logged and keeps no other item from its turn.
 *
 * @param log - Gets the step, the item's name and the error
 * @param step - Name of the step
 * @param items - The items
 * @param formatName - Names an item in the log
 * @param run - The step; it must leave nothing half done that a later turn relies on
 * @returns nothing
 *
 * @example
 * runEach(log, "assign engine", entries, entry => entry.id, entry => assign(entry));
 */
export function runEach<T>(
    log: EventLog,
    step: string,
    items: Iterable<T>,
    formatName: (item: T) => string,
    run: (item: T) => void,
): void {
    for (const item of items) {
        try {
            run(item);
        }
        catch (err) {
            log.write("error", 110, { step, name: formatName(item), reason: String(err) });
        }
    }
}
