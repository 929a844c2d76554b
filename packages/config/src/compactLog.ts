import type { KvClient } from "@fulmarcleat/kv";
import { applyToPage } from "./applyToPage.js";
import { CONFIG_LOG_KEY } from "./configLog.js";
import type { ConfigLog } from "./configLog.js";
import { EMPTY_PAGE, formatPageKey, parseConfigPage } from "./configPage.js";
import { parseConfigLog } from "./parseConfigLog.js";
import { planCompaction } from "./planCompaction.js";
import { trimLog } from "./trimLog.js";

/** Changes that a compaction leaves in the log. */
export interface CompactOptions {
    /** Least number of changes to keep. */
    readonly keepChanges: number;
    /** Wall time in milliseconds; changes accepted after it are kept. */
    readonly keepAfterMs: number;
}

/** Limit on compare-and-swap attempts per key. */
const MAX_ATTEMPTS = 8;

/**
 * Writes the log's changes into their pages, then advances the log's base. Concurrent compactions are safe.
 *
 * @param kv - Key-value client
 * @param options - Changes that stay in the log
 * @returns whether the log's base covers the compacted changes; false if there was nothing to compact
 * @throws ServeError `kv_unavailable`
 *
 * @example
 * await compactLog(kv, { keepChanges: 100, keepAfterMs: clock.wallMs() - 30_000 });
 */
export async function compactLog(kv: KvClient, options: CompactOptions): Promise<boolean> {
    const entry = await kv.read("config", CONFIG_LOG_KEY);
    const log = entry === undefined ? undefined : parseConfigLog(entry.value);
    const plan = log === undefined ? undefined : planCompaction(log);
    if (log === undefined || plan === undefined) {
        return false;
    }
    for (const number of plan.pages) {
        if (!await writePage(kv, log, number, plan.upTo)) {
            return false;
        }
    }
    return advanceBase(kv, plan.upTo, options);
}

async function writePage(kv: KvClient, log: ConfigLog, number: number, upTo: number): Promise<boolean> {
    const key = formatPageKey(number);
    let present = await kv.read("config", key);
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        const page = present === undefined ? EMPTY_PAGE : parseConfigPage(present.value);
        const next = applyToPage(page, log.changes, { number, upTo });
        if (next === page) {
            return true;
        }
        const outcome = await kv.write({
            purpose: "config",
            key,
            expectedRevision: present?.revision ?? 0,
            value: JSON.stringify(next),
            isOwn: value => parseConfigPage(value).appliedSeq >= upTo,
        });
        if (outcome.kind === "applied") {
            return true;
        }
        if (outcome.kind !== "refused") {
            return false;
        }
        present = outcome.current;
    }
    return false;
}

async function advanceBase(kv: KvClient, upTo: number, options: CompactOptions): Promise<boolean> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
        const entry = await kv.read("config", CONFIG_LOG_KEY);
        if (entry === undefined) {
            return false;
        }
        const log = parseConfigLog(entry.value);
        if (log.baseSeq >= upTo) {
            return true;
        }
        const outcome = await kv.write({
            purpose: "config",
            key: CONFIG_LOG_KEY,
            expectedRevision: entry.revision,
            value: JSON.stringify(trimLog(log, { upTo, ...options })),
            isOwn: value => parseConfigLog(value).baseSeq >= upTo,
        });
        if (outcome.kind === "applied") {
            return true;
        }
        if (outcome.kind !== "refused") {
            return false;
        }
    }
    return false;
}
