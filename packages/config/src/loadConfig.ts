import type { KvClient } from "@fulmarcleat/kv";
import { PAGE_COUNT } from "@fulmarcleat/resources";
import { CONFIG_LOG_KEY, EMPTY_LOG } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";
import { formatPageKey, parseConfigPage } from "./configPage.js";
import type { ConfigPage } from "./configPage.js";
import { mergePages } from "./mergePages.js";
import type { MergedPages } from "./mergePages.js";
import { parseConfigLog } from "./parseConfigLog.js";

const MAX_ATTEMPTS = 5;
const PARALLEL_READS = 16;

/**
 * Reads the whole configuration from the key-value service.
 *
 * @param kv - The client
 * @returns every resource and the last change they hold
 * @throws ServeError `kv_unavailable`
 * @throws RangeError where the log moved on during every attempt
 *
 * @example
 * const { seq, resources } = await loadConfig(kv);
 */
export async function loadConfig(kv: KvClient): Promise<MergedPages> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        const before = await readLog(kv);
        const pages = before.baseSeq === 0 ? new Map<number, ConfigPage>() : await readPages(kv);
        const merged = mergePages(before.baseSeq, pages, await readLog(kv));
        if (merged !== undefined) {
            return merged;
        }
    }
    throw new RangeError("the log moved on while its pages were read");
}

async function readLog(kv: KvClient): Promise<ConfigLog> {
    const entry = await kv.read("config", CONFIG_LOG_KEY);
    return entry === undefined ? EMPTY_LOG : parseConfigLog(entry.value);
}

async function readPages(kv: KvClient): Promise<ReadonlyMap<number, ConfigPage>> {
    const pages = new Map<number, ConfigPage>();
    for (let start = 0; start < PAGE_COUNT; start += PARALLEL_READS) {
        const numbers = Array.from({ length: PARALLEL_READS }, (unused, at) => start + at);
        await Promise.all(numbers.map(async number => {
            const entry = await kv.read("config", formatPageKey(number));
            if (entry !== undefined) {
                pages.set(number, parseConfigPage(entry.value));
            }
        }));
    }
    return pages;
}
