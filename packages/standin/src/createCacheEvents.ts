import { createHash } from "node:crypto";

/** One prompt prefix that came into an engine's cache. */
export interface CacheEvent {
    /** Counts all events, also those that are lost: a missing number is a gap. */
    readonly seq: number;
    readonly instance: string;
    /** Hash of the prompt's first characters. */
    readonly prefix: string;
}

/** The cache events of an engine, which come late and with gaps. */
export interface CacheEvents {
    /** Notes a prefix; a lost one leaves a gap. */
    add(instance: string, prompt: string, nowMs: number, isLost: boolean): void;
    /** Events after one that are at least `lagMs` old. */
    list(afterSeq: number, nowMs: number, lagMs: number): readonly CacheEvent[];
}

const PREFIX_CHARACTERS = 64;
const HASH_CHARACTERS = 16;
const MAX_KEPT = 1000;

/**
 * Creates an engine's cache events.
 *
 * @returns the events, none at first
 *
 * @example
 * cacheEvents.add(instance, prompt, performance.now(), false);
 */
export function createCacheEvents(): CacheEvents {
    const kept: { readonly atMs: number; readonly event: CacheEvent }[] = [];
    let seq = 0;
    return {
        add(instance, prompt, nowMs, isLost) {
            seq += 1;
            if (!isLost) {
                kept.push({ atMs: nowMs, event: { seq, instance, prefix: hashPrefix(prompt) } });
                kept.splice(0, Math.max(0, kept.length - MAX_KEPT));
            }
        },
        list: (afterSeq, nowMs, lagMs) =>
            kept.filter(entry => entry.event.seq > afterSeq && entry.atMs <= nowMs - lagMs).map(entry => entry.event),
    };
}

function hashPrefix(prompt: string): string {
    return createHash("sha256").update(prompt.slice(0, PREFIX_CHARACTERS)).digest("hex").slice(0, HASH_CHARACTERS);
}
