import type { KvClient } from "@fulmarcleat/kv";
import { PAGE_COUNT } from "@fulmarcleat/resources";
import { CONFIG_LOG_KEY, EMPTY_LOG } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";
import { formatPageKey, parseConfigPage } from "./configPage.js";
import type { ConfigPage } from "./configPage.js";
import { mergePages } from "./mergePages.js";
import type { MergedPages } from "./mergePages.js";
import { parseConfigLog } from "./parseConfigLog.js";

/** Limit on reads that are repeated because the log was compacted meanwhile. */
const MAX_ATTEMPTS = 5;
/** Limit on concurrent page reads. */
const MAX_PARALLEL_READS = 16;

/**
 * Reads the whole configuration from the key-value service.
 *
 * @param kv - Key-value client
 * @returns every resource and the sequence number of the last change that they include
 * @throws ServeError `kv_unavailable`
 * @throws RangeError if the log was compacted during every attempt
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
    throw new RangeError("the configuration log was compacted while its pages were being read");
}

async function readLog(kv: KvClient): Promise<ConfigLog> {
    const entry = await kv.read("config", CONFIG_LOG_KEY);
    return entry === undefined ? EMPTY_LOG : parseConfigLog(entry.value);
}

async function readPages(kv: KvClient): Promise<ReadonlyMap<number, ConfigPage>> {
    const pages = new Map<number, ConfigPage>();
    for (let start = 0; start < PAGE_COUNT; start += MAX_PARALLEL_READS) {
        const numbers = Array.from({ length: MAX_PARALLEL_READS }, (unused, at) => start + at);
        await Promise.all(numbers.map(async number => {
            const entry = await kv.read("config", formatPageKey(number));
            if (entry !== undefined) {
                pages.set(number, parseConfigPage(entry.value));
            }
        }));
    }
    return pages;
}
