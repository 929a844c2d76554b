import { registerTable } from "@fulmarcleat/testing";
import { createCacheEvents } from "./createCacheEvents.js";

interface AddedPrefix {
    readonly atMs: number;
    readonly isLost?: boolean;
}

function listSeqs(added: readonly AddedPrefix[], afterSeq: number, nowMs: number, lagMs: number): readonly number[] {
    const events = createCacheEvents();
    added.forEach(({ atMs, isLost = false }) => events.add("levy@7#1.1", `prompt ${atMs}`, atMs, isLost));
    return events.list(afterSeq, nowMs, lagMs).map(event => event.seq);
}

function comparePrefixes(...prompts: readonly string[]): readonly boolean[] {
    const events = createCacheEvents();
    prompts.forEach(prompt => events.add("levy@7#1.1", prompt, 0, false));
    const prefixes = events.list(0, 0, 0).map(event => event.prefix);
    return [prefixes[0] === prefixes[1], prefixes[0] === prefixes[2]];
}

registerTable("cacheEvents", listSeqs);
registerTable("cachePrefixes", comparePrefixes);
