import type { KeptAnswer } from "@fulmarcleat/wire";
import type { KeptEntry } from "./partitionState.js";

/**
 * Keeps a first answer and drops the oldest ones beyond the memory for them.
 *
 * @param kept - What is kept, oldest first
 * @param nonce - Attempt that it answers
 * @param answer - The answer
 * @param maxBytes - Memory for kept answers
 * @returns what is kept from now on
 *
 * @example
 * const answers = keepAnswer(state.answers, end.nonce, answer, limits.maxAnswerBytes);
 */
export function keepAnswer(
    kept: readonly KeptEntry[],
    nonce: string,
    answer: KeptAnswer,
    maxBytes: number,
): readonly KeptEntry[] {
    const bytes = Buffer.byteLength(JSON.stringify(answer));
    if (bytes > maxBytes) {
        return kept;
    }
    const next = [...kept.filter(entry => entry.nonce !== nonce), { nonce, answer, bytes }];
    let total = next.reduce((sum, entry) => sum + entry.bytes, 0);
    let from = 0;
    while (total > maxBytes) {
        total -= next[from]?.bytes ?? 0;
        from += 1;
    }
    return next.slice(from);
}
