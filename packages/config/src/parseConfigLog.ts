import type { ConfigChange } from "@fulmarcleat/resources";
import { changeSchema, configLogSchema } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";

/**
 * Parses the configuration log from its stored JSON.
 *
 * @param text - JSON text from the key-value service
 * @param checkedSeq - Last change validated by an earlier read; later ones are validated, as changes are immutable
 * @returns the log
 * @throws ZodError or SyntaxError if the value is not a valid log
 *
 * @example
 * const log = parseConfigLog(entry.value, snapshot.seq);
 */
export function parseConfigLog(text: string, checkedSeq = 0): ConfigLog {
    const { baseSeq, changes } = configLogSchema.parse(JSON.parse(text));
    return {
        baseSeq,
        changes: changes.map(change =>
            change.seq <= checkedSeq ? change as unknown as ConfigChange : changeSchema.parse(change)
        ),
    };
}
