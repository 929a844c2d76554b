// Measures memory and lookups of client accounts as a host holds them. Requires node --expose-gc --import tsx.
import { randomBytes } from "node:crypto";
import { buildAccountIndex } from "../packages/accounts/src/index.ts";
import { parseServingConfig } from "../platform/src/parseServingConfig.ts";

const SIZES = [16, 10_000, 100_000];
const LOOKUPS = 1_000_000;
const KEY_BYTES = 16;
const BYTES_PER_KB = 1024;

function readHeap() {
    globalThis.gc();
    globalThis.gc();
    return process.memoryUsage().heapUsed;
}

/** Creates the stored text of a configuration whose accounts have one key, a priority and a limit each. */
function createText(count) {
    const tenants = Array.from({ length: count }, (value, at) => ({
        name: `account-${at}`,
        apiKeys: [randomBytes(KEY_BYTES).toString("hex")],
        priority: at % 3,
        unit: "tokens",
        plainTokens: 900,
        ratePerS: 29_000,
        burst: 58_000,
    }));
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
    return Buffer.from(JSON.stringify({ version: 1, routes: [], services: [], limits, tenants }));
}

function measure(count) {
    const text = createText(count);
    const emptyHeap = readHeap();
    const parseStart = performance.now();
    const config = parseServingConfig(text);
    const parseMs = performance.now() - parseStart;
    const configHeap = readHeap();
    const buildStart = performance.now();
    const index = buildAccountIndex(config.accounts);
    const buildMs = performance.now() - buildStart;
    const indexHeap = readHeap();
    const keys = [...config.accounts.values()].flatMap(account => account.keys);
    const lookupStart = performance.now();
    let found = 0;
    for (let at = 0; at < LOOKUPS; at += 1) {
        // Copied, so that the text's hash is computed as for a key that has just been received.
        found += index.findByKey(Buffer.from(keys[at % keys.length], "latin1").toString("latin1")) === undefined
            ? 0
            : 1;
    }
    const lookupNs = (performance.now() - lookupStart) * 1e6 / LOOKUPS;
    return {
        accounts: count,
        textKb: Math.round(text.length / BYTES_PER_KB),
        configKb: Math.round((configHeap - emptyHeap) / BYTES_PER_KB),
        indexKb: Math.round((indexHeap - configHeap) / BYTES_PER_KB),
        parseMs: Math.round(parseMs),
        buildMs: Math.round(buildMs * 10) / 10,
        lookupNs: Math.round(lookupNs),
        found,
    };
}

console.table(SIZES.map(measure));
