import { configLogSchema } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";

/**
 * Parses the log as read from the key-value service.
 *
 * @param text - The key's value
 * @returns the log
 * @throws Error where the value is no log
 *
 * @example
 * const log = parseConfigLog(entry.value);
 */
export function parseConfigLog(text: string): ConfigLog {
    return configLogSchema.parse(JSON.parse(text));
}
