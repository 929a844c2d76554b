import { createHash } from "node:crypto";

/** A prompt prefix that was added to the cache of an engine. */
export interface CacheEvent {
    /** Sequence number over all events, including lost ones: a missing number marks a gap. */
    readonly seq: number;
    readonly instance: string;
    /** Hash of the first characters of the prompt. */
    readonly prefix: string;
}

/** Cache events of an engine, which can be delayed and lost. */
export interface CacheEvents {
    /** Records the prefix of a prompt; a lost event is not retained and leaves a gap. */
    add(instance: string, prompt: string, nowMs: number, isLost: boolean): void;
    /** Lists the events after `afterSeq` that are at least `lagMs` milliseconds old. */
    list(afterSeq: number, nowMs: number, lagMs: number): readonly CacheEvent[];
}

/** Length of the prefix of a prompt, in characters. */
const PREFIX_CHARACTERS = 64;
/** Length of the hash of a prefix, in hexadecimal digits. */
const HASH_CHARACTERS = 16;
/** Largest number of events that are retained; older ones are discarded. */
const MAX_RETAINED_EVENTS = 1000;

/**
 * Creates an empty list of cache events.
 *
 * @returns the list of cache events
 *
 * @example
 * cacheEvents.add(instance, prompt, performance.now(), false);
 */
export function createCacheEvents(): CacheEvents {
    const retained: { readonly atMs: number; readonly event: CacheEvent }[] = [];
    let seq = 0;
    return {
        add(instance, prompt, nowMs, isLost) {
            seq += 1;
            if (!isLost) {
                retained.push({ atMs: nowMs, event: { seq, instance, prefix: hashPrefix(prompt) } });
                retained.splice(0, Math.max(0, retained.length - MAX_RETAINED_EVENTS));
            }
        },
        list: (afterSeq, nowMs, lagMs) =>
            retained.filter(entry => entry.event.seq > afterSeq && entry.atMs <= nowMs - lagMs).map(entry =>
                entry.event
            ),
    };
}

function hashPrefix(prompt: string): string {
    return createHash("sha256").update(prompt.slice(0, PREFIX_CHARACTERS)).digest("hex").slice(0, HASH_CHARACTERS);
}
