import type { ConfigChange } from "@fulmarcleat/resources";
import { changeSchema, configLogSchema } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";

/**
 * Parses the log as read from the key-value service.
 *
 * @param text - The key's value
 * @param checkedSeq - Last change that an earlier read has checked; changes never alter, so only later ones are checked
 * @returns the log
 * @throws Error where the value is no log
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
